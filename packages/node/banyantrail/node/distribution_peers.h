#pragma once

#include "banyantrail/distribution/distribution_protocol.h"
#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// Selects the nodes that distribution communicates with: the live members of
/// the node's own failure domain, its relays, and a few nodes of each other
/// failure domain.
DistributionPeers SelectDistributionPeers(const MembershipView& view);

}  // namespace banyantrail
