#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyantrail {

/// SHA-256 of `content` in lower-case hexadecimal. Used for content addressing
/// in the platform's store and to verify transfers.
std::string Sha256Hex(std::string_view content);

/// Fast non-cryptographic 64-bit hash (XXH3) for placement and ordering. Not
/// for integrity checks.
std::uint64_t Hash64(std::string_view content, std::uint64_t seed = 0);

}  // namespace banyantrail
