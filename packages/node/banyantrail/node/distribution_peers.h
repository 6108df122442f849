#pragma once

#include "banyantrail/distribution/distribution_protocol.h"
#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// The part of a membership view that distribution works with: the live
/// members of the own failure domain, a few entry points into each other
/// domain, and the relays.
DistributionPeers PeersOf(const MembershipView& view);

}  // namespace banyantrail
