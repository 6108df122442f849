#include "banyantrail/platform/object_store.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/core/errors.h"
#include "platform/object_store_stand_in.h"

using banyantrail::ConfigurationStore;
using banyantrail::DomainId;
using banyantrail::ErrorKind;
using banyantrail::milliseconds;
using banyantrail::NodeEntry;
using banyantrail::NodeId;
using banyantrail::ReadConsistency;
using banyantrail::platform::ObjectStore;
using banyantrail::test::ObjectStoreStandIn;
using nlohmann::json;
namespace asio = banyantrail::asio;

static_assert(ConfigurationStore<ObjectStore>);
static_assert(banyantrail::RolloutStore<ObjectStore>);

namespace {

json Configuration(const char* service) {
  return {{"services", {{{"name", service}}}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 1048576},
            {"header_timeout", "3000ms"},
            {"idle_timeout", "15000ms"}}},
          {"virtual_hosts", json::array()}};
}

NodeEntry Entry(const std::string& name) {
  return {.node = NodeId(name),
          .domain = DomainId("a"),
          .peer_address = {.address = "10.0.0.1", .port = 7600}};
}

}  // namespace

TEST_GROUP(ObjectStore) {
  asio::io_context io;
  ObjectStoreStandIn stand_in{io};
  ObjectStore store{io.get_executor(),
                    {.servers = {stand_in.address()}, .max_attempts = 1}};

  /// Runs a call to completion. Returns the kind of its error, if any.
  template <typename Call>
  std::optional<ErrorKind> Run(Call call) {
    std::optional<ErrorKind> failure;
    bool done = false;
    asio::co_spawn(io, call(), [&](std::exception_ptr error) {
      done = true;
      try {
        if (error) {
          std::rethrow_exception(error);
        }
      } catch (const banyantrail::Error& caught) {
        failure = caught.kind();
      }
    });
    const auto is_done = [&done] { return done; };
    while (!is_done()) {
      io.run_one_for(milliseconds(100));
      io.restart();
    }
    return failure;
  }

  banyantrail::ReleaseReadResult ReadWhole() {
    banyantrail::ReleaseReadResult read;
    Run([&]() -> asio::awaitable<void> {
      read = co_await store.ReadRelease(ReadConsistency::kLinearizable);
    });
    return read;
  }

  std::optional<banyantrail::Release> Read() {
    return ReadWhole().release;
  }

  banyantrail::ReleaseWatchResult Await(std::uint64_t after) {
    banyantrail::ReleaseWatchResult watch;
    Run([&]() -> asio::awaitable<void> {
      watch = co_await store.AwaitRelease({.number = after}, milliseconds(50));
    });
    return watch;
  }

  std::vector<NodeEntry> Nodes() {
    std::vector<NodeEntry> nodes;
    Run([&]() -> asio::awaitable<void> {
      nodes = co_await store.ListNodes(ReadConsistency::kLinearizable);
    });
    return nodes;
  }
};

TEST(ObjectStore, ReadsConfigurationWithItsRevision) {
  CHECK_FALSE(Read().has_value());
  const std::uint64_t revision =
      stand_in.Write("config", "main", Configuration("orders"));
  LONGS_EQUAL(revision, Read()->revision.number);
}

TEST(ObjectStore, WatchReturnsTheNewestChange) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  stand_in.Write("config", "main", Configuration("lookups"));
  const std::uint64_t last =
      stand_in.Write("config", "main", Configuration("uploads"));
  const auto watch = Await(first);
  LONGS_EQUAL(last, watch.release->revision.number);
  LONGS_EQUAL(last, watch.resume_after.number);
}

TEST(ObjectStore, WatchWithoutChangesReturnsItsPosition) {
  const std::uint64_t last =
      stand_in.Write("config", "main", Configuration("orders"));
  const auto watch = Await(last);
  CHECK_FALSE(watch.release.has_value());
  LONGS_EQUAL(last, watch.resume_after.number);
}

TEST(ObjectStore, WatchSkipsInvalidConfigurations) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  const std::uint64_t good =
      stand_in.Write("config", "main", Configuration("lookups"));
  stand_in.Write("config", "main", {{"services", 7}});
  stand_in.Write("config", "another", Configuration("uploads"));
  LONGS_EQUAL(good, Await(first).release->revision.number);
}

// Guards against a fleet that keeps an old configuration without saying why.
TEST(ObjectStore, ReportsWhyAConfigurationCannotBeRead) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  stand_in.Write("config", "main", {{"services", 8}});
  const std::uint64_t newest =
      stand_in.Write("config", "main", {{"services", 7}});
  const auto unreadable = Await(first).unreadable;
  LONGS_EQUAL(newest, unreadable->revision.number);
  CHECK(unreadable->reason.find("virtual_hosts") != std::string::npos);
  const auto read = ReadWhole();
  CHECK_FALSE(read.release.has_value());
  CHECK(read.unreadable == unreadable);
}

