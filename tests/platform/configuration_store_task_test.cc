#include "banyantrail/distribution/configuration_store_task.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/platform/object_store.h"
#include "platform/object_store_stand_in.h"

using banyantrail::BackendServerId;
using banyantrail::BackoffOptions;
using banyantrail::BootClock;
using banyantrail::BootTimePoint;
using banyantrail::ConfigurationStoreTask;
using banyantrail::ConfigurationStoreTaskOptions;
using banyantrail::DomainId;
using banyantrail::IpEndpoint;
using banyantrail::milliseconds;
using banyantrail::NodeEntry;
using banyantrail::NodeId;
using banyantrail::Release;
using banyantrail::Revision;
using banyantrail::seconds;
using banyantrail::StoreDuty;
using banyantrail::SystemClock;
using banyantrail::TimePoint;
using banyantrail::platform::ObjectStore;
using banyantrail::test::ObjectStoreStandIn;
using nlohmann::json;
namespace asio = banyantrail::asio;

namespace {

constexpr BackoffOptions kFastBackoff{.initial = milliseconds(2),
                                      .max = milliseconds(10)};

/// Short, so that a test sees the check, and longer than a call.
constexpr milliseconds kEntryCheckSpread{100};

json Configuration(int timeout_ms) {
  return {{"services", {{{"name", "orders"}}}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 1048576},
            {"header_timeout", std::to_string(timeout_ms) + "ms"},
            {"idle_timeout", "15000ms"}}},
          {"virtual_hosts", json::array()}};
}

/// The same with the operator's version.
json Versioned(const std::string& version, int timeout_ms = 1) {
  json configuration = Configuration(timeout_ms);
  configuration["version"] = version;
  return configuration;
}

json Unreadable(const std::string& version) {
  return {{"version", version}, {"services", 7}};
}

}  // namespace

