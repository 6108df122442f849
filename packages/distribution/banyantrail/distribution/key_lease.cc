#include "banyantrail/distribution/key_lease.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// Enough for the revisions of a burst of changes that are not applied yet.
constexpr std::size_t kMaxConfirmations = 16;

/// Enough for the requests of one `revocation`.
constexpr std::size_t kMaxSentRequests = 32;

}  // namespace

void KeyLease::OnStoreConfirmed(Revision revision, BootTimePoint sent_at) {
  const bool is_lacking =
      std::ranges::any_of(m_confirmations, [&](const Confirmation& known) {
        return Lacks(revision, known.revision);
      });
  if (!revision.exists() || is_lacking) {
    return;
  }
  const auto found =
      std::ranges::find(m_confirmations, revision, &Confirmation::revision);
  if (found != m_confirmations.end()) {
    found->confirmed_at = std::max(found->confirmed_at, sent_at);
    return;
  }
  m_confirmations.push_back({.revision = revision, .confirmed_at = sent_at});
  if (m_confirmations.size() > kMaxConfirmations) {
    m_confirmations.erase(std::ranges::min_element(
        m_confirmations, {}, &Confirmation::confirmed_at));
  }
}

std::optional<KeyLease::Request> KeyLease::NextRequest(
    const std::vector<NodeId>& peers,
    Revision applied,
    BootTimePoint now) {
  const std::optional<Duration> age = Age(applied, now);
  if (age && *age < m_options.max_fresh_age) {
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
  if (sent != m_sent_requests.end()) {
    OnStoreConfirmed(reply.revision,
                     sent->sent_at - milliseconds(reply.age_ms));
  }
}

std::optional<ConfirmationReplyMessage> KeyLease::ReplyTo(
    const ConfirmationRequestMessage& request,
    BootTimePoint now) const {
  const auto newest = std::ranges::max_element(m_confirmations, {},
                                               &Confirmation::confirmed_at);
  if (newest == m_confirmations.end()) {
    return std::nullopt;
  }
  const Duration age = now - newest->confirmed_at;
  if (age >= m_options.revocation) {
    return std::nullopt;
  }
  return ConfirmationReplyMessage{
      .sequence = request.sequence,
      .revision = newest->revision,
      .age_ms = static_cast<std::uint32_t>(
          std::chrono::ceil<milliseconds>(age).count())};
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
                          IsComparable(confirmation.revision, applied) &&
                          !Lacks(confirmation.revision, applied);
    if (is_proof && (!age || confirmation_age < *age)) {
      age = confirmation_age;
    }
  }
  return age;
}

}  // namespace banyantrail