TEST(ObjectStore, WatchReportsLostHistory) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  stand_in.Write("config", "main", Configuration("lookups"));
  stand_in.Compact();
  CHECK(Await(first).history_compacted);
}

TEST(ObjectStore, DistinguishesRejectedFromUnknownOutcomes) {
  const auto write = [&]() -> asio::awaitable<void> {
    co_await store.WriteNode(Entry("n1"));
  };
  stand_in.error_status = 503;
  CHECK(Run(write) == ErrorKind::kPlatformUnavailable);
  stand_in.error_status = 429;
  CHECK(Run(write) == ErrorKind::kPlatformOverloaded);
  stand_in.error_status = 0;
  stand_in.lose_responses = 1;
  CHECK(Run(write) == ErrorKind::kOutcomeUnknown);
  // A repeated write after a lost response creates no second entry.
  CHECK_FALSE(Run(write).has_value());
  LONGS_EQUAL(1, Nodes().size());
}

TEST(ObjectStore, ListsAllPagesAndSkipsInvalidEntries) {
  stand_in.page_size = 2;
  for (const char* name : {"n1", "n2", "n3", "n5"}) {
    Run([&]() -> asio::awaitable<void> {
      co_await store.WriteNode(Entry(name));
    });
  }
  stand_in.Write("banyantrail-nodes", "n4", {{"peer_address", 7}});
  const std::vector<NodeEntry> nodes = Nodes();
  LONGS_EQUAL(4, nodes.size());
  CHECK(nodes.back() == Entry("n5"));
}

// Another writer may leave entries that a JSON parser rejects as a whole or
// that are nested so deeply that a recursive one runs out of stack.
TEST(ObjectStore, OddEntriesDoNotHideTheOthers) {
  constexpr std::size_t kDepth = 200'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string tail = R"(,"revision":1},"specification":{"domain":"a",)";
  const std::string head = R"({"metadata":{"name":)";
  stand_in.raw_items =
      head + R"("x1")" + tail + R"("peer_address":1e999}},)" +             //
      head + R"("x2")" + tail + R"("peer_address":)" + deep + "}}," +      //
      head + R"("x3")" + tail + R"("peer_address":"10.0.0.9:70000"}},)" +  //
      head + R"("x4")" + tail + R"("peer_address":"10.0.0.9:0"}},)" +      //
      head + R"(99999999999999999999999999)" + tail + "}}," + deep +
      R"(,{"odd":"\"]}{["})";
  Run([&]() -> asio::awaitable<void> {
    co_await store.WriteNode(Entry("n1"));
  });
  const std::vector<NodeEntry> nodes = Nodes();
  LONGS_EQUAL(1, nodes.size());
  CHECK(nodes.front() == Entry("n1"));
}

TEST(ObjectStore, OddEventsDoNotHideAConfiguration) {
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  const std::uint64_t last =
      stand_in.Write("config", "main", Configuration("lookups"));
  stand_in.raw_items = R"({"object":{"metadata":{"name":"main"},)"
                       R"("specification":{"version":1e999}}},[[[[]]]],7)";
  LONGS_EQUAL(last, Await(first).release->revision.number);
}

TEST(ObjectStore, ReadsRollOutsAndWritesTheirStateConditionally) {
  const json specification = {
      {"service", "huvo11a"}, {"target_version", "v2"}, {"duration", "12s"}};
  const std::uint64_t revision =
      stand_in.Write("rollouts", "huvo11a", specification);
  stand_in.Write("rollouts", "odd", {{"service", "odd"}});
  banyantrail::RolloutReadResult read;
  const auto list = [&]() -> asio::awaitable<void> {
    read = co_await store.ListRollouts();
  };
  CHECK_FALSE(Run(list).has_value());
  LONGS_EQUAL(1, read.changes.size());
  const banyantrail::RolloutObject object = read.changes.front().object;
  const banyantrail::RolloutObject expected{
      .service = banyantrail::ServiceName("huvo11a"),
      .target_version = "v2",
      .duration = banyantrail::seconds(12),
      .revision = {.number = revision}};
  CHECK(object == expected);

  bool first_written = false;
  bool second_written = true;
  const auto write = [&]() -> asio::awaitable<void> {
    first_written = co_await store.WriteRolloutState(
        object, banyantrail::RolloutState::kRunning);
    // The object has another revision now.
    second_written = co_await store.WriteRolloutState(
        object, banyantrail::RolloutState::kCompleted);
    read = co_await store.AwaitRollouts(read.resume_after, milliseconds(500));
  };
  CHECK_FALSE(Run(write).has_value());
  CHECK(first_written);
  CHECK_FALSE(second_written);
  CHECK(read.changes.front().object.state ==
        banyantrail::RolloutState::kRunning);
}