TEST_GROUP(ConfigurationStoreTask) {
  asio::io_context io;
  ObjectStoreStandIn stand_in{io};
  ObjectStore store{io.get_executor(),
                    {.servers = {stand_in.address()},
                     .attempt_timeout = milliseconds(500),
                     .max_attempts = 1}};
  std::shared_ptr<ConfigurationStoreTask<ObjectStore>> task;
  std::vector<Revision> releases;
  std::vector<Revision> unreadable;
  Revision applied;
  std::vector<IpEndpoint> peers;
  std::vector<std::string> events;
  bool joined = false;
  bool must_watch = true;
  /// If not 0 and `must_watch` is false, the revision that the node lacks.
  std::uint64_t missing_revision = 0;
  bool confirmed_by_peer = false;
  bool reads_at_start = false;
  BackoffOptions search_backoff = kFastBackoff;
  milliseconds entry_check_interval{20};
  milliseconds entry_check_spread = kEntryCheckSpread;
  int store_failures = 0;
  std::vector<Revision> confirmed;
  std::vector<Revision> heads;
  std::uint64_t confirmed_era = 0;
  struct StoreRead {
    Revision revision;
    BootTimePoint sent_at;
    BootTimePoint returned_at;
  };
  std::vector<StoreRead> store_reads;
  std::size_t change_bytes = 0;
  NodeEntry own{.node = NodeId("n1"),
                .domain = DomainId("a"),
                .peer_address = {.address = "10.0.0.1", .port = 7600}};
  std::optional<NodeEntry> previous;
  ObjectStoreStandIn::Copy copy;

  /// The node's entry in the store.
  std::optional<NodeEntry> StoredEntry() {
    std::optional<NodeEntry> entry;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          entry = co_await store.ReadNode(NodeId("n1"));
        },
        asio::detached);
    io.run_for(milliseconds(10));
    io.restart();
    return entry;
  }

  StoreDuty CurrentDuty() const {
    if (must_watch) {
      return {.kind = StoreDuty::Kind::kWatch};
    }
    return missing_revision == 0
               ? StoreDuty{}
               : StoreDuty{.kind = StoreDuty::Kind::kCatchUp,
                           .revision = {.number = missing_revision}};
  }

  int Calls(const std::string& call) {
    return stand_in.calls["GET " + call];
  }
  int ConfigurationReads() {
    return Calls("/-/objects/config/main");
  }
  int WatchCalls() {
    return Calls("/-/objects/config");
  }

  void Start(milliseconds watch_wait =
                 ConfigurationStoreTaskOptions{}.watch_wait) {
    ConfigurationStoreTaskOptions options{
        .node = NodeId("n1"),
        .reads_at_start = reads_at_start,
        .own_entry = [this] { return own; },
        .on_previous_entry =
            [this](const NodeEntry& entry) { previous = entry; },
        .watch_wait = watch_wait,
        .duty_check_interval = milliseconds(5),
        .catch_up_wait = milliseconds(20),
        .search_backoff = search_backoff,
        .outage_backoff = kFastBackoff,
        .entry_backoff = kFastBackoff,
        .entry_check_interval = entry_check_interval,
        .entry_check_spread = entry_check_spread,
        .on_release =
            [this](std::shared_ptr<const Release> release) {
              releases.push_back(release->revision);
            },
        .on_release_unreadable =
            [this](const banyantrail::UnreadableRelease& found) {
              unreadable.push_back(found.revision);
            },
        .on_store_head =
            [this](Revision revision) { heads.push_back(revision); },
        .applied_revision = [this] { return applied; },
        .on_store_confirmed =
            [this](Revision revision, std::size_t bytes, std::uint64_t era) {
              confirmed.push_back(revision);
              change_bytes = bytes;
              confirmed_era = era;
            },
        .on_store_read =
            [this](Revision revision, BootTimePoint sent_at) {
              store_reads.push_back({.revision = revision,
                                     .sent_at = sent_at,
                                     .returned_at = BootClock::Now()});
            },
        .on_store_failed = [this] { ++store_failures; },
        .store_duty = [this] { return CurrentDuty(); },
        .other_node_watches = [this] { return confirmed_by_peer; },
        .on_peers = [this](std::vector<IpEndpoint> found) { peers = found; },
        .has_joined = [this] { return joined; },
        .count_event =
            [this](const std::string& event) { events.push_back(event); }};
    task = std::make_shared<ConfigurationStoreTask<ObjectStore>>(
        io.get_executor(), store, std::move(options));
    task->Start();
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const TimePoint end = SystemClock().Now() + seconds(10);
    while (!condition() && SystemClock().Now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
    }
    return condition();
  }

  std::ptrdiff_t Count(const std::string& event) const {
    return std::ranges::count(events, event);
  }

  void RunFor(milliseconds duration) {
    io.run_for(duration);
    io.restart();
  }

  int EntryWrites() {
    return stand_in.calls["PUT /-/objects/banyantrail-nodes/n1"] +
           stand_in.calls["POST /-/objects/banyantrail-nodes"];
  }

  /// Has the node see the store's era by a call of another task.
  void CallElsewhere() {
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          co_await store.HasNode(NodeId("n2"));
        },
        asio::detached);
  }

  /// A node that has joined, and checks its entry for no other reason than a
  /// change of era, of a store with eras.
  void StartInEra(std::uint64_t era) {
    stand_in.era = era;
    joined = true;
    entry_check_interval = seconds(60);
    Start(milliseconds(30));
    CHECK(RunUntil([&] { return StoredEntry() == own; }));
  }

  /// Follows version 1 from a position that other changes have moved up.
  void StartBelowOtherChanges() {
    stand_in.Write("config", "main", Versioned("1"));
    copy = stand_in.TakeCopy();
    for (int i = 0; i < 3; ++i) {
      stand_in.Write("elsewhere", "x", json::object());
    }
    StartInEra(4);
    CHECK(RunUntil([&] { return store_reads.size() >= 2; }));
  }

  /// The store comes back without those changes. It gets version 2 at a
  /// revision below the position, and others up to one above it.
  void ComeBackBeyondThePosition() {
    stand_in.ComeBack(copy);
    stand_in.Write("config", "main", Versioned("2"));
    for (int i = 0; i < 9; ++i) {
      stand_in.Write("elsewhere", "x", json::object());
    }
  }

  bool HasRelease(std::uint64_t revision) {
    return RunUntil([&] {
      return !releases.empty() && releases.back().number == revision;
    });
  }

  void teardown() override {
    task->Stop();
    stand_in.error_status = 503;
    io.run_for(milliseconds(50));
  }
};

