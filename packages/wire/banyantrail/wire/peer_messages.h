#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/wire/member_record.h"

namespace banyantrail {

/// First message on each connection, from the side that opened it.
struct HelloMessage {
  NodeId node;
  DomainId domain;
  Incarnation incarnation = 0;
  /// Where the sender accepts connections, so that the receiver can answer on
  /// one of its own.
  IpEndpoint peer_address;

  friend bool operator==(const HelloMessage&, const HelloMessage&) = default;
  MSGPACK_DEFINE(node, domain, incarnation, peer_address)
};

/// One declared object as it travels: its canonical JSON.
struct ObjectUpdate {
  /// "kind/name".
  std::string key;
  /// Canonical JSON; empty when the object is removed.
  std::string json;

  friend bool operator==(const ObjectUpdate&, const ObjectUpdate&) = default;
  MSGPACK_DEFINE(key, json)
};

/// The difference between two revisions, or a whole revision when
/// `from_revision` is 0. A receiver applies it only if it holds exactly
/// `from_revision` and the result has `to_digest`.
struct ReleaseDeltaMessage {
  Revision from_revision = 0;
  Revision to_revision = 0;
  std::string to_digest;
  std::vector<ObjectUpdate> updates;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;
  /// The operator's change, for logs and histories.
  ChangeId change;

  friend bool operator==(const ReleaseDeltaMessage&,
                         const ReleaseDeltaMessage&) = default;
  MSGPACK_DEFINE(from_revision,
                 to_revision,
                 to_digest,
                 updates,
                 subtree,
                 change)
};

/// Confirms that a delta arrived; says nothing about its being applied.
struct ReleaseAckMessage {
  Revision revision = 0;

  friend bool operator==(const ReleaseAckMessage&,
                         const ReleaseAckMessage&) = default;
  MSGPACK_DEFINE(revision)
};

/// Asks a peer for what lies between `have_revision` and its newest revision.
/// 0 asks for the whole.
struct ReleaseRequestMessage {
  Revision have_revision = 0;
  /// The digest of what the asker holds, so that the peer can send a delta.
  std::string have_digest;

  friend bool operator==(const ReleaseRequestMessage&,
                         const ReleaseRequestMessage&) = default;
  MSGPACK_DEFINE(have_revision, have_digest)
};

/// Tells an asker that its full transfer has to wait.
struct ReleaseBusyMessage {
  std::uint32_t retry_after_ms = 0;

  friend bool operator==(const ReleaseBusyMessage&,
                         const ReleaseBusyMessage&) = default;
  MSGPACK_DEFINE(retry_after_ms)
};

/// Anti-entropy: what the sender holds, in a few bytes.
struct DigestMessage {
  Revision revision = 0;
  std::string release_digest;
  /// One hash per bucket of the membership table. Empty in a reply, because the
  /// receiver of the first digest already compared them.
  std::vector<std::uint64_t> membership_hashes;
  /// The sender wants a DigestMessage back.
  bool wants_reply = false;

  friend bool operator==(const DigestMessage&, const DigestMessage&) = default;
  MSGPACK_DEFINE(revision, release_digest, membership_hashes, wants_reply)
};

/// Asks for the member records in the given buckets that are newer than what
/// the sender knows, and for single records by name.
struct MembershipPullMessage {
  std::vector<std::uint32_t> buckets;
  /// What the sender holds in `buckets`.
  std::vector<MemberVersion> known;
  /// Records wanted whatever their bucket.
  std::vector<NodeId> wanted;

  friend bool operator==(const MembershipPullMessage&,
                         const MembershipPullMessage&) = default;
  MSGPACK_DEFINE(buckets, known, wanted)
};

/// Member records, either new or asked for.
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
/// still proves that the receiver is not cut off.
struct ProbeAckMessage {
  std::uint64_t probe_id = 0;
  NodeId target;

  friend bool operator==(const ProbeAckMessage&,
                         const ProbeAckMessage&) = default;
  MSGPACK_DEFINE(probe_id, target)
};

/// What a node tells the relays of its failure domain about itself.
struct StatusReportMessage {
  NodeId node;
  Labels labels;
  Revision applied_revision = 0;
  /// The newest revision that the node refused, or 0.
  Revision refused_revision = 0;
  std::string refusal_reason;

  friend bool operator==(const StatusReportMessage&,
                         const StatusReportMessage&) = default;
  MSGPACK_DEFINE(node,
                 labels,
                 applied_revision,
                 refused_revision,
                 refusal_reason)
};

/// A backend server of the sender crashed; these requests may have caused it.
struct CrashReportMessage {
  /// With `incarnation` and `sequence` it names the report, so that one which
  /// arrives twice counts once.
  NodeId node;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  /// Fingerprints of the requests in flight.
  std::vector<std::uint64_t> suspects;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;

  friend bool operator==(const CrashReportMessage&,
                         const CrashReportMessage&) = default;
  MSGPACK_DEFINE(node, incarnation, sequence, suspects, subtree)
};

/// The sender watches the store, which holds this revision now.
struct StoreHeadMessage {
  Revision revision = 0;
  std::string release_digest;
  /// The sender pushes the revision to its peers. Off for one that differs too
  /// much from the one before: receivers read it from the store.
  bool comes_by_tree = true;

  friend bool operator==(const StoreHeadMessage&,
                         const StoreHeadMessage&) = default;
  MSGPACK_DEFINE(revision, release_digest, comes_by_tree)
};

/// Every message between nodes. The position in the list is its wire number,
/// so new messages go to the end.
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
                                 StoreHeadMessage>;

}  // namespace banyantrail
