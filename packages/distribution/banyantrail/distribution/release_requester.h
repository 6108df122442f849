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

/// Decides whom to ask for a missing release, and when. At most one request is
/// outstanding; after a failure the next peer is asked, with jittered
/// exponential backoff between attempts. Pure.
class ReleaseRequester {
 public:
  struct Options {
    /// How long a request waits for its answer.
    Duration timeout = milliseconds(500);
    BackoffOptions backoff{.initial = milliseconds(40), .max = seconds(1)};
    /// After this many failures in a row with no peer left that is known to be
    /// ahead, the revision is given up until a peer is heard to hold it.
    std::uint32_t max_blind_attempts = 12;
    /// Off only to show in tests what requests are for.
    bool enabled = true;
  };

  explicit ReleaseRequester(Options options)
      : m_options(options), m_backoff(options.backoff) {}

  /// `peer` holds `revision`. The next request goes out no earlier than
  /// `not_before`, which gives the tree time to deliver.
  void LearnPeer(const NodeId& peer, Revision revision, TimePoint not_before);

  /// `peer` holds `revision` and is the best to ask, at once.
  void PreferPeer(const NodeId& peer, Revision revision, TimePoint now);

  /// The peer's word is worth nothing now: it is unreachable, has nothing
  /// newer, or sent damaged content.
  void ForgetPeer(const NodeId& peer, TimePoint now, Rng& rng);

  /// The peer asked to be left alone for a while.
  void OnBusy(const NodeId& peer, Duration wait, TimePoint now, Rng& rng);

  /// The content of `revision` is of no use to this node; peers that have
  /// nothing newer are not asked.
  void Abandon(Revision revision);

  /// The node now holds `revision`.
  void OnApplied(Revision revision);

  /// The peer to send a request to now, if any. Peers known to be ahead come
  /// first; when they all fail, `others` are tried. Counts as sent.
  std::optional<NodeId> NextRequest(const std::vector<NodeId>& others,
                                    TimePoint now,
                                    Rng& rng);

  std::uint64_t timeouts() const { return m_timeouts; }

 private:
  struct Outstanding {
    NodeId peer;
    TimePoint deadline;
  };

  void ExpireOutstanding(TimePoint now, Rng& rng);
  void Fail(const NodeId& peer, TimePoint now, Rng& rng);
  std::optional<NodeId> Choose(const std::vector<NodeId>& others,
                               TimePoint now,
                               Rng& rng);

  Options m_options;
  Backoff m_backoff;
  Revision m_applied = 0;
  /// The greatest revision that any peer was heard to hold.
  Revision m_target = 0;
  std::map<NodeId, Revision> m_ahead;
  std::map<NodeId, TimePoint> m_busy_until;
  std::optional<NodeId> m_preferred;
  std::optional<Outstanding> m_outstanding;
  TimePoint m_not_before;
  std::uint64_t m_timeouts = 0;
};

}  // namespace banyantrail