TEST(ConfigurationStoreTask, DeliversFirstAndLaterConfigurations) {
  Start();
  io.run_for(milliseconds(20));
  CHECK(HasRelease(stand_in.Write("config", "main", Configuration(1))));
  CHECK(HasRelease(stand_in.Write("config", "main", Configuration(2))));
}

// A store that drops its history ends the watches that have missed changes. A
// watch that starts after the missed changes does not return them, so the
// configuration has to be read again.
TEST(ConfigurationStoreTask, RereadsConfigurationAfterWatchFailure) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(HasRelease(first));
  const auto configuration_reads = [&] {
    return stand_in.calls["GET /-/objects/config/main"];
  };
  LONGS_EQUAL(1, configuration_reads());
  stand_in.error_status = 503;
  CHECK(
      RunUntil([&] { return std::ranges::count(events, "store_lost") == 1; }));
  stand_in.error_status = 0;
  CHECK(RunUntil(
      [&] { return configuration_reads() >= 2 && releases.size() >= 2; }));
}

TEST(ConfigurationStoreTask, RereadsConfigurationAfterHistoryLoss) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(HasRelease(first));
  stand_in.Write("elsewhere", "x", json::object());
  const std::uint64_t second =
      stand_in.Write("config", "main", Configuration(2));
  stand_in.Compact();
  CHECK(HasRelease(second));
}

TEST(ConfigurationStoreTask, RestoresItsEntryAfterTheStoreLostIt) {
  Start(milliseconds(30));
  joined = true;
  const auto has_entry = [&] {
    bool found = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          found = co_await store.HasNode(NodeId("n1"));
        },
        asio::detached);
    io.run_for(milliseconds(10));
    io.restart();
    return found;
  };
  CHECK(RunUntil(has_entry));
  stand_in.Remove("banyantrail-nodes", "n1");
  CHECK(RunUntil(has_entry));
}

TEST(ConfigurationStoreTask, FindsPeersInTheStore) {
  stand_in.Write("banyantrail-nodes", "n2",
                 {{"domain", "a"}, {"peer_address", "10.0.0.2:7600"}});
  Start();
  CHECK(RunUntil([&] { return peers.size() == 1; }));
  STRCMP_EQUAL("10.0.0.2", peers[0].address.c_str());
}

// A store that becomes unresponsive may never respond to the watches that were
// pending, even after it has recovered. The node must not wait for them: users
// expect it to be in contact with the store 3 s after the recovery.
TEST(ConfigurationStoreTask, UnansweredWatchDoesNotDelayRecovery) {
  constexpr seconds kRecoveryBound{3};
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start();
  CHECK(HasRelease(first));
  io.run_for(milliseconds(50));
  stand_in.unresponsive = true;
  io.run_for(milliseconds(50));
  stand_in.unresponsive = false;
  const std::uint64_t second =
      stand_in.Write("config", "main", Configuration(2));
  const TimePoint returned = SystemClock().Now();
  CHECK(HasRelease(second));
  CHECK(SystemClock().Now() - returned < kRecoveryBound);
}

// If all 60 nodes of a fleet watched the store, each change would cost 60 calls
// and 60 transfers.
TEST(ConfigurationStoreTask, DoesNotWatchWhileAnotherNodeDoes) {
  CHECK(must_watch);
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(HasRelease(first));
  must_watch = false;
  io.run_for(milliseconds(200));
  io.restart();
  const int watches = WatchCalls();
  const int reads = ConfigurationReads();
  stand_in.Write("config", "main", Configuration(2));
  io.run_for(milliseconds(300));
  io.restart();
  LONGS_EQUAL(watches, WatchCalls());
  LONGS_EQUAL(reads, ConfigurationReads());
  must_watch = true;
  const std::uint64_t third =
      stand_in.Write("config", "main", Configuration(3));
  CHECK(HasRelease(third));
}

TEST(ConfigurationStoreTask, ConfirmsTheNewestRevisionAfterEachWatch) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return confirmed.size() >= 3; }));
  LONGS_EQUAL(first, confirmed.back().number);
  const std::uint64_t second =
      stand_in.Write("config", "main", Configuration(2));
  CHECK(RunUntil([&] { return confirmed.back().number == second; }));
  // Only the caller limits differ.
  CHECK(change_bytes > 100 && change_bytes < 300);
}

