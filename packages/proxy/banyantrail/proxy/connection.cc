#include "banyantrail/proxy/connection.h"

namespace banyantrail {

void Close(beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  stream.close();
}

}  // namespace banyantrail
