#pragma once

#include <caf/all.hpp>
#include <functional>
#include <optional>

#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// Settings and callbacks of the distribution actor. The actor calls the
/// functions on a thread of the actor system.
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
  /// Version of the membership that the protocol knows.
  std::uint64_t membership_version = 0;
};

/// Runs the DistributionProtocol of a node.
caf::behavior DistributionActor(
    caf::stateful_actor<DistributionActorState>* self,
    DistributionActorOptions options,
    TimePoint start);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::DistributionActorOptions)
