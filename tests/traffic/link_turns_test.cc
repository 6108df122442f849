// Large responses on a low-bandwidth link, with nested calls on the same link.

#include "banyantrail/traffic/link_turns.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "banyantrail/core/random.h"

using banyantrail::Duration;
using banyantrail::LinkSlice;
using banyantrail::LinkTurnOptions;
using banyantrail::LinkTurns;
using banyantrail::milliseconds;
using banyantrail::RequestId;
using banyantrail::Rng;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr std::uint64_t kNarrowBytesPerS = 2'000'000;  // 16 Mbit/s
constexpr std::uint64_t kWideBytesPerS = 125'000'000;
constexpr double kBytesPerMs = kNarrowBytesPerS / 1000.0;
constexpr double kWindowBytes = 65'536;
constexpr std::size_t kSlots = 12;
constexpr std::size_t kMaxQueued = 48;
constexpr double kMeanLargeBytes = 90'000;
constexpr double kMaxLargeBytes = 540'000;
constexpr double kNestedBytes = 2'000;
constexpr double kNestedPerS = 40;
constexpr double kOverload = 1.2;
constexpr int kRunMs = 60'000;
constexpr milliseconds kNestedTarget{200};

TimePoint At(int ms) {
  return TimePoint{} + seconds(1000) + milliseconds(ms);
}

struct LinkReport {
  int nested = 0;
  int nested_in_time = 0;
  double large_bytes = 0;
  double max_link_queue_ms = 0;
};

/// Simulates a link that carries bytes in the order in which they were handed
/// to it. Large responses hold one of the backend server's slots until they are
/// sent.
class Link {
 public:
  explicit Link(bool with_turns) : m_with_turns(with_turns) {}

  LinkReport Run() {
    for (int ms = 0; ms < kRunMs; ++ms) {
      Arrive(ms);
      while (!m_arrived.empty() && m_large.size() < kSlots) {
        m_large[++m_last] = {.left = m_arrived.front()};
        m_arrived.pop_front();
      }
      m_with_turns ? HandOverByTurns(ms) : HandOverAll();
      m_on_link = std::max(m_on_link - kBytesPerMs, 0.0);
      m_report.max_link_queue_ms =
          std::max(m_report.max_link_queue_ms, m_on_link / kBytesPerMs);
      std::erase_if(m_large,
                    [](const auto& item) { return item.second.left <= 0; });
    }
    return m_report;
  }

 private:
  struct Response {
    double left = 0;
    bool waits = false;
  };

  void Arrive(int ms) {
    const double large_per_ms =
        (kOverload * kBytesPerMs - kNestedPerS * kNestedBytes / 1000) /
        kMeanLargeBytes;
    std::exponential_distribution<double> size(1 / kMeanLargeBytes);
    for (int n = std::poisson_distribution<int>(large_per_ms)(m_rng); n > 0;
         --n) {
      if (m_arrived.size() < kMaxQueued) {
        m_arrived.push_back(std::min(size(m_rng), kMaxLargeBytes));
      }
    }
    for (int n = std::poisson_distribution<int>(kNestedPerS / 1000)(m_rng);
         n > 0; --n) {
      SendNested(ms);
    }
  }

  void SendNested(int ms) {
    m_on_link += kNestedBytes;
    m_turns.Book(static_cast<std::uint64_t>(kNestedBytes), At(ms));
    const bool in_time = m_on_link / kBytesPerMs <= kNestedTarget.count();
    ++m_report.nested;
    m_report.nested_in_time += in_time ? 1 : 0;
  }

  void HandOverByTurns(int ms) {
    const auto slice_bytes = static_cast<double>(m_turns.slice_bytes());
    for (auto& [id, response] : m_large) {
      if (!response.waits && response.left > 0) {
        response.waits = true;
        m_turns.Wait({.response = id,
                      .admitted_at = At(static_cast<int>(id)),
                      .bytes = static_cast<std::uint64_t>(
                          std::min(response.left, slice_bytes))});
      }
    }
    while (const auto granted = m_turns.Grant(At(ms))) {
      Response& response = m_large.at(*granted);
      response.waits = false;
      Send(response, std::min(response.left, slice_bytes));
    }
  }

