#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/traffic/quota_bucket.h"
#include "banyantrail/traffic/quota_holder.h"

namespace banyantrail {

/// A request of the team that needs a token.
struct QuotaRequest {
  std::uint64_t id = 0;
  /// The request waits for a token until then at most.
  TimePoint give_up{};
};

/// Why a request got no token.
enum class QuotaRefusalCause {
  /// A holder has no token for it: the team exceeds its limit.
  kLimit,
  /// No holder responded, or none is known.
  kNoResponse,
};

/// The caller of a refused request may expect a token after `retry_after`.
struct QuotaRefusal {
  std::uint64_t id = 0;
  Duration retry_after{};
  QuotaRefusalCause cause = QuotaRefusalCause::kLimit;

  friend bool operator==(const QuotaRefusal&, const QuotaRefusal&) = default;
};

/// A message to a holder.
struct QuotaAskToSend {
  NodeId holder;
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  std::uint32_t prefetch = 0;

  friend bool operator==(const QuotaAskToSend&,
                         const QuotaAskToSend&) = default;
};

/// Decisions on requests, in their order of arrival, and what is to be sent.
struct QuotaChanges {
  std::vector<std::uint64_t> granted;
  std::vector<QuotaRefusal> refused;
  std::optional<QuotaAskToSend> ask;
};

/// Decides at an entry node which requests of one team may run. Spends the
/// node's fixed part first, then tokens that a holder lent. Asks one holder at
/// a time, for all requests that wait.
class QuotaSpender {
 public:
  struct Options {
    /// A holder that does not respond within this time is silent. Allows for a
    /// node that gets a tenth of a core in periods of 100 ms, while two holders
    /// still fit into the time that a request waits.
    Duration ask_timeout = milliseconds(22);
    /// A silent holder is not asked for this long, unless it responds late.
    Duration silent_pause = milliseconds(500);
    /// A token that is not spent this long after it was asked for expires. In
    /// any window, the tokens that were lent before it and are spent in it are
    /// at most those that are lent in this time.
    Duration token_lifetime = milliseconds(200);
    /// A batch is for the requests that are expected within this time.
    Duration batch_time = milliseconds(100);
    std::uint32_t max_prefetch = 8;
    Duration max_retry_after = seconds(5);
  };

  explicit QuotaSpender(Options options, TimePoint now)
      : m_options(options), m_fixed_part(now) {}

  /// Sets the fixed part of this node.
  void SetShare(const QuotaShare& share, TimePoint now);

  /// Sets the nodes to ask, in order of preference. What is known of nodes that
  /// stay is kept.
  QuotaChanges SetHolders(const std::vector<NodeId>& holders, TimePoint now);

  /// The limit has changed, so refusals of holders no longer apply.
  void ForgetRefusals();

  /// Offers a new request. Without a decision in the result, it waits.
  QuotaChanges Offer(const QuotaRequest& request, TimePoint now);

  QuotaChanges OnReply(std::uint64_t sequence,
                       const QuotaGrant& grant,
                       TimePoint now);

  /// Call when NextWakeup() is reached.
  QuotaChanges Expire(TimePoint now);

  /// A request that had a token certainly did not run.
  QuotaChanges GiveBack(TimePoint now);

  /// Stops to limit the team: grants all requests that wait.
  QuotaChanges Release();

  /// Empty if no request waits.
  std::optional<TimePoint> NextWakeup() const;

  /// Asks that were not answered in time, since the start.
  std::uint64_t silences() const { return m_silences; }

 private:
  struct Holder {
    NodeId node;
    /// It refused, or was silent; it is not asked before this time.
    TimePoint blocked_until = TimePoint::min();
    /// When it expects to have a token for this node.
    TimePoint token_at = TimePoint::min();
    bool is_silent = false;
  };
  struct PendingAsk {
    std::uint64_t sequence = 0;
    NodeId holder;
    TimePoint sent;
  };
  struct Batch {
    TimePoint expires;
    std::uint32_t tokens = 0;
  };

  QuotaChanges Decide(TimePoint now);
  bool TakeToken(TimePoint now);
  void GrantWaiting(TimePoint now, QuotaChanges& changes);
  void RefuseWaiting(TimePoint now, QuotaChanges& changes);
  void Ask(TimePoint now, QuotaChanges& changes);
  void CheckAskTimeout(TimePoint now);
  Holder* FindHolder(const NodeId& node);
  Holder* HolderToAsk(TimePoint now);
  std::uint32_t Prefetch(TimePoint now) const;
  Duration PauseAfter(const PendingAsk& ask, const QuotaGrant& grant) const;
  TimePoint EarliestHolder() const;
  Duration NextRetryAfter(TimePoint now);
  QuotaRefusalCause Cause() const;

  Options m_options;
  QuotaBucket m_fixed_part;
  std::vector<Holder> m_holders;
  std::deque<Batch> m_batches;
  std::deque<QuotaRequest> m_waiting;
  std::optional<PendingAsk> m_ask;
  /// Asks without a reply in time; a late reply still brings tokens.
  std::deque<PendingAsk> m_late_asks;
  std::uint64_t m_last_sequence = 0;
  std::uint64_t m_silences = 0;
  /// Requests since the last ask, and when that was sent.
  std::uint32_t m_offered_since_ask = 0;
  TimePoint m_last_ask = TimePoint::min();
  /// When the caller that was refused last may expect its token.
  TimePoint m_last_promise = TimePoint::min();
  /// Expected time between tokens while the team is refused.
  Duration m_token_interval{};
};

}  // namespace banyantrail
