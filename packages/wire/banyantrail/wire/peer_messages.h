#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/wire/member_record.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

// Revisions are sent as their number in the place where builds from before eras
// expect it, and their version and era at the end, which those builds skip.

/// First message on each connection, from the side that opened it.
struct HelloMessage {
  NodeId node;
  DomainId domain;
  Incarnation incarnation = 0;
  /// Where the sender accepts connections, so that the receiver can answer on a
  /// connection that it opens itself.
  IpEndpoint peer_address;

  friend bool operator==(const HelloMessage&, const HelloMessage&) = default;
  MSGPACK_DEFINE(node, domain, incarnation, peer_address)
};

/// A change of one declared object.
struct ObjectUpdate {
  /// "kind/name".
  std::string key;
  /// The object's canonical JSON; empty when the object is removed.
  std::string json;

  friend bool operator==(const ObjectUpdate&, const ObjectUpdate&) = default;
  MSGPACK_DEFINE(key, json)
};

/// The difference between two revisions, or a whole revision when
/// there is no `from_revision`. A receiver applies it only if it holds exactly
/// `from_revision` and the result has `to_digest`.
struct ReleaseDeltaMessage {
  Revision from_revision;
  Revision to_revision;
  std::string to_digest;
  std::vector<ObjectUpdate> updates;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;
  /// The id of the operator's change, for logs and the change history.
  ChangeId change;

  friend bool operator==(const ReleaseDeltaMessage&,
                         const ReleaseDeltaMessage&) = default;
  MSGPACK_DEFINE(from_revision.number,
                 to_revision.number,
                 to_digest,
                 updates,
                 subtree,
                 change,
                 from_revision.version,
                 from_revision.era,
                 to_revision.version,
                 to_revision.era)
};

/// Confirms that a delta was received, not that it was applied.
struct ReleaseAckMessage {
  Revision revision;

  friend bool operator==(const ReleaseAckMessage&,
                         const ReleaseAckMessage&) = default;
  MSGPACK_DEFINE(revision.number, revision.version, revision.era)
};

/// Requests the changes between `have_revision` and the peer's newest revision,
/// or the whole release when there is no `have_revision`.
struct ReleaseRequestMessage {
  Revision have_revision;
  /// The digest of the release that the requester holds, so that the peer can
  /// send a delta.
  std::string have_digest;

  friend bool operator==(const ReleaseRequestMessage&,
                         const ReleaseRequestMessage&) = default;
  MSGPACK_DEFINE(have_revision.number,
                 have_digest,
                 have_revision.version,
                 have_revision.era)
};

/// Tells a requester that its full transfer has to wait.
struct ReleaseBusyMessage {
  std::uint32_t retry_after_ms = 0;

  friend bool operator==(const ReleaseBusyMessage&,
                         const ReleaseBusyMessage&) = default;
  MSGPACK_DEFINE(retry_after_ms)
};

/// Anti-entropy: a summary of the configuration and the membership table that
/// the sender holds.
struct DigestMessage {
  Revision revision;
  std::string release_digest;
  /// One hash per bucket of the membership table. Empty in a reply, because the
  /// receiver of the first digest has already compared the hashes.
  std::vector<std::uint64_t> membership_hashes;
  /// The sender wants a DigestMessage back.
  bool wants_reply = false;

  friend bool operator==(const DigestMessage&, const DigestMessage&) = default;
  MSGPACK_DEFINE(revision.number,
                 release_digest,
                 membership_hashes,
                 wants_reply,
                 revision.version,
                 revision.era)
};

/// Requests the member records in the given buckets that are newer than those
/// of the sender, and single records by node.
struct MembershipPullMessage {
  std::vector<std::uint32_t> buckets;
  /// The versions that the sender holds in `buckets`.
  std::vector<MemberVersion> known;
  /// Nodes whose records are requested whatever their bucket.
  std::vector<NodeId> wanted;

  friend bool operator==(const MembershipPullMessage&,
                         const MembershipPullMessage&) = default;
  MSGPACK_DEFINE(buckets, known, wanted)
};

/// Member records that changed or were requested.
struct MembershipUpdateMessage {
  std::vector<MemberRecord> records;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;

  friend bool operator==(const MembershipUpdateMessage&,
                         const MembershipUpdateMessage&) = default;
  MSGPACK_DEFINE(records, subtree)
};

/// Failure detection: asks the receiver to answer, or, with a `target`, to
/// probe that member on the sender's behalf.
struct ProbeMessage {
  std::uint64_t probe_id = 0;
  NodeId target;

  friend bool operator==(const ProbeMessage&, const ProbeMessage&) = default;
  MSGPACK_DEFINE(probe_id, target)
};

/// The answer to a probe; `target` is the member found alive. An empty target
/// says that the member probed on the receiver's behalf did not answer, which
/// still proves that the receiver is not isolated.
struct ProbeAckMessage {
  std::uint64_t probe_id = 0;
  NodeId target;

  friend bool operator==(const ProbeAckMessage&,
                         const ProbeAckMessage&) = default;
  MSGPACK_DEFINE(probe_id, target)
};

