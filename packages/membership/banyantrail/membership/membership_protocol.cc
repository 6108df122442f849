#include "banyantrail/membership/membership_protocol.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "banyantrail/membership/member_merge.h"

namespace banyantrail {
namespace {

/// Copies node id and domain from the own record to the options of a component.
template <typename ComponentOptions>
ComponentOptions WithIdentity(ComponentOptions options,
                              const MemberRecord& own_record) {
  options.self = own_record.node;
  options.domain = own_record.domain;
  return options;
}

/// Probes and digests go to members with which the sender keeps contact. The
/// receiver uses them to correct a sender that does not know what other members
/// believe about it.
bool IsProbeOrDigest(const PeerMessage& message) {
  return std::holds_alternative<ProbeMessage>(message) ||
         std::holds_alternative<DigestMessage>(message);
}

/// Whether the sender reports an older revision than it is known to have
/// applied, as a node does that was replaced in place.
bool ReportsOlderRevision(const MemberRecord& sender,
                          const PeerMessage& message) {
  const auto* digest = std::get_if<DigestMessage>(&message);
  return digest != nullptr && digest->revision < sender.applied_revision;
}

}  // namespace

MembershipProtocol::MembershipProtocol(Options options, TimePoint now)
    : m_self(options.own_record.node),
      m_refutes_suspicions(options.refutes_suspicions),
      m_rng(options.rng_seed),
      m_table(options.table),
      m_failure_detector(
          WithIdentity(options.failure_detector, options.own_record)),
      m_update_disseminator(
          WithIdentity(options.update_disseminator, options.own_record)),
      m_anti_entropy(WithIdentity(options.anti_entropy, options.own_record)) {
  MemberRecord own = std::move(options.own_record);
  own.sequence = std::max<std::uint64_t>(own.sequence, 1);
  own.state = MemberState::kAlive;
  m_table.Merge(own, now);
  m_anti_entropy.SetSeeds(std::move(options.seeds));
}

MembershipOutput MembershipProtocol::OnTick(TimePoint now) {
  MembershipOutput output;
  if (m_has_left) {
    return output;
  }
  m_table.Expire(now);
  ApplyActions(m_failure_detector.Tick(m_table, now, m_rng), now, output);
  Append(m_anti_entropy.Tick(m_table, now, m_rng), output);
  if (has_joined() && !m_has_announced) {
    m_has_announced = true;
    m_update_disseminator.Enqueue(m_self, DisseminationScope::kFleet);
  }
  Append(m_update_disseminator.Tick(m_table, now, m_rng), output);
  TrackIsolation(now);
  return output;
}

MembershipOutput MembershipProtocol::OnMessage(const NodeId& from,
                                               const PeerMessage& message,
                                               TimePoint now) {
  MembershipOutput output;
  if (m_has_left || from == m_self) {
    return output;
  }
  std::visit([&](const auto& body) { Handle(from, body, now, output); },
             message);
  CheckSender(from, message, output);
  return output;
}

MembershipOutput MembershipProtocol::OnPeerUnreachable(const NodeId& node,
                                                       TimePoint now) {
  m_failure_detector.OnPeerUnreachable(node, now);
  return OnTick(now);
}

MembershipOutput MembershipProtocol::SetBackendServers(
    std::vector<BackendServerRecord> servers,
    TimePoint now) {
  MemberRecord record = own_record();
  record.backend_servers = std::move(servers);
  return PublishOwnRecord(std::move(record), now);
}

MembershipOutput MembershipProtocol::SetDraining(bool draining, TimePoint now) {
  MemberRecord record = own_record();
  record.draining = draining;
  return PublishOwnRecord(std::move(record), now);
}

MembershipOutput MembershipProtocol::SetLabels(Labels labels, TimePoint now) {
  MemberRecord record = own_record();
  record.labels = std::move(labels);
  return PublishOwnRecord(std::move(record), now);
}

MembershipOutput MembershipProtocol::Leave(TimePoint now) {
  MembershipOutput output;
  if (m_has_left) {
    return output;
  }
  RaiseState(m_self, MemberState::kLeft, now, output);
  m_update_disseminator.Enqueue(m_self, DisseminationScope::kFleet);
  Append(m_update_disseminator.Flush(m_table, now, m_rng), output);
  m_has_left = true;
  return output;
}

void MembershipProtocol::SetReleaseDigest(Revision revision,
                                          std::string digest) {
  m_table.RaiseAppliedRevision(m_self, revision);
  m_anti_entropy.SetReleaseDigest(revision, std::move(digest));
}

void MembershipProtocol::RaiseAppliedRevision(const NodeId& node,
                                              Revision revision) {
  m_table.RaiseAppliedRevision(node, revision);
}

void MembershipProtocol::SetSeeds(std::vector<IpEndpoint> seeds) {
  m_anti_entropy.SetSeeds(std::move(seeds));
}

const MemberRecord& MembershipProtocol::own_record() const {
  return *m_table.Find(m_self);
}

void MembershipProtocol::Handle(const NodeId& from,
                                const DigestMessage& digest,
                                TimePoint now,
                                MembershipOutput& output) {
  m_table.RaiseAppliedRevision(from, digest.revision);
  output.reported_release = {.from = from,
                             .revision = digest.revision,
                             .digest = digest.release_digest};
  Append(m_anti_entropy.OnDigest(from, digest, m_table, now, m_rng), output);
}

void MembershipProtocol::Handle(const NodeId& from,
                                const MembershipPullMessage& pull,
                                TimePoint now,
                                MembershipOutput& output) {
  Append(m_anti_entropy.OnPull(from, pull, m_table, now), output);
}

void MembershipProtocol::Handle(const NodeId& from,
                                const MembershipUpdateMessage& update,
                                TimePoint now,
                                MembershipOutput& output) {
  Append(m_update_disseminator.Forward(update), output);
  for (const MemberRecord& record : update.records) {
    MergeReceived(from, record, now, output);
  }
}

void MembershipProtocol::Handle(const NodeId& from,
                                const ProbeMessage& probe,
                                TimePoint now,
                                MembershipOutput& output) {
  ApplyActions(m_failure_detector.OnProbe(from, probe, now), now, output);
}

void MembershipProtocol::Handle(const NodeId& from,
                                const ProbeAckMessage& ack,
                                TimePoint now,
                                MembershipOutput& output) {
  ApplyActions(m_failure_detector.OnAck(from, ack, now), now, output);
}

void MembershipProtocol::CheckSender(const NodeId& from,
                                     const PeerMessage& message,
                                     MembershipOutput& output) {
  const MemberRecord* sender = m_table.Find(from);
  if (sender != nullptr) {
    m_anti_entropy.OnMessageFromDomain(sender->domain);
  }
  if (!IsProbeOrDigest(message)) {
    return;
  }
  if (sender == nullptr) {
    output.messages.push_back(
        {.to = from, .message = MembershipPullMessage{.wanted = {from}}});
  } else if (sender->state != MemberState::kAlive ||
             ReportsOlderRevision(*sender, message)) {
    output.messages.push_back({.to = from,
                               .message = MembershipUpdateMessage{
                                   .records = {StateNoticeOf(*sender)}}});
  }
}

void MembershipProtocol::MergeReceived(const NodeId& from,
                                       const MemberRecord& record,
                                       TimePoint now,
                                       MembershipOutput& output) {
  if (record.node == m_self) {
    MergeReceivedOwnRecord(record, now, output);
    return;
  }
  switch (m_table.Merge(record, now)) {
    case MergeResult::kUnchanged:
      break;
    case MergeResult::kExpired:
      ++m_counters.expired_records_rejected;
      if (IsLive(record.state)) {
        MemberRecord notice = StateNoticeOf(record);
        notice.state = MemberState::kDead;
        output.messages.push_back(
            {.to = from,
             .message = MembershipUpdateMessage{.records = {notice}}});
      }
      break;
    case MergeResult::kChanged: {
      const MemberRecord& merged = *m_table.Find(record.node);
      output.changed.insert(record.node);
      m_failure_detector.OnRecordChanged(merged, now);
      // Changes that a node learns before it has joined are new to this node
      // only, so it does not gossip them.
      if (has_joined()) {
        m_update_disseminator.EnqueueGossip(record.node);
      }
      DeclareReplacedMembersDead(merged, now, output);
      break;
    }
  }
}

void MembershipProtocol::MergeReceivedOwnRecord(const MemberRecord& record,
                                                TimePoint now,
                                                MembershipOutput& output) {
  m_table.RaiseAppliedRevision(m_self, record.applied_revision);
  const MemberRecord& own = own_record();
  const bool is_newer = IsNewerThan(VersionOf(record), VersionOf(own));
  if (!is_newer || !m_refutes_suspicions) {
    return;
  }
  ++m_counters.refutations;
  MemberRecord refutation = own;
  refutation.incarnation = record.incarnation + 1;
  m_table.Merge(refutation, now);
  output.changed.insert(m_self);
  m_update_disseminator.Enqueue(m_self, DisseminationScope::kFleet);
}

void MembershipProtocol::RaiseState(const NodeId& node,
                                    MemberState state,
                                    TimePoint now,
                                    MembershipOutput& output) {
  const MemberRecord* record = m_table.Find(node);
  if (record == nullptr) {
    return;
  }
  MemberRecord raised = *record;
  raised.state = state;
  if (m_table.Merge(raised, now) == MergeResult::kChanged) {
    output.changed.insert(node);
    m_failure_detector.OnRecordChanged(*m_table.Find(node), now);
  }
}

void MembershipProtocol::DeclareReplacedMembersDead(const MemberRecord& record,
                                                    TimePoint now,
                                                    MembershipOutput& output) {
  if (record.state != MemberState::kAlive || record.peer_address.port == 0) {
    return;
  }
  std::vector<NodeId> replaced_members;
  for (const auto& [node, other] : m_table.records()) {
    if (other.peer_address == record.peer_address && node != record.node &&
        node != m_self && IsLive(other.state) &&
        other.incarnation < record.incarnation) {
      replaced_members.push_back(node);
    }
  }
  for (const NodeId& node : replaced_members) {
    RaiseState(node, MemberState::kDead, now, output);
  }
}

void MembershipProtocol::ApplyActions(FailureDetector::Actions actions,
                                      TimePoint now,
                                      MembershipOutput& output) {
  for (FailureDetector::OutgoingProbe& probe : actions.probes) {
    output.messages.push_back(
        {.to = std::move(probe.to), .message = std::move(probe.message)});
  }
  for (FailureDetector::OutgoingAck& ack : actions.acks) {
    output.messages.push_back(
        {.to = std::move(ack.to), .message = std::move(ack.message)});
  }
  for (const NodeId& node : actions.suspected) {
    ++m_counters.suspicions_raised;
    RaiseState(node, MemberState::kSuspect, now, output);
    m_update_disseminator.Enqueue(node, DisseminationScope::kOwnDomain);
  }
  for (const FailureDetector::Death& death : actions.dead) {
    RaiseState(death.node, MemberState::kDead, now, output);
    if (death.found_locally) {
      ++m_counters.deaths_found;
      m_update_disseminator.Enqueue(death.node, DisseminationScope::kFleet);
    }
  }
}

void MembershipProtocol::TrackIsolation(TimePoint now) {
  if (is_isolated() && !m_was_isolated) {
    ++m_counters.isolations;
  }
  if (!is_isolated() && m_was_isolated) {
    m_anti_entropy.RestartJoin(now);
  }
  m_was_isolated = is_isolated();
}

void MembershipProtocol::Append(std::vector<OutgoingMessage> messages,
                                MembershipOutput& output) {
  std::move(messages.begin(), messages.end(),
            std::back_inserter(output.messages));
}

MembershipOutput MembershipProtocol::PublishOwnRecord(MemberRecord record,
                                                      TimePoint now) {
  MembershipOutput output;
  if (record == own_record() || m_has_left) {
    return output;
  }
  ++record.sequence;
  m_table.Merge(record, now);
  output.changed.insert(m_self);
  m_update_disseminator.Enqueue(m_self, DisseminationScope::kFleet);
  Append(m_update_disseminator.Tick(m_table, now, m_rng), output);
  return output;
}

}  // namespace banyantrail
