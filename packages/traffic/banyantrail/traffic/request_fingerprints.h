#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Hash that identifies a request across resends. Its upper half identifies
/// what the request is addressed to, its lower half the rest of it.
using RequestFingerprint = std::uint64_t;

/// The part of a fingerprint that is known before the body is.
enum class RequestTarget : std::uint32_t {};

RequestTarget TargetOf(RequestFingerprint fingerprint);

/// The lowest fingerprint with this target.
RequestFingerprint FirstWith(RequestTarget target);

/// Properties of a request that distinguish it from others.
struct RequestIdentity {
  ServiceName service;
  std::string_view method;
  /// Path and query.
  std::string_view path;
  /// Used for a request without a body only: one with a body is the same if its
  /// body is, and its sender may choose another key for each resend.
  std::string_view idempotency_key;
};

/// The fingerprints of one request, found while its body passes.
///
/// A body may pass in parts of any size, with a length or in chunks, and a
/// backend server may crash before it has the whole body. So a request has a
/// fingerprint for each of some lengths of its beginning, and one for all of
/// it. No more than the beginning is kept.
class RequestFingerprints {
 public:
  /// Bytes of a body that tell it from others, if it is longer.
  static constexpr std::size_t kMaxCompared = 1024;
  /// A shorter beginning would be the same in too many bodies.
  static constexpr std::size_t kMinCompared = 16;

  explicit RequestFingerprints(const RequestIdentity& identity);

  /// The next part of the body. Ignored once it has ended.
  void Append(std::string_view part);
  /// The body has ended.
  void EndBody();
  /// The hash of the whole body, known although the body has not passed.
  void SetBodyHash(std::string_view hash);

  RequestTarget target() const { return m_target; }
  /// Whether more of the body would add a fingerprint.
  bool needs_more() const;
  /// Whether there is a fingerprint yet.
  bool has_any() const;
  /// From the weakest, that of the shortest beginning, to the strongest. Empty
  /// while too little of the body is known.
  std::vector<RequestFingerprint> All() const;
  /// By which the request is remembered.
  std::optional<RequestFingerprint> Strongest() const;

 private:
  RequestFingerprint WithDigest(std::string_view kind,
                                std::string_view content) const;

  RequestTarget m_target;
  std::string m_key;
  std::string m_beginning;
  std::string m_body_hash;
  bool m_has_ended = false;
  bool m_is_cut = false;
};

}  // namespace banyantrail
