#include "banyantrail/proxy/write_all.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace banyantrail {
namespace {

WriteBuffers Remaining(WriteBuffers buffers, std::size_t written) {
  for (asio::const_buffer& buffer : buffers) {
    const std::size_t consumed = std::min(written, buffer.size());
    buffer += consumed;
    written -= consumed;
  }
  return buffers;
}

/// Writes what the kernel takes without waiting.
WriteResult WriteNow(asio::ip::tcp::socket& socket,
                     const WriteBuffers& buffers) {
  WriteResult result;
  if (!socket.non_blocking()) {
    socket.non_blocking(true, result.error);
  }
  if (!result.error) {
    result.written = socket.write_some(buffers, result.error);
  }
  if (result.error == asio::error::would_block) {
    result.error = {};
  }
  return result;
}

}  // namespace

asio::awaitable<WriteResult> WriteAll(beast::tcp_stream& stream,
                                      WriteBuffers buffers) {
  WriteResult result = WriteNow(stream.socket(), buffers);
  const std::size_t size = asio::buffer_size(buffers);
  if (result.error || result.written == size) {
    co_return result;
  }
  const WriteBuffers remaining = Remaining(buffers, result.written);
  result.written += co_await asio::async_write(
      stream, remaining,
      asio::redirect_error(asio::use_awaitable, result.error));
  co_return result;
}

}  // namespace banyantrail
