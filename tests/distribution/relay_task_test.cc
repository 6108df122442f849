#include "banyantrail/distribution/relay_task.h"

#include <CppUTest/TestHarness.h>

#include <functional>

#include "banyantrail/config/release_head.h"
#include "store/fake_store.h"

using banyantrail::DomainId;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::Release;
using banyantrail::ReleaseChunk;
using banyantrail::ReleaseHead;
using banyantrail::Revision;
using banyantrail::seconds;
using banyantrail::testing::FakeStore;

namespace asio = boost::asio;

namespace {

using Task = banyantrail::RelayTask<FakeStore>;

const DomainId kDomain("east");

/// A relay task and the results that it has passed to its callbacks.
struct Node {
  std::shared_ptr<Task> task;
  std::shared_ptr<const Release> current;
  std::vector<Revision> revisions;
  int failed_status_writes = 0;
};

}  // namespace

TEST_GROUP(RelayTask) {
  asio::io_context io;
  FakeStore platform{io.get_executor()};

  std::unique_ptr<Node> StartNode(const char* name) {
    auto node = std::make_unique<Node>();
    Node* raw = node.get();
    node->task = std::make_shared<Task>(
        io.get_executor(), platform,
        Task::Options{
            .lease = {.self = NodeId(name),
                      .domain = kDomain,
                      .peer_address = {.address = "127.0.0.1", .port = 1},
                      .expiry = milliseconds(400),
                      .dead_holder_expiry = milliseconds(100)},
            .lease_interval = milliseconds(20),
            .watch_wait = milliseconds(100),
            .status_interval = milliseconds(20),
            .retry_delay = milliseconds(20),
            .on_release =
                [raw](Release release) {
                  raw->revisions.push_back(release.revision);
                  raw->current = std::make_shared<const Release>(release);
                },
            .current_release = [raw] { return raw->current; },
            .take_due_status =
                [] {
                  return std::optional<nlohmann::json>(
                      nlohmann::json::object());
                },
            .on_status_write_failed = [raw] { ++raw->failed_status_writes; }});
    node->task->OnMembers({NodeId("a"), NodeId("b")});
    node->task->Start();
    return node;
  }

  void Publish(std::uint64_t revision) {
    const banyantrail::ObjectTexts objects = {
        {"service/s", "{\"revision\":" + std::to_string(revision) + "}"}};
    const auto chunks = banyantrail::SplitIntoChunks(objects);
    ReleaseHead head{.revision = revision,
                     .digest = banyantrail::DigestOf(objects),
                     .change = banyantrail::ChangeId("change-1"),
                     .author = "operator",
                     .time = "2026-12-04T09:00:00Z"};
    if (revision > 1) {
      head.parent = banyantrail::DigestOf({});
    }
    for (const ReleaseChunk& chunk : chunks) {
      head.chunks.push_back(chunk.digest);
      platform.store().Put(banyantrail::ChunkKey(chunk.digest),
                           ToJson(chunk).dump());
    }
    platform.store().Put(std::string(banyantrail::kHeadKey),
                         ToJson(head).dump());
  }

  /// Runs until the condition holds, for at most 10 s.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    return condition();
  }

  void StopAll(std::initializer_list<Node*> nodes) {
    for (Node* node : nodes) {
      node->task->Stop();
    }
    for (Node* node : nodes) {
      CHECK(RunUntil([node] { return node->task->ended(); }));
    }
  }
};

TEST(RelayTask, PassesEachNewReleaseToItsCallback) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  Publish(1);
  CHECK(RunUntil([&] { return node->revisions.size() == 1; }));
  Publish(2);
  CHECK(RunUntil([&] { return node->revisions.size() == 2; }));
  LONGS_EQUAL(2, node->current->revision.number);
  StopAll({node.get()});
}

TEST(RelayTask, FindsAReleaseWhoseWatchEventIsMissing) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return platform.watches > 0; }));
  platform.omit_watch_events = true;
  Publish(1);
  CHECK(RunUntil([&] { return node->revisions.size() == 1; }));
  StopAll({node.get()});
}

TEST(RelayTask, ReleasesItsLeaseWhenItStops) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  StopAll({node.get()});
  for (const auto& object : platform.store().List("relay/")) {
    const auto value =
        banyantrail::ParseRelayLeaseValue(nlohmann::json::parse(object.value));
    CHECK(value.node.empty());
  }
}

TEST(RelayTask, AnotherNodeTakesOverFromOneThatStopped) {
  const auto a = StartNode("a");
  const auto b = StartNode("b");
  CHECK(RunUntil([&] { return a->task->IsRelay() && b->task->IsRelay(); }));
  StopAll({a.get()});
  Publish(1);
  CHECK(RunUntil([&] { return b->revisions.size() == 1; }));
  StopAll({b.get()});
}

TEST(RelayTask, ResumesAfterAPlatformOutage) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  platform.outage = true;
  CHECK(RunUntil([&] { return node->task->counters().failures > 5; }));
  CHECK(RunUntil([&] { return !node->task->IsRelay(); }));
  Publish(1);
  platform.outage = false;
  CHECK(RunUntil([&] { return node->revisions.size() == 1; }));
  StopAll({node.get()});
}

TEST(RelayTask, FindsItsLeaseWhenTheWriteResponseIsLost) {
  platform.lost_write_responses = 1;
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  LONGS_EQUAL(1, platform.store().List("relay/").size());
  StopAll({node.get()});
}

TEST(RelayTask, RejectsAMalformedHeadAndAcceptsTheNextOne) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  platform.store().Put(std::string(banyantrail::kHeadKey), "{\"revision\":1}");
  CHECK(RunUntil([&] { return node->task->counters().failures > 0; }));
  LONGS_EQUAL(0, node->revisions.size());
  Publish(2);
  CHECK(RunUntil([&] { return node->revisions.size() == 1; }));
  StopAll({node.get()});
}

TEST(RelayTask, ANodeWithoutALeaseDoesNotCallThePlatform) {
  const auto a = StartNode("a");
  const auto b = StartNode("b");
  CHECK(RunUntil([&] { return a->task->IsRelay() && b->task->IsRelay(); }));
  const auto c = StartNode("c");
  const std::uint64_t watches = platform.watches;
  StopAll({a.get(), b.get()});
  CHECK(platform.watches <= watches + 2);
  const std::uint64_t reads = platform.reads;
  io.run_for(milliseconds(100));
  LONGS_EQUAL(reads, platform.reads);
  StopAll({c.get()});
}

TEST(RelayTask, ContinuesAfterAnUnexpectedException) {
  const auto node = StartNode("a");
  CHECK(RunUntil([&] { return node->task->IsRelay(); }));
  platform.throw_unexpected = true;
  CHECK(RunUntil([&] { return node->task->counters().failures > 2; }));
  platform.throw_unexpected = false;
  Publish(1);
  CHECK(RunUntil([&] { return node->revisions.size() == 1; }));
  StopAll({node.get()});
}