// A watch returns each change as a complete configuration. With changes of
// about 200 KB every 0.19 s, a link of 7 Mbit/s is overloaded unless
// intermediate revisions are skipped.
TEST(ConfigurationStoreTask, SkipsIntermediateRevisionsOfABurst) {
  constexpr int kChanges = 20;
  constexpr milliseconds kChangeInterval{40};
  stand_in.Write("config", "main", Configuration(1));
  Start();
  CHECK(RunUntil([&] { return !releases.empty(); }));
  std::uint64_t last = 0;
  for (int change = 2; change < 2 + kChanges; ++change) {
    last = stand_in.Write("config", "main", Configuration(change));
    io.run_for(kChangeInterval);
    io.restart();
  }
  CHECK(HasRelease(last));
  CHECK(WatchCalls() + ConfigurationReads() < kChanges / 2);
}

// A backend server announces its departure just before its node restarts. A
// heartbeat that was sent earlier but arrives after the restart must not
// register it again.
TEST(ConfigurationStoreTask, KeepsDeparturesAcrossNodeRestart) {
  Start(milliseconds(30));
  joined = true;
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  CHECK_FALSE(previous.has_value());
  own.departures = {{.id = BackendServerId("s1"), .generation = 5}};
  task->OnOwnEntryChanged();
  CHECK(RunUntil([&] { return StoredEntry() == own; }));

  task->Stop();
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return task->has_read_previous_entry(); }));
  CHECK(previous == own);
}

// The start of 296 nodes costs the store one full call for each of them.
TEST(ConfigurationStoreTask, StartCostsOneFullCall) {
  must_watch = false;
  stand_in.Write("banyantrail-nodes", "n2",
                 {{"domain", "a"}, {"peer_address", "10.0.0.2:7600"}});
  Start();
  CHECK(RunUntil([&] { return !peers.empty(); }));
  LONGS_EQUAL(1, stand_in.full_calls);

  joined = true;
  io.run_for(milliseconds(50));
  task->Stop();
  stand_in.full_calls = 0;
  own.departures = {};
  Start();
  CHECK(RunUntil([&] { return task->has_read_previous_entry(); }));
  io.run_for(milliseconds(50));
  LONGS_EQUAL(1, stand_in.full_calls);
}

TEST(ConfigurationStoreTask, CatchesUpFromAStaleCopy) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  must_watch = false;
  missing_revision = first;
  joined = true;
  Start();
  CHECK(HasRelease(first));
  io.run_for(milliseconds(100));
  io.restart();
  LONGS_EQUAL(1, ConfigurationReads());
  LONGS_EQUAL(0, stand_in.full_calls - 1);  // The own entry.
}

TEST(ConfigurationStoreTask, ReadsAtFullCostWhatTheStaleCopyLacks) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  must_watch = false;
  missing_revision = first;
  joined = true;
  stand_in.stale_copy_lags = true;
  Start();
  CHECK(HasRelease(first));
  LONGS_EQUAL(2, ConfigurationReads());
}

// 104 of 296 nodes lose their path to the store for 9 s. A call without a
// response costs as much as any other.
TEST(ConfigurationStoreTask, CallsAFailingStoreRarelyWhileAPeerConfirms) {
  stand_in.Write("config", "main", Configuration(1));
  joined = true;
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return !releases.empty(); }));
  confirmed_by_peer = true;
  stand_in.error_status = 503;
  CHECK(RunUntil([&] { return store_failures == 1; }));
  io.run_for(milliseconds(500));
  io.restart();
  LONGS_EQUAL(1, store_failures);
}

// Another writer's field of an unexpected type must not end the task.
TEST(ConfigurationStoreTask, KeepsFollowingAfterAnOddResponse) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  stand_in.odd_paging = true;
  CHECK(HasRelease(first));
  io.run_for(milliseconds(50));
  stand_in.odd_paging = false;
  stand_in.Write("banyantrail-nodes", "n2",
                 {{"domain", "a"}, {"peer_address", "10.0.0.2:7600"}});
  CHECK(RunUntil([&] { return peers.size() == 1; }));
}

