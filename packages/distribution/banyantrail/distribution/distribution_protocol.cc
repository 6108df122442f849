#include "banyantrail/distribution/distribution_protocol.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "banyantrail/membership/dissemination_tree.h"

namespace banyantrail {
namespace {

/// Retry delay, before jitter, that a node at its transfer limit returns in a
/// busy message.
constexpr Duration kBusyRetryDelay = milliseconds(200);

/// Status reports are sent early by a random time of up to this fraction of
/// their interval.
constexpr int kStatusJitterDivisor = 4;

}  // namespace

DistributionProtocol::DistributionProtocol(Options options, TimePoint start)
    : m_options(std::move(options)),
      m_store(m_options.store),
      m_gate(m_options.gate, start),
      m_transfers(m_options.transfers),
      m_requester(m_options.requests),
      m_rng(m_options.seed),
      m_now(start),
      m_next_revision_query(start),
      m_next_offer(start),
      m_next_digest(start),
      m_next_status(start) {}

DistributionOutput DistributionProtocol::OnTick(TimePoint now) {
  m_now = now;
  for (const PendingPush& push : m_pushes.TakeOverdue(now)) {
    ReplaceChild(push);
  }
  RunScheduledPush();
  SendRequest();
  SendPeriodicMessages();
  return TakeOutput();
}

DistributionOutput DistributionProtocol::OnMessage(const NodeId& from,
                                                   const PeerMessage& message,
                                                   TimePoint now) {
  m_now = now;
  std::visit([this, &from](const auto& body) { Handle(from, body); }, message);
  SendRequest();
  return TakeOutput();
}

DistributionOutput DistributionProtocol::OnReleaseFromPlatform(Release release,
                                                               TimePoint now) {
  m_now = now;
  m_gate.OnPlatformHead(release.revision);
  const ReleaseId base = CurrentReleaseId();
  const ApplyResult result = m_store.Apply(std::move(release));
  OnResult(result);
  if (result.outcome == ApplyOutcome::kApplied) {
    DisseminatePlatformRelease(base);
  }
  return TakeOutput();
}

DistributionOutput DistributionProtocol::OnUnreadableRelease(
    Revision revision,
    const std::string& reason,
    TimePoint now) {
  m_now = now;
  m_gate.OnPlatformHead(revision);
  if (revision > m_store.revision()) {
    OnResult(m_store.RefuseUnreadable(revision, reason));
  }
  return TakeOutput();
}

DistributionOutput DistributionProtocol::OnPeerUnreachable(const NodeId& node,
                                                           TimePoint now) {
  m_now = now;
  m_transfers.Finish(node);
  m_requester.ForgetPeer(node, now, m_rng);
  if (const auto push = m_pushes.Take(node)) {
    ReplaceChild(*push);
  }
  SendRequest();
  return TakeOutput();
}

void DistributionProtocol::OnMembership(DistributionPeers peers) {
  if (peers.relays != m_peers.relays) {
    m_next_status = m_now;
  }
  m_peers = std::move(peers);
  std::erase(m_peers.own_domain, m_options.self);
  m_own_domain = {m_peers.own_domain.begin(), m_peers.own_domain.end()};
  m_gate.OnPeerCount(m_peers.own_domain.size());
}

ServingState DistributionProtocol::UpdateServingState(TimePoint now) {
  return m_gate.Update(m_store.revision(), now);
}

StatusReportMessage DistributionProtocol::Status() const {
  StatusReportMessage report{.node = m_options.self,
                             .labels = m_options.labels,
                             .applied_revision = m_store.revision()};
  if (const auto& refused = m_store.last_refused()) {
    report.refused_revision = refused->revision;
    report.refusal_reason =
        std::string(ToString(refused->reason)) + ": " + refused->detail;
  }
  return report;
}

// Message handlers.

void DistributionProtocol::Handle(const NodeId& from,
                                  const ReleaseDeltaMessage& message) {
  Send(from, ReleaseAckMessage{.revision = message.to_revision});
  m_gate.OnPeerRevision(from, message.to_revision);
  const ReleaseId base = CurrentReleaseId();
  const ApplyResult result = m_store.Apply(message);
  OnResult(result);
  UpdateRequester(from, message, result);
  Forward(message, result, base);

  const bool pushed_by_own_domain =
      IsOwnDomain(from) && message.to_revision >= m_store.revision();
  if (pushed_by_own_domain) {
    m_scheduled_push.reset();
  }
  const bool from_foreign_domain =
      result.outcome == ApplyOutcome::kApplied && !IsOwnDomain(from);
  if (from_foreign_domain && UsesTree()) {
    SchedulePush(base);
  }
}

void DistributionProtocol::Handle(const NodeId& from,
                                  const ReleaseAckMessage& message) {
  m_pushes.Acknowledge(from, message.revision);
  m_transfers.Finish(from);
}

void DistributionProtocol::Handle(const NodeId& from,
                                  const ReleaseRequestMessage& message) {
  const auto delta = DeltaFor(
      {.revision = message.have_revision, .digest = message.have_digest});
  if (!delta) {
    Offer(from, false);
    return;
  }
  if (SizeOf(delta->updates) > m_options.max_sent_bytes) {
    // The node has to read the release from the platform.
    ++m_counters.too_large_to_send;
    return;
  }
  const bool whole = !delta->from_revision.exists();
  const bool is_large =
      whole || SizeOf(delta->updates) > m_options.max_pushed_bytes;
  if (is_large && !m_transfers.Admit(from, m_now)) {
    ++m_counters.busy_sent;
    const auto wait =
        std::chrono::duration_cast<milliseconds>(Jittered(kBusyRetryDelay));
    Send(from, ReleaseBusyMessage{
                   .retry_after_ms = static_cast<std::uint32_t>(wait.count())});
    return;
  }
  ++(whole ? m_counters.whole_served : m_counters.deltas_served);
  Send(from, *delta);
}

void DistributionProtocol::Handle(const NodeId& from,
                                  const ReleaseBusyMessage& message) {
  ++m_counters.busy_received;
  m_requester.OnBusy(from, milliseconds(message.retry_after_ms), m_now, m_rng);
}

void DistributionProtocol::Handle(const NodeId& from,
                                  const DigestMessage& message) {
  OnPeerRevision(from, message.revision, message.release_digest);
  // Digests with membership hashes are answered by the membership exchange.
  if (message.wants_reply && message.membership_hashes.empty()) {
    Offer(from, false);
  }
}

void DistributionProtocol::Handle(const NodeId& from,
                                  const StoreHeadMessage& message) {
  if (message.is_pushed && !message.store_failed) {
    OnPeerRevision(from, message.revision, message.release_digest);
  }
}

/// Records that a peer holds a revision, so that it can be requested from it.
void DistributionProtocol::OnPeerRevision(const NodeId& from,
                                          Revision revision,
                                          const std::string& digest) {
  m_gate.OnPeerRevision(from, revision);
  if (revision <= m_store.revision()) {
    m_requester.ForgetPeer(from, m_now, m_rng);
    return;
  }
  if (!m_store.IsPermanentlyRefused(revision, digest)) {
    const Duration grace =
        IsOwnDomain(from) ? m_options.request_grace : Duration::zero();
    m_requester.OnPeerAhead(from, revision, m_now + Jittered(grace));
  }
}

template <typename Other>
void DistributionProtocol::Handle(const NodeId&, const Other&) {}

// Results of applying a release.

void DistributionProtocol::OnResult(const ApplyResult& result) {
  switch (result.outcome) {
    case ApplyOutcome::kApplied:
      OnApplied();
      return;
    case ApplyOutcome::kAlreadyHave:
      ++m_counters.already_have;
      return;
    case ApplyOutcome::kNeedsParent:
      ++m_counters.needs_parent;
      return;
    case ApplyOutcome::kRefused:
      OnRefused(*result.refused);
      return;
  }
}

void DistributionProtocol::OnApplied() {
  ++m_counters.applied;
  m_output.applied.push_back(m_store.current());
  m_requester.OnApplied(m_store.revision());
  SendStatus();
  RunDeferredForward();
  if (m_options.mode == DistributionMode::kGossip) {
    OfferToRandomMembers(m_options.gossip_fanout, false);
  }
}

void DistributionProtocol::OnRefused(const RefusedRelease& refused) {
  switch (refused.reason) {
    case ReleaseRefusal::kDigestMismatch:
      ++m_counters.refused_digest_mismatch;
      return;
    case ReleaseRefusal::kUnreadable:
      ++m_counters.refused_unreadable;
      SendStatus();
      return;
    case ReleaseRefusal::kMalformed:
      ++m_counters.refused_malformed;
      return;
    case ReleaseRefusal::kDoesNotCompile:
      ++m_counters.refused_does_not_compile;
      m_requester.Abandon(refused.revision);
      SendStatus();
      return;
  }
}

void DistributionProtocol::UpdateRequester(const NodeId& from,
                                           const ReleaseDeltaMessage& message,
                                           const ApplyResult& result) {
  if (result.outcome == ApplyOutcome::kNeedsParent &&
      !m_store.IsPermanentlyRefused(message.to_revision, message.to_digest)) {
    m_requester.PreferPeer(from, message.to_revision, m_now);
  }
  const bool is_corrupt =
      result.outcome == ApplyOutcome::kRefused &&
      result.refused->reason == ReleaseRefusal::kDigestMismatch;
  if (is_corrupt) {
    m_requester.OnPeerAhead(from, message.to_revision, m_now);
    m_requester.ForgetPeer(from, m_now, m_rng);
  }
}

// Pushes along the tree.

void DistributionProtocol::Forward(const ReleaseDeltaMessage& message,
                                   const ApplyResult& result,
                                   const ReleaseId& base) {
  if (!UsesTree() || message.subtree.empty()) {
    return;
  }
  const std::vector<NodeId> nodes = TakeUncovered(message);
  const bool is_corrupt =
      result.outcome == ApplyOutcome::kRefused &&
      result.refused->reason != ReleaseRefusal::kDoesNotCompile;
  if (is_corrupt) {
    m_deferred_forward = {
        .base = base, .to_revision = message.to_revision, .subtree = nodes};
    return;
  }
  Push(nodes, message);
}

std::vector<NodeId> DistributionProtocol::TakeUncovered(
    const ReleaseDeltaMessage& message) {
  if (message.to_revision < m_covered_revision) {
    return {};
  }
  if (message.to_revision > m_covered_revision) {
    m_covered_revision = message.to_revision;
    m_covered.clear();
  }
  std::vector<NodeId> nodes;
  for (const NodeId& node : message.subtree) {
    if (node != m_options.self && m_covered.insert(node).second) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void DistributionProtocol::Push(const std::vector<NodeId>& nodes,
                                const ReleaseDeltaMessage& delta) {
  const auto shared = std::make_shared<const ReleaseDeltaMessage>(delta);
  for (TreeBranch& branch : SplitIntoBranches(nodes, m_options.arity)) {
    ReleaseDeltaMessage message = delta;
    message.subtree = branch.subtree;
    m_pushes.Add(branch.child, {.delta = shared,
                                .subtree = std::move(branch.subtree),
                                .deadline = m_now + m_options.ack_timeout});
    ++m_counters.pushes;
    Send(branch.child, std::move(message));
  }
}

void DistributionProtocol::PushCurrent(const std::vector<NodeId>& nodes,
                                       const ReleaseId& base) {
  const auto delta = DeltaFor(base);
  const std::size_t max_bytes =
      std::min(m_options.max_pushed_bytes, m_options.max_sent_bytes);
  if (delta && SizeOf(delta->updates) <= max_bytes) {
    Push(nodes, *delta);
  }
}

void DistributionProtocol::PushAsRoot(const ReleaseId& base) {
  std::vector<NodeId> nodes = m_peers.own_domain;
  std::shuffle(nodes.begin(), nodes.end(), m_rng);
  m_covered_revision = m_store.revision();
  m_covered = m_own_domain;
  PushCurrent(nodes, base);
}

void DistributionProtocol::SchedulePush(const ReleaseId& base) {
  const ReleaseId oldest = m_scheduled_push ? m_scheduled_push->base : base;
  const auto delta = DeltaFor(oldest);
  const bool is_small =
      delta && SizeOf(delta->updates) <= m_options.small_delta_bytes;
  const Duration delay =
      is_small ? Duration::zero() : Jittered(m_options.second_push_delay);
  m_scheduled_push = {.base = oldest, .due = m_now + delay};
}

void DistributionProtocol::RunScheduledPush() {
  if (m_scheduled_push && m_scheduled_push->due <= m_now) {
    const ReleaseId base = m_scheduled_push->base;
    m_scheduled_push.reset();
    PushAsRoot(base);
  }
}

void DistributionProtocol::RunDeferredForward() {
  if (m_deferred_forward &&
      m_deferred_forward->to_revision <= m_store.revision()) {
    const DeferredForward deferred =
        *std::exchange(m_deferred_forward, std::nullopt);
    PushCurrent(deferred.subtree, deferred.base);
  }
}

void DistributionProtocol::ReplaceChild(const PendingPush& push) {
  ++m_counters.pushes_replaced;
  const bool superseded = push.delta->to_revision < m_covered_revision;
  if (m_options.replace_unacknowledged && !superseded) {
    Push(push.subtree, *push.delta);
  }
}

void DistributionProtocol::DisseminatePlatformRelease(const ReleaseId& base) {
  if (m_options.mode == DistributionMode::kPlatformWatch) {
    return;
  }
  const bool pushes = base.revision.exists() || m_options.push_first_release;
  if (UsesTree() && pushes) {
    if (IsFirstRelay()) {
      PushAsRoot(base);
    } else {
      SchedulePush(base);
    }
  }
  OfferToForeignDomains();
}

// Requests, offers and reports.

std::optional<ReleaseDeltaMessage> DistributionProtocol::DeltaFor(
    const ReleaseId& base) const {
  if (base.revision >= m_store.revision()) {
    return std::nullopt;
  }
  if (m_options.mode == DistributionMode::kTreeWholeReleases) {
    return m_store.WholeRelease();
  }
  return m_store.DeltaFrom(base.revision, base.digest);
}

void DistributionProtocol::SendRequest() {
  if (m_options.mode == DistributionMode::kPlatformWatch) {
    return;
  }
  const auto peer = m_requester.NextRequest(m_peers.own_domain, m_now, m_rng);
  if (!peer) {
    return;
  }
  ++m_counters.requests;
  const ReleaseId current = CurrentReleaseId();
  Send(*peer, ReleaseRequestMessage{.have_revision = current.revision,
                                    .have_digest = current.digest});
}

void DistributionProtocol::Offer(const NodeId& to, bool wants_reply) {
  ++m_counters.offers;
  Send(to, DigestMessage{.revision = m_store.revision(),
                         .release_digest = m_store.current()->digest,
                         .wants_reply = wants_reply});
}

void DistributionProtocol::OfferToForeignDomains() {
  for (const DomainEntryPoints& domain : m_peers.foreign_domains) {
    if (!domain.nodes.empty()) {
      Offer(domain.nodes[UniformIndex(m_rng, domain.nodes.size())], true);
    }
  }
}

void DistributionProtocol::OfferToRandomMembers(std::size_t count,
                                                bool wants_reply) {
  std::vector<NodeId> nodes;
  std::sample(m_peers.own_domain.begin(), m_peers.own_domain.end(),
              std::back_inserter(nodes), count, m_rng);
  for (const NodeId& node : nodes) {
    Offer(node, wants_reply);
  }
}

void DistributionProtocol::SendStatus() {
  for (const NodeId& relay : m_peers.relays) {
    if (relay != m_options.self) {
      Send(relay, Status());
    }
  }
  m_next_status = m_now + m_options.status_interval -
                  Jittered(m_options.status_interval / kStatusJitterDivisor);
}

void DistributionProtocol::SendPeriodicMessages() {
  if (m_now >= m_next_status) {
    SendStatus();
  }
  if (m_options.mode == DistributionMode::kPlatformWatch) {
    return;
  }
  const bool is_learning = UpdateServingState(m_now) == ServingState::kLearning;
  if (is_learning && m_now >= m_next_revision_query) {
    OfferToRandomMembers(m_options.gate.min_peers, true);
    m_next_revision_query = m_now + Jittered(m_options.revision_query_interval);
  }
  if (m_now >= m_next_offer) {
    if (IsRelay() || IsSampledForOffer()) {
      OfferToForeignDomains();
    }
    m_next_offer = m_now + Jittered(m_options.foreign_offer_interval);
  }
  const bool digest_due = m_options.digest_interval > Duration::zero() &&
                          m_now >= m_next_digest && !m_own_domain.empty();
  if (digest_due) {
    Offer(m_peers.own_domain[UniformIndex(m_rng, m_peers.own_domain.size())],
          true);
    m_next_digest = m_now + Jittered(m_options.digest_interval);
  }
}

// Helper functions.

bool DistributionProtocol::IsOwnDomain(const NodeId& node) const {
  return m_own_domain.count(node) > 0;
}

bool DistributionProtocol::IsRelay() const {
  return std::find(m_peers.relays.begin(), m_peers.relays.end(),
                   m_options.self) != m_peers.relays.end();
}

bool DistributionProtocol::IsSampledForOffer() {
  return UniformIndex(m_rng, m_peers.own_domain.size() + 1) == 0;
}

bool DistributionProtocol::IsFirstRelay() const {
  return m_peers.relays.empty() || m_peers.relays.front() == m_options.self;
}

bool DistributionProtocol::UsesTree() const {
  return m_options.mode == DistributionMode::kTree ||
         m_options.mode == DistributionMode::kTreeWholeReleases;
}

DistributionProtocol::ReleaseId DistributionProtocol::CurrentReleaseId() const {
  return {.revision = m_store.revision(), .digest = m_store.current()->digest};
}

Duration DistributionProtocol::Jittered(Duration duration) {
  const Duration half = duration / 2;
  std::uniform_int_distribution<Duration::rep> jitter(0, half.count());
  return half + Duration(jitter(m_rng));
}

void DistributionProtocol::Send(const NodeId& to, PeerMessage message) {
  m_output.messages.push_back({.to = to, .message = std::move(message)});
}

DistributionOutput DistributionProtocol::TakeOutput() {
  return std::exchange(m_output, {});
}

}  // namespace banyantrail