// A store that has come back from an older copy gives out its revisions again,
// so that a number alone does not tell which state it names.
TEST(ObjectStore, NamesTheEraOfWhatItReads) {
  stand_in.era = 4;
  const auto copy = stand_in.TakeCopy();
  const std::uint64_t first =
      stand_in.Write("config", "main", Configuration("orders"));
  LONGS_EQUAL(4, Read()->revision.era);
  stand_in.ComeBack(copy);
  CHECK_FALSE(Read().has_value());
  LONGS_EQUAL(1, store.era_changes());
  LONGS_EQUAL(first,
              stand_in.Write("config", "main", Configuration("lookups")));
  const auto watch = Await(first - 1);
  LONGS_EQUAL(5, watch.release->revision.era);
  LONGS_EQUAL(5, watch.resume_after.era);
}

TEST(ObjectStore, WatchFromALostRevisionReportsLostHistory) {
  const auto copy = stand_in.TakeCopy();
  const std::uint64_t lost =
      stand_in.Write("config", "main", Configuration("orders"));
  stand_in.ComeBack(copy);
  CHECK(Await(lost).history_compacted);
}

// Each kind of call may be the first one after the change.
TEST(ObjectStore, EveryCallShowsAChangeOfEra) {
  stand_in.era = 4;
  stand_in.Write("config", "main", Configuration("orders"));
  CHECK(Read().has_value());
  const banyantrail::RolloutObject rollout{
      .service = banyantrail::ServiceName("orders")};
  const std::vector<std::function<asio::awaitable<void>()>> calls{
      [&]() -> asio::awaitable<void> {
        co_await store.AwaitRelease({}, milliseconds(5));
      },
      [&]() -> asio::awaitable<void> {
        co_await store.ListNodes(ReadConsistency::kMayBeStale);
      },
      [&]() -> asio::awaitable<void> {
        co_await store.CreateNode(Entry("n1"));
      },
      [&]() -> asio::awaitable<void> { co_await store.WriteNode(Entry("n1")); },
      [&]() -> asio::awaitable<void> { co_await store.ReadNode(NodeId("n1")); },
      [&]() -> asio::awaitable<void> { co_await store.HasNode(NodeId("n1")); },
      [&]() -> asio::awaitable<void> {
        co_await store.DeleteNode(NodeId("n1"));
      },
      [&]() -> asio::awaitable<void> { co_await store.ListRollouts(); },
      [&]() -> asio::awaitable<void> {
        co_await store.AwaitRollouts({}, milliseconds(5));
      },
      [&]() -> asio::awaitable<void> {
        co_await store.WriteRolloutState(rollout,
                                         banyantrail::RolloutState::kRunning);
      }};
  for (const auto& call : calls) {
    stand_in.ComeBack(stand_in.TakeCopy());
    const std::uint64_t changes = store.era_changes();
    CHECK_FALSE(Run(call).has_value());
    LONGS_EQUAL(changes + 1, store.era_changes());
    LONGS_EQUAL(*stand_in.era, store.era());
  }
}

TEST(ObjectStore, DiscardsResponsesOfAnEarlierEra) {
  stand_in.era = 4;
  stand_in.Write("config", "main", Configuration("orders"));
  CHECK(Read().has_value());
  const auto run_held = [&](const std::string& held, auto call) {
    stand_in.held_call = held;
    std::optional<ErrorKind> failure;
    bool done = false;
    asio::co_spawn(io, call(), [&](std::exception_ptr error) {
      done = true;
      try {
        if (error) {
          std::rethrow_exception(error);
        }
      } catch (const banyantrail::Error& caught) {
        failure = caught.kind();
      }
    });
    io.run_for(milliseconds(30));
    io.restart();
    stand_in.ComeBack(stand_in.TakeCopy());
    Nodes();
    stand_in.held_call.clear();
    const auto is_done = [&done] { return done; };
    while (!is_done()) {
      io.run_one_for(milliseconds(100));
      io.restart();
    }
    return failure;
  };
  CHECK(run_held("GET /-/objects/config/main", [&]() -> asio::awaitable<void> {
          co_await store.ReadRelease(ReadConsistency::kLinearizable);
        }) == ErrorKind::kPlatformUnavailable);
  CHECK(run_held("POST /-/objects/banyantrail-nodes",
                 [&]() -> asio::awaitable<void> {
                   co_await store.CreateNode(Entry("n1"));
                 }) == ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(6, store.era());
}