// A departure was acknowledged by a node that stopped before it had stored it,
// so that its next process took a late heartbeat for a running backend server.
TEST(ConfigurationStoreTask, AwaitsThatTheOwnEntryIsStored) {
  Start(milliseconds(30));
  joined = true;
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  own.departures = {{.id = BackendServerId("s1"), .generation = 5}};
  task->OnOwnEntryChanged();
  bool stored = false;
  asio::co_spawn(io, task->AwaitStoredEntry(),
                 [&](std::exception_ptr) { stored = true; });
  CHECK(RunUntil([&] { return stored; }));
  CHECK(StoredEntry() == own);
}

TEST(ConfigurationStoreTask, WaitsForAFailingStoreForALimitedTime) {
  constexpr milliseconds kAcknowledgementBound{1000};
  stand_in.unresponsive = true;
  Start(milliseconds(30));
  const TimePoint started = SystemClock().Now();
  bool done = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await task->AwaitPreviousEntry();
        co_await task->AwaitStoredEntry();
      },
      [&](std::exception_ptr) { done = true; });
  CHECK(RunUntil([&] { return done; }));
  CHECK(SystemClock().Now() - started < kAcknowledgementBound);
}

// After a power loss of all nodes each refused all requests until it had joined
// its peers and one of them had confirmed a configuration.
TEST(ConfigurationStoreTask, RestartedNodeReadsAConfigurationAtOnce) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  must_watch = false;
  joined = true;
  reads_at_start = true;
  Start();
  CHECK(HasRelease(first));
  io.run_for(milliseconds(50));
  io.restart();
  LONGS_EQUAL(1, ConfigurationReads());
  LONGS_EQUAL(1, stand_in.full_calls);  // The own entry.
}

// All nodes restart at once: the peers that a list names do not respond yet.
// Reading the list again does not help.
TEST(ConfigurationStoreTask, DoesNotRepeatASearchThatFoundPeersAtOnce) {
  must_watch = false;
  stand_in.Write("banyantrail-nodes", "n2",
                 {{"domain", "a"}, {"peer_address", "10.0.0.2:7600"}});
  Start();
  CHECK(RunUntil([&] { return !peers.empty(); }));
  io.run_for(milliseconds(300));
  io.restart();
  LONGS_EQUAL(1, Calls("/-/objects/banyantrail-nodes"));
}

// The age of a confirmation counts from the read: a response may be delayed for
// as long as the connection holds.
TEST(ConfigurationStoreTask, ReportsWhenAWatchWasSent) {
  constexpr milliseconds kWatchWait{40};
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  Start(kWatchWait);
  CHECK(RunUntil([&] { return store_reads.size() >= 2; }));
  const StoreRead& watch = store_reads[1];
  LONGS_EQUAL(first, watch.revision.number);
  CHECK(watch.returned_at - watch.sent_at >= kWatchWait);
  const std::uint64_t second =
      stand_in.Write("config", "main", Configuration(2));
  CHECK(RunUntil([&] { return store_reads.back().revision.number == second; }));
}

// A read that may be stale does not show that there is no newer configuration.
TEST(ConfigurationStoreTask, ReportsNoReadThatMayBeStale) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  must_watch = false;
  missing_revision = first;
  joined = true;
  reads_at_start = true;
  Start();
  CHECK(HasRelease(first));
  io.run_for(milliseconds(100));
  io.restart();
  LONGS_EQUAL(0, store_reads.size());
}

// Guards against a configuration that one node cannot read counting as a
// failure of the store, which has the other nodes read it too.
TEST(ConfigurationStoreTask, ReportsAnUnreadableConfigurationAndWatchesOn) {
  const std::uint64_t bad =
      stand_in.Write("config", "main", {{"services", "none"}});
  Start(milliseconds(30));
  CHECK(RunUntil(
      [&] { return unreadable == std::vector<Revision>{{.number = bad}}; }));
  const std::uint64_t worse =
      stand_in.Write("config", "main", {{"services", 7}});
  CHECK(RunUntil([&] { return unreadable.back().number == worse; }));
  const std::uint64_t good = stand_in.Write("config", "main", Configuration(1));
  CHECK(HasRelease(good));
  LONGS_EQUAL(0, store_failures);
  LONGS_EQUAL(2, unreadable.size());
}

// Guards against a node that relies on another one and does not know that both
// keep an old configuration in force.
TEST(ConfigurationStoreTask, ConfirmsAnUnreadableConfigurationForTheOthers) {
  stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return !confirmed.empty(); }));
  const std::uint64_t bad =
      stand_in.Write("config", "main", {{"services", "none"}});
  CHECK(RunUntil([&] { return confirmed.back().number == bad; }));
  CHECK(change_bytes == std::numeric_limits<std::size_t>::max());
}

