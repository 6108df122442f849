#include "banyantrail/distribution/key_lease.h"

#include <algorithm>
#include <utility>

namespace banyantrail {
namespace {

/// Enough for the revisions of a burst of changes that are not applied yet.
constexpr std::size_t kMaxConfirmations = 16;

/// Enough for the requests of one `revocation`.
constexpr std::size_t kMaxSentRequests = 32;

}  // namespace

void KeyLease::OnStoreConfirmed(Revision revision, BootTimePoint sent_at) {
  Record({.revision = revision, .confirmed_at = sent_at});
}

void KeyLease::Record(const Confirmation& confirmation) {
  const Revision& revision = confirmation.revision;
  const bool is_lacking =
      std::ranges::any_of(m_confirmations, [&](const Confirmation& known) {
        return Lacks(revision, known.revision);
      });
  if (!revision.exists() || is_lacking || Lacks(revision, m_applied_by_peers)) {
    return;
  }
  DropWhatLacks(revision);
  if (m_confirmations.empty() && !m_new_era_at) {
    m_era = std::max(m_era, revision.era);
  }
  if (!IsTrusted(confirmation) && !m_new_era_at) {
    m_new_era_at = confirmation.confirmed_at;
  }
  const auto found =
      std::ranges::find(m_confirmations, revision, &Confirmation::revision);
  if (found != m_confirmations.end()) {
    found->confirmed_at =
        std::max(found->confirmed_at, confirmation.confirmed_at);
    return;
  }
  m_confirmations.push_back(confirmation);
  if (m_confirmations.size() > kMaxConfirmations) {
    m_confirmations.erase(std::ranges::min_element(
        m_confirmations, {}, &Confirmation::confirmed_at));
  }
}

void KeyLease::DropWhatLacks(const Revision& revision) {
  std::erase_if(m_confirmations, [&](const Confirmation& known) {
    return Lacks(known.revision, revision);
  });
}

void KeyLease::TrustNewEra() {
  for (const Confirmation& confirmation : m_confirmations) {
    m_era = std::max(m_era, confirmation.revision.era);
  }
  m_new_era_at.reset();
}

std::optional<KeyLease::Request> KeyLease::NextRequest(
    const std::vector<NodeId>& peers,
    Revision applied,
    BootTimePoint now) {
  if (m_new_era_at &&
      (peers.empty() || now - *m_new_era_at >= m_options.revocation)) {
    TrustNewEra();
  }
  const std::optional<Duration> age = Age(applied, now);
  if (!m_new_era_at && age && *age < m_options.max_fresh_age) {
    m_next_peer = 0;
    return std::nullopt;
  }
  const bool is_too_early = m_last_request_at && now - *m_last_request_at <
                                                     m_options.request_interval;
  if (peers.empty() || is_too_early) {
    return std::nullopt;
  }
  m_last_request_at = now;
  const NodeId& peer = peers[m_next_peer % peers.size()];
  m_next_peer = (m_next_peer + 1) % peers.size();
  const std::uint64_t sequence = m_next_sequence++;
  m_sent_requests.push_back({.sequence = sequence, .sent_at = now});
  if (m_sent_requests.size() > kMaxSentRequests) {
    m_sent_requests.pop_front();
  }
  return Request{.peer = peer, .message = {.sequence = sequence}};
}

void KeyLease::OnReply(const ConfirmationReplyMessage& reply) {
  const auto sent = std::ranges::find(m_sent_requests, reply.sequence,
                                      &SentRequest::sequence);
  if (sent == m_sent_requests.end()) {
    return;
  }
  const bool settles_era = m_new_era_at && sent->sent_at >= *m_new_era_at;
  Record({.revision = reply.revision,
          .confirmed_at = sent->sent_at - milliseconds(reply.age_ms)});
  m_applied_by_peers = std::max(m_applied_by_peers, reply.applied);
  DropWhatLacks(m_applied_by_peers);
  if (settles_era && reply.applied.exists()) {
    TrustNewEra();
  }
}

std::optional<ConfirmationReplyMessage> KeyLease::ReplyTo(
    const ConfirmationRequestMessage& request,
    Revision applied,
    BootTimePoint now) const {
  const Confirmation* newest = nullptr;
  for (const Confirmation& known : m_confirmations) {
    const bool is_valid = now - known.confirmed_at < m_options.revocation;
    const auto rank = [this](const Confirmation& confirmation) {
      return std::pair(IsTrusted(confirmation), confirmation.confirmed_at);
    };
    if (is_valid && (newest == nullptr || rank(known) > rank(*newest))) {
      newest = &known;
    }
  }
  if (newest == nullptr && !applied.exists()) {
    return std::nullopt;
  }
  ConfirmationReplyMessage reply{.sequence = request.sequence,
                                 .applied = applied};
  if (newest != nullptr) {
    reply.revision = newest->revision;
    reply.age_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<milliseconds>(now - newest->confirmed_at).count());
  }
  return reply;
}

bool KeyLease::MayAcceptKeys(Revision applied, BootTimePoint now) const {
  const std::optional<Duration> age = Age(applied, now);
  return age && *age < m_options.revocation - m_options.margin;
}

std::optional<Duration> KeyLease::Age(Revision applied,
                                      BootTimePoint now) const {
  std::optional<Duration> age;
  for (const Confirmation& confirmation : m_confirmations) {
    const Duration confirmation_age = now - confirmation.confirmed_at;
    const bool is_proof = confirmation.revision <= applied &&
                          IsTrusted(confirmation) &&
                          IsComparable(confirmation.revision, applied) &&
                          !Lacks(confirmation.revision, applied);
    if (is_proof && (!age || confirmation_age < *age)) {
      age = confirmation_age;
    }
  }
  return age;
}

}  // namespace banyantrail
