#include "banyantrail/traffic/pipeline_window.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using banyantrail::PipelinedRequest;
using banyantrail::PipelineWindow;

namespace {

constexpr std::uint64_t kHeadBytes = 100;
constexpr PipelinedRequest kLookup{.head_bytes = kHeadBytes,
                                   .may_run_beside = true};
constexpr PipelinedRequest kOrder{.head_bytes = kHeadBytes};

}  // namespace

TEST_GROUP(PipelineWindow) {
  PipelineWindow window;

  void setup() override {
    window.SetLimits({.max_requests = 4, .max_bytes = 1000});
  }
};

// Guards against responses in another order than that of the requests, which
// the caller would take for the responses to other requests.
TEST(PipelineWindow, ResponsesLeaveInTheOrderOfTheRequests) {
  const auto first = window.Start(kLookup);
  const auto second = window.Start(kLookup);
  const auto third = window.Start(kLookup);
  CHECK(window.MayWrite(first));
  CHECK_FALSE(window.MayWrite(second));
  window.Finish(first);
  CHECK(window.MayWrite(second));
  CHECK_FALSE(window.MayWrite(third));
}

TEST(PipelineWindow, LimitsTheCount) {
  for (int i = 0; i < 4; ++i) {
    CHECK(window.MayReadOn());
    CHECK(window.MayStart(kLookup));
    window.Start(kLookup);
  }
  CHECK_FALSE(window.MayReadOn());
  CHECK_FALSE(window.MayStart(kLookup));
}

// Guards against a caller that sends requests with large heads and makes the
// node hold all of them.
TEST(PipelineWindow, LimitsTheBytesOfHeads) {
  window.Start({.head_bytes = 900, .may_run_beside = true});
  CHECK(window.MayStart(kLookup));
  CHECK_FALSE(window.MayStart({.head_bytes = 101, .may_run_beside = true}));
}

// A single request is served within the limits of requests, whatever those of
// the window are.
TEST(PipelineWindow, EmptyWindowAcceptsAnyRequest) {
  window.SetLimits({.max_requests = 1, .max_bytes = 10});
  CHECK(window.MayStart(kOrder));
  window.Start(kOrder);
  CHECK_FALSE(window.MayReadOn());
}

// Guards against an order that runs although the connection closes before it:
// the caller counts everything behind a closing response as not read.
TEST(PipelineWindow, OrderWaitsForThoseBeforeItAndHoldsBackThoseBehindIt) {
  const auto lookup = window.Start(kLookup);
  CHECK_FALSE(window.MayStart(kOrder));
  window.Finish(lookup);
  CHECK(window.MayStart(kOrder));
  const auto order = window.Start(kOrder);
  CHECK_FALSE(window.MayStart(kLookup));
  CHECK_FALSE(window.MayReadOn());
  window.Finish(order);
  CHECK(window.MayStart(kLookup));
}

TEST(PipelineWindow, NothingStartsBehindARequestThatClosesTheConnection) {
  window.Start({.head_bytes = 1, .may_run_beside = true, .is_last = true});
  CHECK_FALSE(window.MayStart(kLookup));
  CHECK_FALSE(window.MayReadOn());
}

// Guards against responses that wait for their turn and take the memory of the
// node while a slow first request runs.
TEST(PipelineWindow, ResponsesThatWaitCountAsBytes) {
  const auto first = window.Start(kLookup);
  const auto second = window.Start(kLookup);
  CHECK(window.ReserveResponse(second, 700));
  CHECK_FALSE(window.ReserveResponse(first, 101));
  CHECK(window.ReserveResponse(first, 100));
  CHECK_FALSE(window.MayStart(kLookup));
  window.Finish(second);
  CHECK(window.MayStart(kLookup));
  LONGS_EQUAL(200, window.bytes());
}

// A request that is cancelled in the middle must not stop those behind it.
TEST(PipelineWindow, RequestsFinishInAnyOrder) {
  const auto first = window.Start(kLookup);
  const auto second = window.Start(kLookup);
  const auto third = window.Start(kLookup);
  window.Finish(second);
  window.Finish(second);
  CHECK(window.MayWrite(first));
  CHECK(window.IsLast(third));
  window.Finish(first);
  CHECK(window.MayWrite(third));
  window.Finish(third);
  CHECK(window.empty());
  LONGS_EQUAL(0, window.bytes());
}

// Any sequence of arrivals, responses and completions keeps the limits, starts
// no order beside another request, and gives each request its turn.
TEST(PipelineWindow, RandomSequencesKeepTheRules) {
  constexpr int kRuns = 2000;
  constexpr int kSteps = 60;
  for (int seed = 0; seed < kRuns; ++seed) {
    std::minstd_rand random(seed + 1);
    PipelineWindow tested;
    tested.SetLimits({.max_requests = 4, .max_bytes = 1000});
    std::deque<PipelineWindow::Ticket> running;
    bool order_runs = false;
    for (int step = 0; step < kSteps; ++step) {
      const PipelinedRequest next{.head_bytes = random() % 400,
                                  .may_run_beside = random() % 4 != 0};
      if (tested.MayStart(next)) {
        CHECK(running.empty() || (next.may_run_beside && !order_runs));
        running.push_back(tested.Start(next));
        order_runs = !next.may_run_beside;
      }
      if (!running.empty()) {
        tested.ReserveResponse(running[random() % running.size()],
                               random() % 500);
      }
      CHECK(running.size() <= 4);
      CHECK(tested.bytes() <= 1000);
      LONGS_EQUAL(1, running.empty() ? 1
                                     : std::ranges::count_if(
                                           running, [&](const auto ticket) {
                                             return tested.MayWrite(ticket);
                                           }));
      if (!running.empty() && random() % 2 == 0) {
        CHECK(tested.MayWrite(running.front()));
        tested.Finish(running.front());
        running.pop_front();
        order_runs = false;
      }
    }
    while (!running.empty()) {
      CHECK(tested.MayWrite(running.front()));
      tested.Finish(running.front());
      running.pop_front();
    }
    CHECK(tested.empty());
  }
}