TEST(ConfigurationStoreTask, ReadsAConfirmedUnreadableConfigurationOnce) {
  const std::uint64_t bad =
      stand_in.Write("config", "main", {{"services", "none"}});
  must_watch = false;
  missing_revision = bad;
  joined = true;
  Start();
  CHECK(RunUntil([&] { return !unreadable.empty(); }));
  io.run_for(milliseconds(100));
  io.restart();
  CHECK(unreadable == std::vector<Revision>{{.number = bad}});
  LONGS_EQUAL(1, ConfigurationReads());
}

// A configuration that cannot be parsed may have removed a key.
TEST(ConfigurationStoreTask, ReportsNoReadWhileTheNewestIsInvalid) {
  stand_in.Write("config", "main", Configuration(1));
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return store_reads.size() >= 2; }));
  stand_in.Write("config", "main", {{"services", "none"}});
  io.run_for(milliseconds(50));
  io.restart();
  const std::size_t reads = store_reads.size();
  io.run_for(milliseconds(100));
  io.restart();
  LONGS_EQUAL(reads, store_reads.size());
  const std::uint64_t third =
      stand_in.Write("config", "main", Configuration(3));
  CHECK(RunUntil([&] { return store_reads.back().revision.number == third; }));
}

// A store that came back from an older copy gave its revisions out again, and
// the changes up to the old position were not read.
TEST(ConfigurationStoreTask, ReadsAgainAfterAChangeOfEra) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  copy = stand_in.TakeCopy();
  stand_in.Write("config", "main", Versioned("2"));
  CHECK(RunUntil([&] { return releases.back().version == 2; }));
  stand_in.ComeBack(copy);
  CHECK(RunUntil([&] { return heads.back().version == 1; }));
  LONGS_EQUAL(2, releases.back().version);
  LONGS_EQUAL(5, heads.back().era);
  CHECK(store_reads.back().revision == heads.back());
  stand_in.Write("config", "main", Versioned("3"));
  CHECK(RunUntil([&] { return releases.back().version == 3; }));
  LONGS_EQUAL(5, releases.back().era);
}

// The store's counter has passed the position of the watch before the node
// calls again, so that no 410 tells of the change.
TEST(ConfigurationStoreTask, ReadsWhatWasWrittenBelowTheOldPosition) {
  StartBelowOtherChanges();
  ComeBackBeyondThePosition();
  CHECK(RunUntil([&] { return releases.back().version == 2; }));
  LONGS_EQUAL(5, releases.back().era);
  LONGS_EQUAL(0, Count("store_history_gone"));
}

TEST(ConfigurationStoreTask, ReadsAgainAfterAnEraThatFalls) {
  StartBelowOtherChanges();
  ComeBackBeyondThePosition();
  stand_in.era = 2;
  CHECK(RunUntil([&] { return releases.back().version == 2; }));
  LONGS_EQUAL(2, releases.back().era);
  LONGS_EQUAL(0, Count("store_history_gone"));
}

// A call for the node's entry, or of another task, may be the only one that is
// answered in an era between two watches.
TEST(ConfigurationStoreTask, ReadsAgainAfterAChangeSeenByAnotherCall) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  CHECK(RunUntil([&] { return !releases.empty(); }));
  stand_in.held_call = "GET /-/objects/config";
  RunFor(milliseconds(60));
  const std::size_t shown = heads.size();
  for (const std::uint64_t era : {5, 4}) {
    stand_in.era = era;
    CallElsewhere();
    CHECK(RunUntil([&] { return store.era() == era; }));
  }
  LONGS_EQUAL(shown, heads.size());
  stand_in.held_call.clear();
  CHECK(RunUntil([&] { return heads.size() > shown; }));
  LONGS_EQUAL(0, store_failures);
}

