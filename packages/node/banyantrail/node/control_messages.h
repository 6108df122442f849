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
#include "banyantrail/node/membership_view.h"
#include "banyantrail/wire/member_record.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Sent periodically to the actors, which use its time for their timers.
struct TickMessage {
  TimePoint now;
};

/// A message received from another node.
struct PeerMessageReceived {
  NodeId from;
  PeerMessage message;
};

/// The transport could not deliver messages to a node.
struct PeerUnreachable {
  NodeId node;
};

/// The backend servers registered at this node changed; carries all of them.
struct BackendServersChanged {
  std::vector<BackendServerRecord> servers;
};

/// The graceful shutdown of this node has begun.
struct DrainStarted {};

/// The last step of a graceful shutdown: announce the departure of this node
/// to its peers.
struct LeaveRequested {};

/// Peer addresses read from the platform, used to join the membership.
struct SeedsFound {
  std::vector<IpEndpoint> seeds;
};

/// A release that this node read from the platform.
struct ReleaseRead {
  std::shared_ptr<const Release> release;
};

/// The newest revision on the platform cannot be read by this node.
struct UnreadableReleaseFound {
  Revision revision;
  std::string reason;
};

/// The newest revision on the platform was read.
struct PlatformHeadRead {
  Revision revision;
};

struct MembershipChanged {
  std::shared_ptr<const MembershipView> view;
};

/// A release that was verified, compiled and applied on this node.
struct ReleaseApplied {
  std::shared_ptr<const Release> release;
};

/// State of the release distribution, for status and readiness reports.
struct DistributionStatus {
  ServingState serving = ServingState::kLearning;
  StatusReportMessage report;
  /// The greatest revision known to exist.
  Revision known_revision;
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::UnreadableReleaseFound)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::PlatformHeadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::MembershipChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::ReleaseApplied)