/// Sent by a node to the relays of its failure domain to report its own status.
struct StatusReportMessage {
  NodeId node;
  Labels labels;
  Revision applied_revision;
  /// The newest revision that the node refused, or 0.
  Revision refused_revision;
  std::string refusal_reason;

  friend bool operator==(const StatusReportMessage&,
                         const StatusReportMessage&) = default;
  MSGPACK_DEFINE(node,
                 labels,
                 applied_revision.number,
                 refused_revision.number,
                 refusal_reason,
                 applied_revision.version,
                 applied_revision.era,
                 refused_revision.version,
                 refused_revision.era)
};

/// A backend server of the sender crashed; these requests may have caused it.
struct CrashReportMessage {
  /// Together with `incarnation` and `sequence` identifies the report, so that
  /// a duplicate is not counted twice.
  NodeId node;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  /// Fingerprints of the requests that were in flight.
  std::vector<std::uint64_t> suspects;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;

  friend bool operator==(const CrashReportMessage&,
                         const CrashReportMessage&) = default;
  MSGPACK_DEFINE(node, incarnation, sequence, suspects, subtree)
};

/// Sent by a node that watches the store: the store's current revision, or that
/// the store does not respond.
struct StoreHeadMessage {
  Revision revision;
  std::string release_digest;
  /// Whether the sender pushes the revision to its peers. False for a revision
  /// that differs too much from the previous one; receivers read such a
  /// revision from the store.
  bool is_pushed = true;
  /// The store does not respond to the sender; the other fields are not set.
  /// Earlier versions do not send this field.
  bool store_failed = false;
  /// The era of the store that the sender knows, which may be later than that
  /// of `revision`. 0 if it knows none; earlier versions do not send it.
  std::uint64_t store_era = 0;

  friend bool operator==(const StoreHeadMessage&,
                         const StoreHeadMessage&) = default;
  MSGPACK_DEFINE(revision.number,
                 release_digest,
                 is_pushed,
                 store_failed,
                 revision.version,
                 revision.era,
                 store_era)
};

/// Asks for the receiver's newest confirmation of the store's revision.
struct ConfirmationRequestMessage {
  /// Identifies the request among those of all processes that the sender's node
  /// has ever run, so that a reply to an earlier process is not accepted.
  std::uint64_t sequence = 0;

  friend bool operator==(const ConfirmationRequestMessage&,
                         const ConfirmationRequestMessage&) = default;
  MSGPACK_DEFINE(sequence)
};

/// The reply: `age_ms` before the reply, `revision` was the store's newest
/// configuration. The receiver counts the age from when it sent its request.
struct ConfirmationReplyMessage {
  std::uint64_t sequence = 0;
  Revision revision;
  /// Rounded up.
  std::uint32_t age_ms = 0;
  /// What the sender has applied; builds from before eras do not send it.
  Revision applied;

  friend bool operator==(const ConfirmationReplyMessage&,
                         const ConfirmationReplyMessage&) = default;
  MSGPACK_DEFINE(sequence,
                 revision.number,
                 age_ms,
                 revision.version,
                 revision.era,
                 applied.number,
                 applied.version,
                 applied.era)
};

/// Asks the holder of a team's tokens for tokens, see TeamQuotas.
struct QuotaRequestMessage {
  /// Identifies the request among those of the sender.
  std::uint64_t sequence = 0;
  TeamName team;
  /// Tokens for requests that wait at the sender.
  std::uint32_t tokens = 0;
  /// Further tokens, for requests that the sender expects.
  std::uint32_t prefetch = 0;

  friend bool operator==(const QuotaRequestMessage&,
                         const QuotaRequestMessage&) = default;
  MSGPACK_DEFINE(sequence, team, tokens, prefetch)
};

/// The reply of the holder.
struct QuotaReplyMessage {
  /// That of the request.
  std::uint64_t sequence = 0;
  TeamName team;
  std::uint32_t granted = 0;
  /// If fewer than `tokens` were granted: when to ask this holder again.
  std::uint32_t retry_after_ms = 0;

  friend bool operator==(const QuotaReplyMessage&,
                         const QuotaReplyMessage&) = default;
  MSGPACK_DEFINE(sequence, team, granted, retry_after_ms)
};

/// All messages between nodes. The position in the list is the message's type
/// number on the wire, so new messages are added at the end.
using PeerMessage = std::variant<HelloMessage,
                                 ReleaseDeltaMessage,
                                 ReleaseAckMessage,
                                 ReleaseRequestMessage,
                                 ReleaseBusyMessage,
                                 DigestMessage,
                                 MembershipPullMessage,
                                 MembershipUpdateMessage,
                                 ProbeMessage,
                                 ProbeAckMessage,
                                 StatusReportMessage,
                                 CrashReportMessage,
                                 StoreHeadMessage,
                                 ConfirmationRequestMessage,
                                 ConfirmationReplyMessage,
                                 QuotaRequestMessage,
                                 QuotaReplyMessage,
                                 RolloutDirectiveMessage,
                                 RolloutReportMessage>;

}  // namespace banyantrail
