#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>

#include "banyantrail/config/release_compiler.h"
#include "banyantrail/node/control_messages.h"
#include "banyantrail/traffic/routing_snapshot.h"

namespace banyantrail {

/// What the routing actor needs from the rest of the node. `publish` may be
/// called from any thread.
struct RoutingActorOptions {
  Labels labels;
  RegionId region;
  DomainId domain;
  std::shared_ptr<ReleaseCompiler> compiler;
  std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
};

struct RoutingActorState {
  RoutingActorOptions options;
  /// Of the applied release; null before the first.
  std::shared_ptr<const CompileResult> compiled;
  std::shared_ptr<const MembershipView> view;
  /// The last snapshot of `compiled`; null when another was compiled since.
  std::shared_ptr<const RoutingSnapshot> published;
  bool is_stale = false;
};

/// Compiles the applied release and the membership into the snapshot that the
/// request path uses. Publishes at most once per tick.
caf::behavior RoutingActor(caf::stateful_actor<RoutingActorState>* self,
                           RoutingActorOptions options);

}  // namespace banyantrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyantrail::RoutingActorOptions)
