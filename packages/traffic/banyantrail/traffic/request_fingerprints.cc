#include "banyantrail/traffic/request_fingerprints.h"

#include <algorithm>
#include <array>

#include "banyantrail/core/digest.h"

namespace banyantrail {
namespace {

constexpr unsigned kHalfBits = 32;

/// Beginnings of a body that have a fingerprint.
constexpr std::array<std::size_t, 4> kComparedLengths = {
    RequestFingerprints::kMinCompared, 64, 256,
    RequestFingerprints::kMaxCompared};

RequestTarget TargetFor(const RequestIdentity& identity) {
  std::string text = identity.service.str();
  for (const std::string_view field : {identity.method, identity.path}) {
    text += '\n';
    text += field;
  }
  return RequestTarget(static_cast<std::uint32_t>(Hash64(text)));
}

}  // namespace

RequestTarget TargetOf(RequestFingerprint fingerprint) {
  return RequestTarget(static_cast<std::uint32_t>(fingerprint >> kHalfBits));
}

RequestFingerprint FirstWith(RequestTarget target) {
  return static_cast<RequestFingerprint>(target) << kHalfBits;
}

RequestFingerprints::RequestFingerprints(const RequestIdentity& identity)
    : m_target(TargetFor(identity)), m_key(identity.idempotency_key) {}

void RequestFingerprints::Append(std::string_view part) {
  if (m_has_ended) {
    return;
  }
  const std::size_t room = kMaxCompared - m_beginning.size();
  m_beginning += part.substr(0, room);
  m_is_cut = m_is_cut || part.size() > room;
}

void RequestFingerprints::EndBody() {
  m_has_ended = true;
}

void RequestFingerprints::SetBodyHash(std::string_view hash) {
  m_body_hash = hash;
}

bool RequestFingerprints::needs_more() const {
  return m_body_hash.empty() && !m_has_ended && !m_is_cut;
}

bool RequestFingerprints::has_any() const {
  return !m_body_hash.empty() || m_has_ended ||
         m_beginning.size() >= kMinCompared;
}

std::vector<RequestFingerprint> RequestFingerprints::All() const {
  std::vector<RequestFingerprint> fingerprints;
  const std::string_view beginning = m_beginning;
  for (const std::size_t length : kComparedLengths) {
    if (length <= beginning.size()) {
      fingerprints.push_back(
          WithDigest("beginning", beginning.substr(0, length)));
    }
  }
  if (!m_body_hash.empty()) {
    fingerprints.push_back(WithDigest("hash", m_body_hash));
  } else if (m_has_ended && !m_is_cut) {
    fingerprints.push_back(beginning.empty() ? WithDigest("key", m_key)
                                             : WithDigest("body", beginning));
  }
  return fingerprints;
}

std::optional<RequestFingerprint> RequestFingerprints::Strongest() const {
  const std::vector<RequestFingerprint> all = All();
  return all.empty() ? std::nullopt : std::optional(all.back());
}

RequestFingerprint RequestFingerprints::WithDigest(
    std::string_view kind,
    std::string_view content) const {
  const auto digest = static_cast<std::uint32_t>(Hash64(content, Hash64(kind)));
  return FirstWith(m_target) | digest;
}

}  // namespace banyantrail
