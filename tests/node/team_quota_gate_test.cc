#include "banyantrail/node/team_quota_gate.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "banyantrail/wire/request_metadata.h"

namespace asio = boost::asio;
using banyantrail::DomainId;
using banyantrail::Duration;
using banyantrail::MemberRecord;
using banyantrail::MembershipView;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::PeerMessage;
using banyantrail::RoutedTeam;
using banyantrail::SystemClock;
using banyantrail::TeamName;
using banyantrail::TeamQuotaGate;
using banyantrail::TimePoint;

namespace {

const TeamName kTeam("surveyors");

}  // namespace

/// Two nodes of one failure domain, whose messages pass through the I/O
/// context.
TEST_GROUP(TeamQuotaGate) {
  asio::io_context io;
  std::unique_ptr<TeamQuotaGate> gates[2];
  bool is_cut = false;

  static NodeId Name(int index) {
    return NodeId("n" + std::to_string(index));
  }

  void setup() override {
    for (int i = 0; i < 2; ++i) {
      gates[i] = std::make_unique<TeamQuotaGate>(
          io.get_executor(),
          TeamQuotaGate::Options{
              .quotas = {.self = Name(i),
                         .domain = DomainId("a"),
                         .takeover_delay = milliseconds(0)},
              .send = [this, i](const NodeId& to, const PeerMessage& message) {
                Deliver(i, to, message);
              }});
      gates[i]->SetTeams(
          {RoutedTeam{.name = kTeam, .requests_per_s = 1000, .burst = 1000}});
    }
    MembershipView view{.joined = true};
    for (int i = 0; i < 2; ++i) {
      view.members.push_back(std::make_shared<const MemberRecord>(
          MemberRecord{.node = Name(i),
                       .domain = DomainId("a"),
                       .mesh_version = banyantrail::kMeshVersion}));
    }
    gates[0]->SetMembers(view, true);
    gates[1]->SetMembers(view, true);
    Run(milliseconds(20));
  }

  void Deliver(int from, const NodeId& to, const PeerMessage& message) {
    if (is_cut) {
      return;
    }
    const int index = to == Name(0) ? 0 : 1;
    asio::post(io, [this, from, index, message] {
      gates[index]->OnMessage(Name(from), message);
    });
  }

  void Run(Duration time) {
    io.restart();
    io.run_for(time);
  }

  /// The node that is not the holder.
  TeamQuotaGate& Borrower() {
    const NodeId holder = gates[0]->Status().at(0).holders.at(0);
    return *gates[holder == Name(0) ? 1 : 0];
  }

  struct Outcome {
    bool is_decided = false;
    std::optional<Duration> refusal;
    Duration waited{};
  };

  /// Waits for a token, for 200 ms at most.
  Outcome Acquire(TeamQuotaGate & gate, Duration time_left) {
    Outcome outcome;
    const TimePoint start = SystemClock().Now();
    auto acquire = [&]() -> asio::awaitable<void> {
      outcome.refusal = co_await gate.Acquire(kTeam, start + time_left);
      outcome.waited = SystemClock().Now() - start;
      outcome.is_decided = true;
    };
    asio::co_spawn(io, acquire(), asio::detached);
    Run(milliseconds(200));
    return outcome;
  }
};

TEST(TeamQuotaGate, GetsATokenFromTheHolder) {
  const Outcome outcome = Acquire(Borrower(), milliseconds(500));
  CHECK(outcome.is_decided);
  CHECK_FALSE(outcome.refusal.has_value());
  LONGS_EQUAL(1, Borrower().Status().at(0).granted);
}

// A request must not wait for a holder that does not respond, nor longer than
// its deadline.
TEST(TeamQuotaGate, SilentHolderDelaysARequestOnlyShortly) {
  is_cut = true;
  const Outcome outcome = Acquire(Borrower(), milliseconds(500));
  CHECK(outcome.is_decided);
  CHECK(outcome.refusal.has_value());
  LONGS_EQUAL(1, Borrower().Status().at(0).refused_no_response);
}

TEST(TeamQuotaGate, WaitEndsAtTheDeadline) {
  is_cut = true;
  const Outcome outcome = Acquire(Borrower(), milliseconds(5));
  CHECK(outcome.is_decided);
  CHECK(outcome.refusal.has_value());
}
