#include "banyantrail/traffic/admission.h"

#include <set>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using banyantrail::AdmissionChanges;
using banyantrail::AdmissionOptions;
using banyantrail::AdmissionQueue;
using banyantrail::Admitted;
using banyantrail::AttemptOutcome;
using banyantrail::AttemptResult;
using banyantrail::milliseconds;
using banyantrail::OfferResult;
using banyantrail::Queued;
using banyantrail::RefusalReason;
using banyantrail::Refused;
using banyantrail::RequestId;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr std::uint8_t kOrders = 0;
constexpr std::uint8_t kLookups = 1;
constexpr std::uint8_t kUploads = 2;
constexpr milliseconds kShortLatency{20};

TimePoint At(milliseconds since_start) {
  return TimePoint{} + seconds(1000) + since_start;
}

AdmissionOptions FixedLimit(std::uint32_t slots) {
  AdmissionOptions options{
      .announced_slots = slots,
      .ranks = {{.priority = kOrders, .share_percent = 50},
                {.priority = kLookups, .share_percent = 30},
                {.priority = kUploads, .share_percent = 20}}};
  options.limit.adaptive = false;
  return options;
}

AttemptOutcome Completed(milliseconds latency) {
  return {.result = AttemptResult::kCompleted, .latency = latency};
}

/// Occupies `slots` slots with requests 0, 1, ... of one rank.
void FillSlots(AdmissionQueue& queue, std::size_t slots, std::uint8_t rank) {
  for (RequestId id = 0; id < slots; ++id) {
    CHECK(queue.Offer(id, rank, At(seconds(10)), At({})) ==
          OfferResult(Admitted{}));
  }
}

/// Tracks the state of every request through a random sequence of calls.
struct RequestTracker {
  std::set<RequestId> waiting;
  std::set<RequestId> running;
  RequestId next = 0;
  bool consistent = true;

  void Call(AdmissionQueue& queue, std::uint8_t call, milliseconds now) {
    const TimePoint time = At(now);
    if (call % 4 == 0 && !running.empty()) {
      const RequestId id = *running.begin();
      running.erase(id);
      Apply(queue.Release(id, Completed(milliseconds(call)), time));
    } else if (call % 4 == 1 && !waiting.empty()) {
      const RequestId id = *waiting.rbegin();
      waiting.erase(id);
      Apply(queue.Cancel(id, time));
    } else if (call % 4 == 2) {
      Apply(queue.Expire(time));
    } else {
      Offer(queue, call, time);
    }
  }

  void Offer(AdmissionQueue& queue, std::uint8_t call, TimePoint now) {
    const RequestId id = next++;
    const auto rank = static_cast<std::uint8_t>(call / 4 % 3);
    const OfferResult result =
        queue.Offer(id, rank, now + milliseconds(call), now);
    if (std::holds_alternative<Admitted>(result)) {
      running.insert(id);
    } else if (std::holds_alternative<Queued>(result)) {
      waiting.insert(id);
    }
  }

  void Apply(const AdmissionChanges& changes) {
    for (const RequestId id : changes.admitted) {
      consistent &= waiting.erase(id) == 1 && running.insert(id).second;
    }
    for (const auto& refused : changes.refused) {
      consistent &= waiting.erase(refused.request) == 1;
    }
  }
};

}  // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, AdmitsUpToTheLimitThenQueues) {
  AdmissionQueue queue(FixedLimit(2));
  FillSlots(queue, 2, kOrders);
  CHECK(queue.Offer(7, kOrders, At(seconds(1)), At({})) ==
        OfferResult(Queued{}));
  const AdmissionChanges changes =
      queue.Release(0, Completed(kShortLatency), At(kShortLatency));
  CHECK(changes.admitted == std::vector<RequestId>{7});
  LONGS_EQUAL(2, queue.load().in_flight);
}

TEST(AdmissionQueue, ServesRanksInOrderAndThenByDeadline) {
  AdmissionOptions options = FixedLimit(1);
  options.guarantee_shares = false;
  AdmissionQueue queue(options);
  FillSlots(queue, 1, kOrders);
  queue.Offer(10, kUploads, At(seconds(1)), At({}));
  queue.Offer(11, kOrders, At(seconds(9)), At({}));
  queue.Offer(12, kOrders, At(seconds(5)), At({}));
  std::vector<RequestId> order;
  RequestId running = 0;
  for (int i = 1; i <= 3; ++i) {
    const auto changes =
        queue.Release(running, Completed(kShortLatency), At(i * kShortLatency));
    running = changes.admitted.at(0);
    order.push_back(running);
  }
  CHECK((order == std::vector<RequestId>{12, 11, 10}));
}

TEST(AdmissionQueue, QueueBoundAppliesPerRank) {
  AdmissionOptions options = FixedLimit(1);
  options.max_queued_per_slot = 1;
  AdmissionQueue queue(options);
  FillSlots(queue, 1, kUploads);
  queue.Offer(10, kUploads, At(seconds(1)), At({}));
  CHECK(queue.Offer(11, kUploads, At(seconds(1)), At({})) ==
        OfferResult(Refused{.reason = RefusalReason::kQueueFull}));
  CHECK(queue.Offer(12, kOrders, At(seconds(1)), At({})) ==
        OfferResult(Queued{}));
}

