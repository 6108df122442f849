#include "banyantrail/proxy/chunk_limits.h"

#include <boost/beast/http/error.hpp>

namespace banyantrail {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

bool IsTrailerAllowed(std::string_view trailer) {
  std::size_t fields = 0;
  std::size_t line = 0;
  while (line <= kMaxTrailerBytes && fields <= kMaxTrailerFields) {
    const std::size_t end = trailer.find(kLineEnd, line);
    if (end == line || end == std::string_view::npos) {
      return true;
    }
    line = end + kLineEnd.size();
    ++fields;
  }
  return false;
}

void ChunkLimits::operator()(std::uint64_t size,
                             boost::beast::string_view extension,
                             boost::system::error_code& error) {
  bool is_allowed = extension.size() <= kMaxChunkExtensionBytes;
  if (size == 0) {
    const auto data = m_buffer.data();
    const char* const buffer_end =
        static_cast<const char*>(data.data()) + data.size();
    const char* const trailer = extension.end() + kLineEnd.size();
    is_allowed = is_allowed &&
                 IsTrailerAllowed(
                     {trailer, static_cast<std::size_t>(buffer_end - trailer)});
  }
  if (!is_allowed) {
    m_is_exceeded = true;
    error = http::make_error_code(http::error::header_limit);
  }
}

}  // namespace banyantrail