// Without the header, only a 410 tells that the store has come back.
TEST(ConfigurationStoreTask, TakesALowerPositionOverAfterLostHistory) {
  copy = stand_in.TakeCopy();
  for (int i = 0; i < 5; ++i) {
    stand_in.Write("config", "main", Versioned("1"));
  }
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return !releases.empty(); }));
  stand_in.ComeBack(copy);
  stand_in.Write("config", "main", Versioned("2"));
  CHECK(RunUntil([&] { return releases.back().version == 2; }));
  stand_in.Write("config", "main", Versioned("3"));
  CHECK(RunUntil([&] { return releases.back().version == 3; }));
  LONGS_EQUAL(1, Count("store_history_gone"));
}

// A configuration that was last written before the store's history began can't
// be the position of a watch: each read led to a watch that got 410, and that
// to a read, without a pause.
TEST(ConfigurationStoreTask, WatchesOnFromTheStoresRevision) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration(1));
  stand_in.Write("elsewhere", "x", json::object());
  stand_in.Compact();
  Start(milliseconds(30));
  CHECK(HasRelease(first));
  RunFor(milliseconds(200));
  LONGS_EQUAL(1, Count("store_history_gone"));
  const std::uint64_t second =
      stand_in.Write("config", "main", Configuration(2));
  CHECK(HasRelease(second));
}

TEST(ConfigurationStoreTask, PausesWhileTheStoreKeepsNoHistory) {
  constexpr int kMaxWatches = 3;  // The least pause is half of the longest.
  search_backoff = {.initial = milliseconds(200), .max = milliseconds(200)};
  stand_in.Write("config", "main", Configuration(1));
  stand_in.keeps_no_history = true;
  Start(milliseconds(30));
  CHECK(RunUntil([&] { return Count("store_history_gone") >= 2; }));
  const auto before = Count("store_history_gone");
  RunFor(milliseconds(300));
  CHECK(Count("store_history_gone") - before <= kMaxWatches);
  stand_in.keeps_no_history = false;
  CHECK(HasRelease(stand_in.Write("config", "main", Configuration(2))));
}

TEST(ConfigurationStoreTask, AnOlderUnreadableVersionIsNotTheNewest) {
  stand_in.Write("config", "main", Unreadable("1"));
  StartInEra(4);
  CHECK(RunUntil([&] { return !unreadable.empty(); }));
  copy = stand_in.TakeCopy();
  stand_in.Write("config", "main", Versioned("2"));
  CHECK(RunUntil([&] { return !releases.empty(); }));
  const std::size_t reported = unreadable.size();
  stand_in.ComeBack(copy);
  CHECK(RunUntil([&] { return Count("store_is_behind") == 1; }));
  CHECK(RunUntil([&] { return heads.back().version == 1; }));
  RunFor(milliseconds(100));
  LONGS_EQUAL(reported, unreadable.size());
  LONGS_EQUAL(2, confirmed.back().version);
}

// The lost version, which this node could not read, may have removed a key.
TEST(ConfigurationStoreTask,
     ReportsNoReadOfAStoreThatLacksAnUnreadableVersion) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  copy = stand_in.TakeCopy();
  stand_in.Write("config", "main", Unreadable("2"));
  CHECK(RunUntil([&] { return !unreadable.empty(); }));
  const std::size_t reads = store_reads.size();
  stand_in.ComeBack(copy);
  CHECK(RunUntil([&] { return releases.back().era == 5; }));
  RunFor(milliseconds(100));
  LONGS_EQUAL(reads, store_reads.size());
  LONGS_EQUAL(1, Count("store_is_behind"));
  stand_in.Write("config", "main", Versioned("3"));
  CHECK(RunUntil([&] { return store_reads.back().revision.version == 3; }));
}

// A follower has applied what its peers sent, and reads the store only for what
// they cannot send.
TEST(ConfigurationStoreTask, UnreadableWithoutVersionIsNewerThanWhatPeersSent) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  CHECK(RunUntil([&] { return !releases.empty(); }));
  applied = {.version = 9, .era = 4, .number = 1};
  stand_in.Write("config", "main", {{"services", "none"}});
  CHECK(RunUntil([&] { return !unreadable.empty(); }));
  CHECK(unreadable.back() > applied);
  LONGS_EQUAL(9, unreadable.back().version);
}

