#pragma once

#include <caf/all.hpp>
#include <functional>
#include <optional>

#include "banyantrail/membership/membership_protocol.h"
#include "banyantrail/node/control_messages.h"

namespace banyantrail {

/// What the membership actor needs from the rest of the node. The functions
/// may be called from any thread.
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

/// Holds the membership of a node; see MembershipProtocol. Publishes a new view
/// at most once per tick.
caf::behavior MembershipActor(caf::stateful_actor<MembershipActorState>* self,
                              MembershipActorOptions options,
                              TimePoint start);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::MembershipActorOptions)
