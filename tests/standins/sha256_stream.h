#pragma once

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace banyantrail::standins {

/// Computes a SHA-256 digest incrementally.
class Sha256Stream {
 public:
  Sha256Stream() : m_context(EVP_MD_CTX_new(), EVP_MD_CTX_free) {
    EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr);
  }

  void Update(std::string_view data) {
    EVP_DigestUpdate(m_context.get(), data.data(), data.size());
  }

  /// The digest in lower-case hexadecimal. May be called only once, after all
  /// updates.
  std::string Finish() {
    constexpr std::string_view kHexDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    EVP_DigestFinal_ex(m_context.get(), hash.data(), &size);
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
      hex.push_back(kHexDigits[hash[i] >> 4U]);
      hex.push_back(kHexDigits[hash[i] & 0x0FU]);
    }
    return hex;
  }

 private:
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

}  // namespace banyantrail::standins
