#include "banyantrail/node/routing_actor.h"

#include <utility>

namespace banyantrail {
namespace {

void PublishIfStale(RoutingActorState& state) {
  if (!state.snapshot_is_stale || !state.compiled || !state.view) {
    return;
  }
  state.snapshot_is_stale = false;
  if (state.last_snapshot) {
    state.last_snapshot = std::make_shared<const RoutingSnapshot>(
        *state.last_snapshot, state.view->members);
  } else {
    const ProxyIdentity proxy{.labels = state.options.labels,
                              .region = state.options.region,
                              .domain = state.options.domain};
    state.last_snapshot = std::make_shared<const RoutingSnapshot>(
        *state.compiled->config, proxy, state.view->members);
  }
  state.options.publish(state.last_snapshot);
}

}  // namespace

caf::behavior RoutingActor(caf::stateful_actor<RoutingActorState>* self,
                           RoutingActorOptions options) {
  RoutingActorState& state = self->state;
  state.options = std::move(options);
  return {
      [&state](const TickMessage&) { PublishIfStale(state); },
      [&state](const MembershipChanged& changed) {
        state.view = changed.view;
        state.snapshot_is_stale = true;
      },
      [&state](const ReleaseApplied& applied) {
        // Cannot fail: the distribution applies only releases that compile.
        state.compiled = state.options.compiler->Compile(*applied.release);
        state.last_snapshot = nullptr;
        state.snapshot_is_stale = true;
        PublishIfStale(state);
      },
  };
}

}  // namespace banyantrail
