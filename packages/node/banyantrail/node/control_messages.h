#pragma once

#include <caf/allowed_unsafe_message_type.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/distribution/distribution_protocol.h"
#include "banyantrail/wire/member_record.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Time has passed. Actors read no clock themselves.
struct TickMessage {
  TimePoint now;
};

/// A message of another node.
struct PeerMessageReceived {
  NodeId from;
  PeerMessage message;
};

/// The transport could not deliver to a node.
struct PeerUnreachable {
  NodeId node;
};

/// The backend servers beside this node, after a change.
struct BackendServersChanged {
  std::vector<BackendServerRecord> servers;
};

/// The planned stop of this node has begun.
struct DrainStarted {};

/// The last step of a planned stop: say goodbye.
struct LeaveRequested {};

/// Addresses of relays, read from the platform for first contact.
struct SeedsFound {
  std::vector<IpEndpoint> seeds;
};

/// A release that this node read from the platform, as a relay.
struct ReleaseRead {
  std::shared_ptr<const Release> release;
};

/// The platform was read; its newest revision is known.
struct PlatformHeadRead {
  Revision revision = 0;
};

/// What the node sees of the fleet at one moment. Immutable.
struct MembershipView {
  MemberRecord own;
  /// All known members, the own one included, whatever their state.
  std::vector<MemberRecord> members;
  /// The node may be cut off from its failure domain.
  bool isolated = false;
  /// The whole table was pulled from a peer since the start.
  bool joined = false;
  /// The greatest revision that any member is known to have applied.
  Revision greatest_revision = 0;

  friend bool operator==(const MembershipView&,
                         const MembershipView&) = default;
};

struct MembershipChanged {
  std::shared_ptr<const MembershipView> view;
};

/// A release that was verified, compiled and applied on this node.
struct ReleaseApplied {
  std::shared_ptr<const Release> release;
};

/// What the distribution says of itself, for status and readiness.
struct DistributionStatus {
  ServingState serving = ServingState::kLearning;
  StatusReportMessage report;
  /// The greatest revision heard of.
  Revision known_revision = 0;
  DistributionCounters counters;

  friend bool operator==(const DistributionStatus&,
                         const DistributionStatus&) = default;
};

}  // namespace banyantrail

// These messages stay within the process.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::TickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::PeerMessageReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::PeerUnreachable)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::BackendServersChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::DrainStarted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::LeaveRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::SeedsFound)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::ReleaseRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::PlatformHeadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::MembershipChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::ReleaseApplied)
