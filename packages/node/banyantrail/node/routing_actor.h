#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>

#include "banyantrail/config/release_compiler.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// Settings and callbacks of the routing actor. The actor calls `publish` on
/// its worker thread.
struct RoutingActorOptions {
  Labels labels;
  RegionId region;
  DomainId domain;
  std::shared_ptr<ReleaseCompiler> compiler;
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
};

struct RoutingActorState {
  RoutingActorOptions options;
  /// The compiled form of the applied release; null before the first release.
  std::shared_ptr<const CompileResult> compiled;
  std::shared_ptr<const MembershipView> view;
  /// The last snapshot made from `compiled`; null if there is none yet.
  std::shared_ptr<const RoutingSnapshot> last_snapshot;
  bool snapshot_is_stale = false;
};

/// Compiles the applied release and the membership view into the routing
/// snapshot that the data plane uses. Publishes a snapshot immediately when a
/// release is applied, and at most once per tick for membership changes.
caf::behavior RoutingActor(caf::stateful_actor<RoutingActorState>* self,
                           RoutingActorOptions options);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::RoutingActorOptions)
