#include "banyantrail/node/key_lease_runner.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/relay_lease.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("control");

/// A first sequence number that no earlier process of the node has used. Not
/// derived from the wall clock, which may be set back.
std::uint64_t RandomSequence() {
  constexpr unsigned kWordBits = 32;
  std::random_device random;
  const std::uint64_t high = random();
  return (high << kWordBits) | random();
}

}  // namespace

KeyLeaseRunner::KeyLeaseRunner(const RevocationSettings& settings,
                               Metrics& metrics,
                               Send send)
    : m_metrics(metrics), m_send(std::move(send)) {
  if (settings.strict) {
    m_lease.emplace(KeyLeaseOptions{.revocation = settings.time},
                    RandomSequence());
  }
}

void KeyLeaseRunner::OnMembers(const MembershipView& view,
                               const std::vector<NodeId>& watchers) {
  if (m_lease) {
    m_peers = ConfirmationPeers(view, watchers);
  }
}

void KeyLeaseRunner::OnStoreRead(Revision revision, BootTimePoint sent_at) {
  if (m_lease) {
    m_lease->OnStoreConfirmed(revision, sent_at);
  }
}

bool KeyLeaseRunner::OnPeerMessage(const NodeId& from,
                                   const PeerMessage& message) {
  if (const auto* request = std::get_if<ConfirmationRequestMessage>(&message)) {
    const auto reply = m_lease ? m_lease->ReplyTo(*request, m_routed_revision,
                                                  BootClock::Now())
                               : std::nullopt;
    if (reply) {
      m_send(from, *reply);
    }
    return true;
  }
  if (const auto* reply = std::get_if<ConfirmationReplyMessage>(&message)) {
    if (m_lease) {
      m_lease->OnReply(*reply);
    }
    return true;
  }
  return false;
}

bool KeyLeaseRunner::MayAcceptKeys(Revision applied) const {
  return !m_lease || m_lease->MayAcceptKeys(applied, BootClock::Now());
}

void KeyLeaseRunner::OnTick() {
  if (!m_lease) {
    return;
  }
  const BootTimePoint now = BootClock::Now();
  const auto request = m_lease->NextRequest(m_peers, m_routed_revision, now);
  if (request) {
    m_send(request->peer, request->message);
  }
  ReportState(now);
}

void KeyLeaseRunner::ReportState(BootTimePoint now) {
  const std::optional<Duration> age = m_lease->Age(m_routed_revision, now);
  if (age) {
    m_metrics.SetGauge("banyantrail_key_confirmation_age_seconds",
                       std::chrono::duration<double>(*age).count());
  }
  const bool accepts_keys = m_lease->MayAcceptKeys(m_routed_revision, now);
  if (accepts_keys == m_accepts_keys) {
    return;
  }
  m_accepts_keys = accepts_keys;
  m_metrics.CountControlEvent(accepts_keys ? "key_lease_gained"
                                           : "key_lease_lost");
  const std::string revision = std::to_string(m_routed_revision.number);
  if (accepts_keys) {
    kLog.Info("Keys are accepted: configuration " + revision +
              " is confirmed as the newest.");
  } else {
    kLog.Warn(
        "Keys are refused with 503: neither the store nor a peer has confirmed "
        "configuration " +
        revision +
        " as the newest within the revocation time. Check the connections to "
        "the store and to the peers, and that the newest configuration is "
        "valid.");
  }
}

std::vector<NodeId> ConfirmationPeers(const MembershipView& view,
                                      const std::vector<NodeId>& watchers) {
  constexpr std::size_t kPeersPerOtherDomain = 2;
  std::vector<NodeId> peers = watchers;
  std::erase(peers, view.self.node);
  std::map<DomainId, std::vector<NodeId>> other_domains;
  for (const auto& record : view.members) {
    if (record->domain != view.self.domain &&
        record->state == MemberState::kAlive) {
      other_domains[record->domain].push_back(record->node);
    }
  }
  for (const auto& [domain, members] : other_domains) {
    const DomainId key(domain.str() + "/" + view.self.node.str());
    const std::vector<NodeId> chosen =
        RendezvousOrder(key, members, kPeersPerOtherDomain);
    peers.insert(peers.end(), chosen.begin(), chosen.end());
  }
  return peers;
}

}  // namespace banyantrail
