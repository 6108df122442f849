#include "banyantrail/node/routing_actor.h"

#include <utility>

namespace banyantrail {
namespace {

void PublishIfStale(RoutingActorState& state) {
  if (!state.is_stale || !state.compiled || !state.view) {
    return;
  }
  state.is_stale = false;
  if (state.published) {
    state.published = std::make_shared<const RoutingSnapshot>(
        *state.published, state.view->members);
  } else {
    const ProxyIdentity proxy{.labels = state.options.labels,
                              .region = state.options.region,
                              .domain = state.options.domain};
    state.published = std::make_shared<const RoutingSnapshot>(
        *state.compiled->config, proxy, state.view->members);
  }
  state.options.publish(state.published);
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
        state.is_stale = true;
      },
      [&state](const ReleaseApplied& applied) {
        // Cannot fail: the distribution applies only releases that compile.
        state.compiled = state.options.compiler->Compile(*applied.release);
        state.published = nullptr;
        state.is_stale = true;
        PublishIfStale(state);
      },
  };
}

}  // namespace banyantrail
