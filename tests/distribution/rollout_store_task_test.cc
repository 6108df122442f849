#include "banyantrail/distribution/rollout_store_task.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::RolloutObject;
using banyantrail::RolloutReadResult;
using banyantrail::RolloutState;
using banyantrail::RolloutStoreTask;
using banyantrail::RolloutWrite;
using banyantrail::seconds;
using banyantrail::ServiceName;
using banyantrail::StoreRevision;

namespace asio = banyantrail::asio;

namespace {

constexpr StoreRevision kBefore{.number = 90};
constexpr StoreRevision kAfter{.era = 1, .number = 70};
constexpr Duration kRetryDelay = milliseconds(20);

RolloutObject Object(StoreRevision revision) {
  return {.service = ServiceName("orders"),
          .target_version = "v2",
          .duration = seconds(12),
          .revision = revision};
}

/// A store whose state the test sets. Watches end after 1 ms.
class FakeRolloutStore {
 public:
  explicit FakeRolloutStore(asio::any_io_executor executor)
      : m_executor(std::move(executor)) {}

  asio::awaitable<RolloutReadResult> ListRollouts() {
    ++lists;
    const StoreRevision answer = position;
    const Duration delay = list_delay;
    list_delay = {};
    co_await Sleep(delay);
    RolloutReadResult result{.resume_after = answer};
    result.changes.push_back({.object = Object(answer)});
    co_return result;
  }

  asio::awaitable<RolloutReadResult> AwaitRollouts(StoreRevision after,
                                                   milliseconds /*wait*/) {
    watches.push_back(after);
    co_await Sleep(milliseconds(1));
    RolloutReadResult result{.resume_after = position};
    if (is_compacted) {
      result = {.resume_after = after, .history_compacted = true};
    }
    co_return result;
  }

  asio::awaitable<bool> WriteRolloutState(RolloutObject object,
                                          RolloutState /*state*/) {
    writes.push_back(object.revision);
    co_return true;
  }

  StoreRevision position = kBefore;
  bool is_compacted = false;
  /// Delay of the response to the next list.
  Duration list_delay{};
  int lists = 0;
  std::vector<StoreRevision> watches;
  std::vector<StoreRevision> writes;

 private:
  asio::awaitable<void> Sleep(Duration duration) {
    asio::steady_timer timer(m_executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::any_io_executor m_executor;
};

static_assert(banyantrail::RolloutStore<FakeRolloutStore>);

}  // namespace

TEST_GROUP(RolloutStoreTask) {
  asio::io_context io;
  FakeRolloutStore store{io.get_executor()};
  std::vector<RolloutReadResult> lists;
  std::vector<RolloutReadResult> changes;
  std::deque<RolloutWrite> due;
  std::vector<std::optional<bool>> written;
  std::shared_ptr<RolloutStoreTask<FakeRolloutStore>> task =
      std::make_shared<RolloutStoreTask<FakeRolloutStore>>(
          io.get_executor(), store,
          banyantrail::RolloutStoreTaskOptions{
              .judge_term = [] { return 1; },
              .on_read =
                  [this](const RolloutReadResult& read, bool is_list) {
                    (is_list ? lists : changes).push_back(read);
                  },
              .next_write = [this] { return NextWrite(); },
              .on_written =
                  [this](const RolloutWrite&, std::optional<bool> result) {
                    written.push_back(result);
                  },
              .poll_interval = milliseconds(2),
              .retry_delay = kRetryDelay});

  void setup() override {
    task->Start();
    RunUntil([this] { return !store.watches.empty(); });
  }

  void teardown() override {
    task->Stop();
    Run(milliseconds(100));
  }

  void Run(Duration duration) {
    io.restart();
    io.run_for(duration);
  }

  /// Runs until the condition holds, or fails.
  template <typename Condition>
  void RunUntil(Condition condition) {
    constexpr int kAttempts = 2000;
    for (int i = 0; i < kAttempts && !condition(); ++i) {
      Run(milliseconds(2));
    }
    CHECK(condition());
  }

  bool WatchesFrom(StoreRevision position) const {
    return store.watches.back() == position;
  }

  std::optional<RolloutWrite> NextWrite() {
    if (due.empty()) {
      return std::nullopt;
    }
    const RolloutWrite write = due.front();
    due.pop_front();
    return write;
  }
};

// Guards against changes that are missed since the store gives out the numbers
// below the position once more.
TEST(RolloutStoreTask, ChangeOfEraOnAWatchListsAgainAndGoesBack) {
  LONGS_EQUAL(1, lists.size());
  const std::size_t before = changes.size();
  store.position = kAfter;
  RunUntil([this] { return lists.size() > 1 && WatchesFrom(kAfter); });
  LONGS_EQUAL(2, lists.size());
  CHECK(lists.back().resume_after == kAfter);
  // What the watch returned in between is no change since the position.
  for (std::size_t i = before; i < changes.size(); ++i) {
    const bool is_of_new_watch = changes[i].resume_after == kAfter;
    const bool is_of_old_watch = changes[i].resume_after == kBefore;
    CHECK(is_of_new_watch || is_of_old_watch);
  }
}

// Guards against a watch that is refused for good by a store without eras.
TEST(RolloutStoreTask, PositionGoesBackAfterARefusedWatch) {
  store.position = {.number = 70};
  store.is_compacted = true;
  RunUntil([this] { return lists.size() > 1; });
  store.is_compacted = false;
  RunUntil([this] { return WatchesFrom({.number = 70}); });
}

// Guards against a storm of lists at a store that refuses each watch.
TEST(RolloutStoreTask, RefusedWatchesInARowArePaused) {
  store.is_compacted = true;
  const int before = store.lists;
  Run(10 * kRetryDelay);
  const int lists_sent = store.lists - before;
  CHECK(lists_sent >= 3);
  CHECK(lists_sent <= 11);
}

// Guards against a state that is written over another one, which has got the
// same number in the new era.
TEST(RolloutStoreTask, WriteOfAnotherEraIsNotSent) {
  store.position = kAfter;
  RunUntil([this] { return lists.size() > 1; });
  const std::size_t before = lists.size();
  due.push_back({.object = Object(kBefore), .state = RolloutState::kRunning});
  RunUntil([this, before] { return lists.size() > before; });
  CHECK(store.writes.empty());
  LONGS_EQUAL(1, written.size());
  CHECK(written.front() == std::optional<bool>(false));
  due.push_back({.object = Object(kAfter), .state = RolloutState::kRunning});
  RunUntil([this] { return !store.writes.empty(); });
  LONGS_EQUAL(1, store.writes.size());
  CHECK(store.writes.front() == kAfter);
}

// Guards against the objects of the earlier era being taken for the newest ones
// when the response to a list is late.
TEST(RolloutStoreTask, LateListOfTheEarlierEraIsDiscarded) {
  due.push_back({.object = Object({.era = 9, .number = 1})});
  store.list_delay = milliseconds(30);
  RunUntil([this] { return store.list_delay == Duration{}; });
  store.position = kAfter;
  RunUntil([this] { return WatchesFrom(kAfter); });
  // The late response comes in.
  Run(milliseconds(60));
  CHECK(lists.back().resume_after == kAfter);
  CHECK(std::ranges::is_sorted(lists, {}, &RolloutReadResult::resume_after));
  CHECK(store.watches.back() == kAfter);
}
