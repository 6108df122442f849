// Uploads that exceed the capacity of a narrow link, competing with nested
// calls on the same link.

#include "banyantrail/traffic/body_transfers.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <vector>

using banyantrail::AdmissionChanges;
using banyantrail::AdmissionOptions;
using banyantrail::AdmissionQueue;
using banyantrail::AttemptEnd;
using banyantrail::BodyTransferOptions;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::RequestId;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr std::uint64_t kNarrowLink = 875'000;  // 7 Mbit/s
constexpr std::uint64_t kWideLink = 125'000'000;
constexpr double kBodyBytes = 60'000;
constexpr double kWindowBytes = 65'536;
constexpr milliseconds kTarget{1300};
constexpr milliseconds kDeadline{1800};
constexpr milliseconds kStep{1};

/// Statistics of one simulated link.
struct LinkReport {
  int arrived = 0;
  int in_target = 0;
  int refused = 0;
  /// Longest time that a small message would have queued behind bodies.
  Duration worst_call_delay{};
};

/// Simulates a link whose bandwidth is shared evenly by its transfers. Each
/// transfer keeps one window of bytes queued on the link.
class Link {
 public:
  explicit Link(AdmissionOptions options) : m_queue(std::move(options)) {}

  LinkReport Run(double uploads_per_s, Duration length) {
    const TimePoint start{};
    double due = 0;
    for (TimePoint now = start; now < start + length; now += kStep) {
      for (due += uploads_per_s / 1000; due >= 1; due -= 1) {
        Arrive(now);
      }
      Take(m_queue.Expire(now), now);
      Carry(now);
    }
    return m_report;
  }

 private:
  struct Upload {
    double left = kBodyBytes;
    TimePoint arrived;
    TimePoint admitted;
  };

  void Arrive(TimePoint now) {
    const RequestId id = ++m_last;
    ++m_report.arrived;
    m_waiting[id] = now;
    const auto result = m_queue.Offer({.request = id,
                                       .rank_priority = 2,
                                       .deadline = now + kDeadline,
                                       .target = now + kTarget,
                                       .kind = 1},
                                      now);
    if (std::holds_alternative<banyantrail::Admitted>(result)) {
      Begin(id, now);
    } else if (std::holds_alternative<banyantrail::Refused>(result)) {
      ++m_report.refused;
    }
  }

  void Begin(RequestId id, TimePoint now) {
    m_crossing[id] = {.arrived = m_waiting.at(id), .admitted = now};
  }

  void Take(const AdmissionChanges& changes, TimePoint now) {
    for (const RequestId id : changes.admitted) {
      Begin(id, now);
    }
    m_report.refused += static_cast<int>(changes.refused.size());
  }

  void Carry(TimePoint now) {
    double queued = 0;
    for (const auto& [id, upload] : m_crossing) {
      queued += std::min(upload.left, kWindowBytes);
    }
    const Duration delay = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(queued / kNarrowLink));
    m_report.worst_call_delay = std::max(m_report.worst_call_delay, delay);
    const double share =
        kNarrowLink / 1000.0 / std::max<double>(1, m_crossing.size());
    std::vector<RequestId> ended;
    for (auto& [id, upload] : m_crossing) {
      upload.left -= share;
      if (upload.left <= 0) {
        ended.push_back(id);
      }
    }
    for (const RequestId id : ended) {
      const Upload upload = m_crossing.at(id);
      m_crossing.erase(id);
      m_report.in_target += now - upload.arrived <= kTarget ? 1 : 0;
      Take(m_queue.Release(
               id,
               {.end = AttemptEnd::kAnswered, .latency = now - upload.admitted},
               now),
           now);
    }
  }

  AdmissionQueue m_queue;
  RequestId m_last = 0;
  std::map<RequestId, TimePoint> m_waiting;
  std::map<RequestId, Upload> m_crossing;
  LinkReport m_report;
};

/// Lets all uploads be sent concurrently, for comparison.
AdmissionOptions Unbounded() {
  AdmissionOptions options = *BodyTransferOptions(kNarrowLink);
  options.announced_slots = 1000;
  return options;
}

constexpr double kOverloadPerS = 1.4 * kNarrowLink / kBodyBytes;

}  // namespace

TEST_GROUP(BodyTransfers){};

TEST(BodyTransfers, WideAndUnknownLinksAreNotBounded) {
  CHECK_FALSE(BodyTransferOptions(0).has_value());
  CHECK_FALSE(BodyTransferOptions(kWideLink).has_value());
  CHECK(BodyTransferOptions(kNarrowLink).has_value());
}

TEST(BodyTransfers, CallsPassAnOverloadedLink) {
  const LinkReport report =
      Link(*BodyTransferOptions(kNarrowLink)).Run(kOverloadPerS, seconds(10));
  CHECK(report.worst_call_delay <= milliseconds(100));
}

TEST(BodyTransfers, AnOverloadedLinkServesWhatItCarriesInTime) {
  const LinkReport report =
      Link(*BodyTransferOptions(kNarrowLink)).Run(kOverloadPerS, seconds(10));
  const double carried = 10 * kNarrowLink / kBodyBytes;
  CHECK(report.in_target >= 0.85 * carried);
  CHECK(report.refused > 0);
}

// Checks that the load pattern needs the queue: with unlimited concurrent
// transfers, calls wait too long and most uploads miss their target.
TEST(BodyTransfers, SideBySideTheSameLoadIsLate) {
  const LinkReport report = Link(Unbounded()).Run(kOverloadPerS, seconds(10));
  const double carried = 10 * kNarrowLink / kBodyBytes;
  CHECK(report.worst_call_delay > milliseconds(500));
  CHECK(report.in_target < 0.7 * carried);
}
