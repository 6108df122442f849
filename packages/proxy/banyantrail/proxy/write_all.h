#pragma once

#include <array>

#include "banyantrail/net/asio.h"

namespace banyantrail {

/// A message head and its body.
using WriteBuffers = std::array<asio::const_buffer, 2>;

struct WriteResult {
  boost::system::error_code error;
  std::size_t written = 0;
};

/// Writes the buffers completely. Tries to write them at once and waits only
/// for what the kernel does not take: an asynchronous write costs another pass
/// of the event loop, a third of the passes of a small request.
asio::awaitable<WriteResult> WriteAll(beast::tcp_stream& stream,
                                      WriteBuffers buffers);

}  // namespace banyantrail
