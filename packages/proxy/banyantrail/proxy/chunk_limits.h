#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "banyantrail/net/http_types.h"

namespace banyantrail {

/// Largest extension of one chunk.
inline constexpr std::size_t kMaxChunkExtensionBytes = 1U << 10U;

/// Largest trailer section, by size and by number of fields. The parser keeps
/// each field in an allocation of its own, so many short fields take a multiple
/// of their size.
inline constexpr std::size_t kMaxTrailerBytes = 8U << 10U;
inline constexpr std::size_t kMaxTrailerFields = 64;

/// Limits what a sender may add to the data of a chunked body. Beast has no
/// such limits. Passed to the parser as its callback for chunk headers.
class ChunkLimits {
 public:
  /// `buffer` is the one that the parser reads from.
  explicit ChunkLimits(const boost::beast::flat_buffer& buffer)
      : m_buffer(buffer) {}

  /// Called for each chunk, and for the last one when its trailer section has
  /// arrived, before the parser reads the fields. Sets an error if a limit is
  /// exceeded.
  void operator()(std::uint64_t size,
                  boost::beast::string_view extension,
                  boost::system::error_code& error);

  /// Whether a limit was exceeded.
  bool is_exceeded() const { return m_is_exceeded; }

 private:
  const boost::beast::flat_buffer& m_buffer;
  bool m_is_exceeded = false;
};

/// Whether a trailer section, followed by any other bytes, is within the
/// limits.
bool IsTrailerAllowed(std::string_view trailer);

}  // namespace banyantrail
