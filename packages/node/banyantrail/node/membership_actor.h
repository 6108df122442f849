#pragma once

#include <caf/all.hpp>
#include <functional>
#include <optional>

#include "banyantrail/membership/membership_protocol.h"
#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// Settings and callbacks of the membership actor. The actor calls the
/// functions on a thread of the actor system.
struct MembershipActorOptions {
  MembershipProtocol::Options protocol;
  std::function<void(std::vector<OutgoingMessage>)> send;
  std::function<void(std::shared_ptr<const MembershipView>)> publish;
};

struct MembershipActorState {
  std::optional<MembershipProtocol> protocol;
  MembershipActorOptions options;
  /// Records changed since the last view was published.
  bool view_is_stale = true;
  std::shared_ptr<const MembershipView> view;
};

/// Runs the MembershipProtocol of a node. Publishes a new view on a tick or a
/// change of the local backend servers.
caf::behavior MembershipActor(caf::stateful_actor<MembershipActorState>* self,
                              MembershipActorOptions options,
                              TimePoint start);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::MembershipActorOptions)
