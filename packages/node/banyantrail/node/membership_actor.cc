#include "banyantrail/node/membership_actor.h"

#include <utility>

namespace banyantrail {
namespace {

MembershipView MakeView(const MembershipProtocol& protocol,
                        const MembershipView* previous) {
  MembershipView view =
      MakeMembershipView(protocol.table().records(), previous);
  view.self = protocol.own_record();
  view.isolated = protocol.is_isolated();
  view.joined = protocol.has_joined();
  view.max_applied_revision = protocol.table().GreatestAppliedRevision();
  return view;
}

void ProcessOutput(MembershipActorState& state, MembershipOutput output) {
  if (!output.messages.empty()) {
    state.options.send(std::move(output.messages));
  }
  state.view_is_stale = state.view_is_stale || !output.changed.empty();
}

bool ViewFlagsChanged(const MembershipActorState& state) {
  return !state.view || state.view->isolated != state.protocol->is_isolated() ||
         state.view->joined != state.protocol->has_joined();
}

void PublishIfStale(MembershipActorState& state) {
  if (!state.view_is_stale && !ViewFlagsChanged(state)) {
    return;
  }
  state.view_is_stale = false;
  state.view = std::make_shared<const MembershipView>(
      MakeView(*state.protocol, state.view.get()));
  state.options.publish(state.view);
}

}  // namespace

caf::behavior MembershipActor(caf::stateful_actor<MembershipActorState>* self,
                              MembershipActorOptions options,
                              TimePoint start) {
  MembershipActorState& state = self->state;
  state.options = std::move(options);
  state.protocol.emplace(state.options.protocol, start);
  const auto now = [] { return SystemClock().Now(); };
  return {
      [&state](const TickMessage& tick) {
        ProcessOutput(state, state.protocol->OnTick(tick.now));
        PublishIfStale(state);
      },
      [&state, now](const PeerMessageReceived& received) {
        ProcessOutput(state, state.protocol->OnMessage(
                                 received.from, received.message, now()));
      },
      [&state, now](const PeerUnreachable& peer) {
        ProcessOutput(state,
                      state.protocol->OnPeerUnreachable(peer.node, now()));
      },
      [&state, now](const BackendServersChanged& changed) {
        ProcessOutput(
            state, state.protocol->SetBackendServers(changed.servers, now()));
        PublishIfStale(state);
      },
      [&state, now](const DrainStarted&) {
        ProcessOutput(state, state.protocol->SetDraining(true, now()));
      },
      [&state, now](const LeaveRequested&) {
        ProcessOutput(state, state.protocol->Leave(now()));
      },
      [&state](const SeedsFound& found) {
        state.protocol->SetSeeds(found.seeds);
      },
      [&state](const ReleaseApplied& applied) {
        state.protocol->SetReleaseDigest(applied.release->revision,
                                         applied.release->digest);
      },
  };
}

}  // namespace banyantrail
