#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyantrail {

/// SHA-256 of `content` in lower-case hexadecimal. Names content in the
/// platform and proves that a transfer arrived whole.
std::string Sha256Hex(std::string_view content);

/// Fast 64-bit hash (XXH3) for placement and ordering, never for integrity.
std::uint64_t Hash64(std::string_view content, std::uint64_t seed = 0);

}  // namespace banyantrail
