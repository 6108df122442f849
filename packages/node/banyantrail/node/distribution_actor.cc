#include "banyantrail/node/distribution_actor.h"

#include <utility>

#include "banyantrail/node/distribution_peers.h"

namespace banyantrail {
namespace {

void ProcessOutput(DistributionActorState& state, DistributionOutput output) {
  if (!output.messages.empty()) {
    state.options.send(std::move(output.messages));
  }
  for (const auto& release : output.applied) {
    state.options.apply(release);
  }
}

void PublishStatus(DistributionActorState& state, TimePoint now) {
  DistributionStatus status{.serving = state.protocol->UpdateServingState(now),
                            .report = state.protocol->Status(),
                            .known_revision = state.protocol->known_revision(),
                            .counters = state.protocol->counters()};
  if (status == state.status) {
    return;
  }
  state.status = status;
  state.options.publish_status(std::move(status));
}

void UpdateMembership(DistributionActorState& state,
                      const MembershipView& view) {
  if (view.version != state.membership_version) {
    state.membership_version = view.version;
    state.protocol->OnMembership(SelectDistributionPeers(view));
  }
  if (view.joined) {
    state.protocol->OnPreviouslyApplied(view.max_applied_revision);
  }
}

}  // namespace

caf::behavior DistributionActor(
    caf::stateful_actor<DistributionActorState>* self,
    DistributionActorOptions options,
    TimePoint start) {
  DistributionActorState& state = self->state;
  state.options = std::move(options);
  state.protocol.emplace(state.options.protocol, start);
  const auto now = [] { return SystemClock().Now(); };
  return {
      [&state](const TickMessage& tick) {
        ProcessOutput(state, state.protocol->OnTick(tick.now));
        PublishStatus(state, tick.now);
      },
      [&state, now](const PeerMessageReceived& received) {
        ProcessOutput(state, state.protocol->OnMessage(
                                 received.from, received.message, now()));
      },
      [&state, now](const PeerUnreachable& peer) {
        ProcessOutput(state,
                      state.protocol->OnPeerUnreachable(peer.node, now()));
      },
      [&state](const MembershipChanged& changed) {
        UpdateMembership(state, *changed.view);
      },
      [&state, now](const ReleaseRead& read) {
        ProcessOutput(
            state, state.protocol->OnReleaseFromPlatform(*read.release, now()));
      },
      [&state, now](const UnreadableReleaseFound& found) {
        ProcessOutput(state, state.protocol->OnUnreadableRelease(
                                 found.revision, found.reason, now()));
      },
      [&state](const PlatformHeadRead& head) {
        state.protocol->OnPlatformHead(head.revision);
      },
  };
}

}  // namespace banyantrail