TEST(ConfigurationStoreTask, CountsOnceThatTheStoreIsBehind) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  copy = stand_in.TakeCopy();
  stand_in.Write("config", "main", Versioned("3"));
  CHECK(RunUntil([&] { return releases.back().version == 3; }));
  for (int i = 0; i < 2; ++i) {
    stand_in.ComeBack(copy);
    CHECK(RunUntil([&] { return heads.back() < releases.back(); }));
    stand_in.Write("config", "main", Versioned("2"));
    CHECK(RunUntil([&] { return heads.back().version == 2; }));
    LONGS_EQUAL(i + 1, Count("store_is_behind"));
    stand_in.Write("config", "main", Versioned("3"));
    CHECK(RunUntil([&] { return heads.back() == releases.back(); }));
  }
}

// The copy may hold an older entry of this node, which is no less wrong than
// none: it lacks departures that were acknowledged.
TEST(ConfigurationStoreTask, WritesItsEntryAgainAfterAChangeOfEra) {
  StartInEra(4);
  copy = stand_in.TakeCopy();
  own.departures = {{.id = BackendServerId("s1"), .generation = 5}};
  task->OnOwnEntryChanged();
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  const int writes = EntryWrites();
  stand_in.ComeBack(copy);
  const TimePoint returned = SystemClock().Now();
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  CHECK(SystemClock().Now() - returned < seconds(2));
  RunFor(2 * kEntryCheckSpread);
  LONGS_EQUAL(writes + 1, EntryWrites());
}

// 296 nodes must not all write at the moment the store returns.
TEST(ConfigurationStoreTask, SpreadsTheCheckOfItsEntry) {
  entry_check_spread = seconds(1000);
  StartInEra(4);
  const int writes = EntryWrites();
  stand_in.ComeBack(stand_in.TakeCopy());
  CHECK(RunUntil([&] { return store.era_changes() == 1; }));
  RunFor(milliseconds(200));
  LONGS_EQUAL(writes, EntryWrites());
}

TEST(ConfigurationStoreTask, DoesNotTakeAnEntryOfAnEarlierEraAsStored) {
  entry_check_spread = seconds(1000);
  StartInEra(4);
  copy = stand_in.TakeCopy();
  own.departures = {{.id = BackendServerId("s1"), .generation = 5}};
  task->OnOwnEntryChanged();
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  stand_in.ComeBack(copy);
  CHECK(StoredEntry() != own);
  stand_in.held_call = "PUT /-/objects/banyantrail-nodes/n1";
  bool done = false;
  asio::co_spawn(io, task->AwaitStoredEntry(),
                 [&](std::exception_ptr) { done = true; });
  RunFor(milliseconds(50));
  CHECK_FALSE(done);
  stand_in.held_call.clear();
  CHECK(RunUntil([&] { return done; }));
  CHECK(StoredEntry() == own);
}

TEST(ConfigurationStoreTask, ConfirmsTheErasOfTheStore) {
  stand_in.Write("config", "main", Versioned("1"));
  StartInEra(4);
  CHECK(RunUntil([&] { return confirmed_era == 4; }));
  copy = stand_in.TakeCopy();
  stand_in.Write("config", "main", Versioned("2"));
  CHECK(RunUntil([&] { return confirmed.back().version == 2; }));
  stand_in.ComeBack(copy);
  // Also while the confirmed configuration is of an earlier era.
  CHECK(RunUntil([&] { return confirmed_era == 5; }));
  LONGS_EQUAL(4, confirmed.back().era);
}

// A node that does not watch makes no call on a calm day, and would notice the
// loss of its entry by the periodic check only.
TEST(ConfigurationStoreTask, ChecksItsEntryWhenAWatchingNodeNamesALaterEra) {
  must_watch = false;
  StartInEra(4);
  copy = stand_in.TakeCopy();
  own.departures = {{.id = BackendServerId("s1"), .generation = 5}};
  task->OnOwnEntryChanged();
  CHECK(RunUntil([&] { return StoredEntry() == own; }));
  const int writes = EntryWrites();
  for (const std::uint64_t era : {0, 3, 4}) {
    task->OnAnnouncedEra(era);
  }
  RunFor(2 * kEntryCheckSpread);
  LONGS_EQUAL(writes, EntryWrites());
  stand_in.ComeBack(copy);
  for (int i = 0; i < 3; ++i) {
    task->OnAnnouncedEra(5);
  }
  RunFor(3 * kEntryCheckSpread);
  LONGS_EQUAL(writes + 1, EntryWrites());
  CHECK(StoredEntry() == own);
}
