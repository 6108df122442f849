#include "banyantrail/core/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace banyantrail {

std::string Sha256Hex(std::string_view content) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int size = 0;
  EVP_Digest(content.data(), content.size(), hash.data(), &size, EVP_sha256(),
             nullptr);
  std::string hex;
  hex.reserve(2 * static_cast<std::size_t>(size));
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kHexDigits[hash[i] >> 4U]);
    hex.push_back(kHexDigits[hash[i] & 0x0FU]);
  }
  return hex;
}

std::uint64_t Hash64(std::string_view content, std::uint64_t seed) {
  return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

}  // namespace banyantrail