  /// Each response keeps a window of bytes on the link.
  void HandOverAll() {
    for (auto& [id, response] : m_large) {
      const double others = m_on_link / static_cast<double>(m_large.size());
      Send(response,
           std::min(response.left, std::max(kWindowBytes - others, 0.0)));
    }
  }

  void Send(Response& response, double bytes) {
    response.left -= bytes;
    m_on_link += bytes;
    m_report.large_bytes += bytes;
  }

  bool m_with_turns;
  LinkTurns m_turns{*LinkTurnOptions(kNarrowBytesPerS)};
  std::deque<double> m_arrived;
  std::map<RequestId, Response> m_large;
  RequestId m_last = 0;
  double m_on_link = 0;
  Rng m_rng{20261206};
  LinkReport m_report;
};

}  // namespace

TEST_GROUP(LinkTurns) {
  LinkTurns turns{{.bytes_per_s = kNarrowBytesPerS}};

  LinkSlice Slice(RequestId response) const {
    return {.response = response,
            .admitted_at = At(static_cast<int>(response)),
            .bytes = turns.slice_bytes()};
  }
};

TEST(LinkTurns, WideAndUnknownLinksHaveNoTurns) {
  CHECK_FALSE(LinkTurnOptions(0).has_value());
  CHECK_FALSE(LinkTurnOptions(kWideBytesPerS).has_value());
  CHECK(LinkTurnOptions(kNarrowBytesPerS).has_value());
}

TEST(LinkTurns, NestedCallsAreInTimeOnAnOverloadedLink) {
  const LinkReport report = Link(true).Run();
  CHECK(report.nested_in_time >= 0.95 * report.nested);
  CHECK(report.max_link_queue_ms <= 100);
}

TEST(LinkTurns, AnOverloadedLinkKeepsItsThroughput) {
  const double carried = kRunMs * kBytesPerMs;
  CHECK(Link(true).Run().large_bytes >= 0.9 * carried);
}

// Checks that the load pattern needs the turns.
TEST(LinkTurns, SentSideBySideTheSameLoadDelaysNestedCalls) {
  const LinkReport report = Link(false).Run();
  CHECK(report.nested_in_time < 0.5 * report.nested);
}

TEST(LinkTurns, FirstAdmittedGoesFirstAndNestedCallsGoBeforeAll) {
  turns.Wait(Slice(2));
  turns.Wait(Slice(1));
  LinkSlice nested = Slice(3);
  nested.is_nested_call = true;
  turns.Wait(nested);
  std::vector<RequestId> order;
  for (int ms = 0; ms < 100; ++ms) {
    if (const auto granted = turns.Grant(At(ms))) {
      order.push_back(*granted);
    }
  }
  CHECK((order == std::vector<RequestId>{3, 1, 2}));
}

// A response whose reader takes nothing never asks again. The next one must not
// wait for it.
TEST(LinkTurns, StalledReaderLosesItsTurnAfterOneSlice) {
  turns.Wait(Slice(1));
  turns.Wait(Slice(2));
  CHECK(turns.Grant(At(0)) == std::optional<RequestId>(1));
  CHECK_FALSE(turns.Grant(At(5)).has_value());
  CHECK(turns.Grant(At(20)) == std::optional<RequestId>(2));
}

TEST(LinkTurns, SmallResponsesCannotKeepLargeOnesWaitingForLong) {
  turns.Book(10 * kNarrowBytesPerS, At(0));
  turns.Wait(Slice(1));
  CHECK(*turns.NextWakeup() <= At(100));
  CHECK(turns.Grant(At(100)) == std::optional<RequestId>(1));
}

TEST(LinkTurns, WithdrawnSliceGetsNoTurn) {
  turns.Wait(Slice(1));
  turns.Cancel(1);
  CHECK_FALSE(turns.Grant(At(0)).has_value());
  CHECK_FALSE(turns.NextWakeup().has_value());
}
