#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/random.h"

namespace banyantrail {

/// Decides which peer to request a missing release from, and when. At most one
/// request is outstanding. After a failure another peer is tried, with jittered
/// exponential backoff between attempts. Performs no I/O.
class ReleaseRequester {
 public:
  struct Options {
    /// Time limit for the answer to a request.
    Duration timeout = milliseconds(500);
    BackoffOptions backoff{.initial = milliseconds(40), .max = seconds(1)};
    /// After this many consecutive failures with no remaining peer known to be
    /// ahead, the revision is abandoned until a peer announces it again.
    std::uint32_t abandon_after_attempts = 12;
    /// Disabled only in tests that show the effect of requests.
    bool enabled = true;
  };

  explicit ReleaseRequester(Options options)
      : m_options(options), m_backoff(options.backoff) {}

  /// `peer` holds `revision`. If no other peer was known to be ahead and no
  /// request is outstanding, the next request is sent no earlier than
  /// `not_before`, so that the tree has time to deliver the release first.
  void OnPeerAhead(const NodeId& peer, Revision revision, TimePoint not_before);

  /// `peer` holds `revision` and is tried first, without delay unless a backoff
  /// is running.
  void PreferPeer(const NodeId& peer, Revision revision, TimePoint now);

  /// No longer treats the peer as ahead: it is unreachable, has nothing newer,
  /// or sent corrupt content.
  void ForgetPeer(const NodeId& peer, TimePoint now, Rng& rng);

  /// The peer is busy and asked not to be sent requests for `wait`.
  void OnBusy(const NodeId& peer, Duration wait, TimePoint now, Rng& rng);

  /// Stops requesting `revision`, for example because it does not compile here.
  /// Forgets peers that hold nothing newer.
  void Abandon(Revision revision);

  /// The node has applied `revision`.
  void OnApplied(Revision revision);

  /// The peer to send a request to now, if any. Prefers peers known to be
  /// ahead; if none is available, chooses from `fallback_peers`. The request
  /// counts as sent.
  std::optional<NodeId> NextRequest(const std::vector<NodeId>& fallback_peers,
                                    TimePoint now,
                                    Rng& rng);

  std::uint64_t timeouts() const { return m_timeouts; }

 private:
  struct Outstanding {
    NodeId peer;
    TimePoint deadline;
  };

  void ExpireOutstanding(TimePoint now, Rng& rng);
  void OnRequestFailed(const NodeId& peer, TimePoint now, Rng& rng);
  std::optional<NodeId> ChoosePeer(const std::vector<NodeId>& fallback_peers,
                                   TimePoint now,
                                   Rng& rng);

  Options m_options;
  Backoff m_backoff;
  Revision m_applied;
  /// The greatest revision that any peer is known to hold.
  Revision m_target_revision;
  std::map<NodeId, Revision> m_peers_ahead;
  std::map<NodeId, TimePoint> m_busy_until;
  std::optional<NodeId> m_preferred;
  std::optional<Outstanding> m_outstanding;
  TimePoint m_not_before;
  std::uint64_t m_timeouts = 0;
};

}  // namespace banyantrail
