#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/concurrency_limit.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/traffic/team_queue.h"

namespace banyantrail {

/// Priority of a rank and its guaranteed share of a backend server's slots,
/// from RankObject.
struct RankShare {
  /// 0 is the most urgent.
  std::uint8_t priority = 0;
  std::uint8_t share_percent = 0;

  friend bool operator==(const RankShare&, const RankShare&) = default;
};

/// Settings of AdmissionQueue.
struct AdmissionOptions {
  std::uint32_t announced_slots = 1;
  std::vector<RankShare> ranks;
  /// Maximum length of each rank's queue, per announced slot.
  std::size_t max_queued_per_slot = 4;
  /// Ranks whose requests hold a slot for longer than this may not borrow
  /// slots that other ranks need.
  Duration max_borrower_hold_time = milliseconds{250};
  ConcurrencyLimitOptions limit;

  /// If false, requests are served in order of arrival.
  bool order_by_rank = true;
  /// If false, priority is strict: a rank gets slots only while all more urgent
  /// ranks have empty queues.
  bool guarantee_shares = true;
  /// If false, long-running requests may borrow every slot.
  bool reserve_slots = true;
  /// If true, requests that cannot finish by their deadline are refused early.
  /// If false, only the deadline and the queue length bound the waiting time.
  bool refuse_early = true;

  friend bool operator==(const AdmissionOptions&,
                         const AdmissionOptions&) = default;
};

/// A request offered to the queue.
struct AdmissionRequest {
  RequestId id = 0;
  std::uint8_t rank_priority = 0;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// When the response should be complete; later responses are of little use.
  /// Empty if the route declares no target latency.
  std::optional<TimePoint> target = std::nullopt;
  /// Made by another request while it runs. Refusing it would waste the work
  /// already done for that request.
  bool is_nested_call = false;
  /// Requests of the same kind have similar service times, which are estimated
  /// per kind. 0 if unknown.
  std::uint64_t kind = 0;
  /// Team that the request counts for. Ignored for nested calls, which count
  /// as part of the request that makes them.
  TeamHash team = 0;

  friend bool operator==(const AdmissionRequest&,
                         const AdmissionRequest&) = default;
};

/// The request may be sent to the backend server immediately.
struct Admitted {
  friend bool operator==(const Admitted&, const Admitted&) = default;
};

/// The request is queued; the AdmissionChanges of a later call report it
/// admitted or refused.
struct Queued {
  friend bool operator==(const Queued&, const Queued&) = default;
};

/// The request was not run, and the queue keeps no record of it.
struct Refused {
  RefusalReason reason = RefusalReason::kQueueFull;

  friend bool operator==(const Refused&, const Refused&) = default;
};

using OfferResult = std::variant<Admitted, Queued, Refused>;

/// How an admitted request ended.
enum class AttemptResult : std::uint8_t {
  /// A complete response arrived, with any status.
  kCompleted,
  /// The deadline passed before the response was complete.
  kTimedOut,
  /// The backend server reported that it shed the request.
  kShed,
  /// The connection could not be established or was lost.
  kFailed,
};

/// How an admitted request ended, and the time since its admission.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCompleted;
  Duration latency{};
};

/// A queued request that was refused without being run.
struct RefusedRequest {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kDeadline;

  friend bool operator==(const RefusedRequest&,
                         const RefusedRequest&) = default;
};

/// Queued requests that a call admitted or refused.
struct AdmissionChanges {
  std::vector<RequestId> admitted;
  std::vector<RefusedRequest> refused;

  friend bool operator==(const AdmissionChanges&,
                         const AdmissionChanges&) = default;
};

/// The load that the owner node reports with each response.
struct AdmissionLoad {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  /// Concurrency limit, rounded down.
  std::size_t limit = 0;

  friend bool operator==(const AdmissionLoad&, const AdmissionLoad&) = default;
};

}  // namespace banyantrail
