#pragma once

#include <caf/all.hpp>
#include <functional>
#include <optional>

#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// What the distribution actor needs from the rest of the node. The functions
/// may be called from any thread.
struct DistributionActorOptions {
  DistributionProtocol::Options protocol;
  std::function<void(std::vector<AddressedMessage>)> send;
  std::function<void(std::shared_ptr<const Release>)> apply;
  std::function<void(DistributionStatus)> publish_status;
};

struct DistributionActorState {
  std::optional<DistributionProtocol> protocol;
  DistributionActorOptions options;
  DistributionStatus status;
};

/// Holds the distribution of releases at a node; see DistributionProtocol.
caf::behavior DistributionActor(
    caf::stateful_actor<DistributionActorState>* self,
    DistributionActorOptions options,
    TimePoint start);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::DistributionActorOptions)