TEST(AdmissionQueue, RefusesAtOnceIfTheDeadlineCannotBeMet) {
  AdmissionQueue queue(FixedLimit(1));
  queue.Offer(0, kOrders, At(seconds(9)), At({}));
  queue.Release(0, Completed(milliseconds(500)), At(milliseconds(500)));
  queue.Offer(1, kOrders, At(seconds(9)), At(milliseconds(500)));
  CHECK(queue.Offer(2, kOrders, At(milliseconds(900)), At(milliseconds(500))) ==
        OfferResult(Refused{.reason = RefusalReason::kDeadline}));
}

TEST(AdmissionQueue, RefusesQueuedRequestsAtTheirDeadline) {
  AdmissionQueue queue(FixedLimit(1));
  FillSlots(queue, 1, kOrders);
  queue.Offer(5, kOrders, At(milliseconds(100)), At({}));
  CHECK(queue.NextWakeup(At({})) == At(milliseconds(100)));
  const AdmissionChanges changes = queue.Expire(At(milliseconds(100)));
  LONGS_EQUAL(1, changes.refused.size());
  LONGS_EQUAL(5, changes.refused[0].request);
  CHECK(changes.refused[0].reason == RefusalReason::kDeadline);
  CHECK(!queue.NextWakeup(At(milliseconds(100))).has_value());
}

TEST(AdmissionQueue, ExpiredServiceTimesDoNotCauseRefusals) {
  AdmissionQueue queue(FixedLimit(1));
  queue.Offer(0, kOrders, At(seconds(9)), At({}));
  queue.Release(0, Completed(seconds(5)), At(seconds(5)));
  queue.Offer(1, kUploads, At(seconds(99)), At(seconds(5)));
  CHECK(queue.Offer(2, kOrders, At(seconds(7)), At(seconds(5))) ==
        OfferResult(Refused{.reason = RefusalReason::kDeadline}));
  CHECK(queue.Offer(3, kOrders, At(seconds(18)), At(seconds(16))) ==
        OfferResult(Queued{}));
}

TEST(AdmissionQueue, CancelFreesTheSlotOrTheQueueEntry) {
  AdmissionQueue queue(FixedLimit(1));
  FillSlots(queue, 1, kOrders);
  queue.Offer(5, kOrders, At(seconds(1)), At({}));
  queue.Offer(6, kOrders, At(seconds(2)), At({}));
  CHECK(queue.Cancel(5, At(kShortLatency)) == AdmissionChanges{});
  CHECK(queue.Cancel(0, At(kShortLatency)).admitted ==
        std::vector<RequestId>{6});
}

TEST(AdmissionQueue, DrainRefusesQueuedAndNewRequests) {
  AdmissionQueue queue(FixedLimit(1));
  FillSlots(queue, 1, kOrders);
  queue.Offer(5, kOrders, At(seconds(1)), At({}));
  const AdmissionChanges changes = queue.Drain(At(kShortLatency));
  LONGS_EQUAL(1, changes.refused.size());
  CHECK(changes.refused[0].reason == RefusalReason::kDraining);
  CHECK(queue.Offer(6, kOrders, At(seconds(1)), At(kShortLatency)) ==
        OfferResult(Refused{.reason = RefusalReason::kDraining}));
  LONGS_EQUAL(1, queue.load().in_flight);
}

TEST(AdmissionQueue, AFractionalGuaranteeIsMetOnAverage) {
  AdmissionOptions options = FixedLimit(1);
  options.ranks = {{.priority = kOrders, .share_percent = 75},
                   {.priority = kLookups, .share_percent = 25}};
  options.max_queued_per_slot = 1000;
  AdmissionQueue queue(options);
  for (RequestId id = 0; id < 800; ++id) {
    queue.Offer(id, id < 400 ? kOrders : kLookups, At(seconds(99)), At({}));
  }
  std::size_t lookups = 0;
  RequestId running = 0;
  for (int i = 1; i <= 400; ++i) {
    const auto changes =
        queue.Release(running, Completed(kShortLatency), At(i * kShortLatency));
    running = changes.admitted.at(0);
    lookups += running >= 400 ? 1 : 0;
  }
  CHECK(lookups >= 98);
  CHECK(lookups <= 104);
}

TEST(AdmissionQueue, LongRunningRequestsDoNotBorrowReservedSlots) {
  AdmissionOptions options = FixedLimit(10);
  for (const bool reserve : {false, true}) {
    options.reserve_slots = reserve;
    AdmissionQueue queue(options);
    queue.Offer(0, kOrders, At(seconds(9)), At({}));
    queue.Release(0, Completed(seconds(1)), At(seconds(1)));
    for (RequestId id = 1; id <= 20; ++id) {
      queue.Offer(id, kUploads, At(seconds(99)), At(seconds(1)));
    }
    const bool runs = queue.Offer(30, kOrders, At(seconds(9)),
                                  At(seconds(1))) == OfferResult(Admitted{});
    CHECK(runs == reserve);
  }
}

TEST(AdmissionQueue, EachRequestIsInExactlyOneStateAfterAnyCalls) {
  CHECK(rc::check([](const std::vector<std::uint8_t>& calls) {
    AdmissionQueue queue(FixedLimit(3));
    RequestTracker tracker;
    milliseconds now{0};
    for (const std::uint8_t call : calls) {
      now += milliseconds(call % 32);
      tracker.Call(queue, call, now);
      RC_ASSERT(queue.load().in_flight == tracker.running.size());
      RC_ASSERT(queue.load().queued == tracker.waiting.size());
      RC_ASSERT(tracker.running.size() <= 3);
    }
    RC_ASSERT(tracker.consistent);
  }));
}
