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
using banyantrail::AttemptResult;
using banyantrail::BodyTransferQueueOptions;
using banyantrail::Duration;
using banyantrail::milliseconds;
using banyantrail::RequestId;
using banyantrail::seconds;
using banyantrail::TimePoint;

namespace {

constexpr std::uint64_t kNarrowLinkBytesPerS = 875'000;  // 7 Mbit/s
constexpr std::uint64_t kWideLinkBytesPerS = 125'000'000;
constexpr double kBodyBytes = 60'000;
constexpr double kWindowBytes = 65'536;
constexpr milliseconds kTarget{1300};
constexpr milliseconds kDeadline{1800};
constexpr milliseconds kStep{1};

/// Statistics of one simulated link.
struct LinkReport {
  int arrived = 0;
  int within_target = 0;
  int refused = 0;
  /// Longest time that a small message would have queued behind bodies.
  Duration max_call_delay{};
};

/// Simulates a link whose bandwidth is shared evenly by its transfers. Each
/// transfer keeps one window of bytes queued on the link.
class Link {
 public:
  explicit Link(AdmissionOptions options) : m_queue(std::move(options)) {}

  LinkReport Run(double uploads_per_s, Duration length) {
    const TimePoint start{};
    double pending_arrivals = 0;
    for (TimePoint now = start; now < start + length; now += kStep) {
      for (pending_arrivals += uploads_per_s / 1000; pending_arrivals >= 1;
           pending_arrivals -= 1) {
        Arrive(now);
      }
      Apply(m_queue.Expire(now), now);
      Transmit(now);
    }
    return m_report;
  }

 private:
  struct Upload {
    double remaining_bytes = kBodyBytes;
    TimePoint arrived;
    TimePoint admitted;
  };

  void Arrive(TimePoint now) {
    const RequestId id = ++m_last_id;
    ++m_report.arrived;
    m_arrivals[id] = now;
    const auto result = m_queue.Offer({.id = id,
                                       .rank_priority = 2,
                                       .deadline = now + kDeadline,
                                       .target = now + kTarget,
                                       .kind = 1},
                                      now);
    if (std::holds_alternative<banyantrail::Admitted>(result)) {
      StartTransfer(id, now);
    } else if (std::holds_alternative<banyantrail::Refused>(result)) {
      ++m_report.refused;
    }
  }

  void StartTransfer(RequestId id, TimePoint now) {
    m_transfers[id] = {.arrived = m_arrivals.at(id), .admitted = now};
  }

  void Apply(const AdmissionChanges& changes, TimePoint now) {
    for (const RequestId id : changes.admitted) {
      StartTransfer(id, now);
    }
    m_report.refused += static_cast<int>(changes.refused.size());
  }

  void Transmit(TimePoint now) {
    double queued = 0;
    for (const auto& [id, upload] : m_transfers) {
      queued += std::min(upload.remaining_bytes, kWindowBytes);
    }
    const Duration delay = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(queued / kNarrowLinkBytesPerS));
    m_report.max_call_delay = std::max(m_report.max_call_delay, delay);
    const double step_bytes =
        kNarrowLinkBytesPerS / 1000.0 / std::max<double>(1, m_transfers.size());
    std::vector<RequestId> completed;
    for (auto& [id, upload] : m_transfers) {
      upload.remaining_bytes -= step_bytes;
      if (upload.remaining_bytes <= 0) {
        completed.push_back(id);
      }
    }
    for (const RequestId id : completed) {
      const Upload upload = m_transfers.at(id);
      m_transfers.erase(id);
      m_report.within_target += now - upload.arrived <= kTarget ? 1 : 0;
      Apply(m_queue.Release(id,
                            {.result = AttemptResult::kCompleted,
                             .latency = now - upload.admitted},
                            now),
            now);
    }
  }

  AdmissionQueue m_queue;
  RequestId m_last_id = 0;
  std::map<RequestId, TimePoint> m_arrivals;
  std::map<RequestId, Upload> m_transfers;
  LinkReport m_report;
};

/// Lets all uploads be sent concurrently, for comparison.
AdmissionOptions UnlimitedTransfers() {
  AdmissionOptions options = *BodyTransferQueueOptions(kNarrowLinkBytesPerS);
  options.announced_slots = 1000;
  return options;
}

constexpr double kOverloadUploadsPerS = 1.4 * kNarrowLinkBytesPerS / kBodyBytes;

}  // namespace

TEST_GROUP(BodyTransfers){};

TEST(BodyTransfers, WideAndUnknownLinksAreNotLimited) {
  CHECK_FALSE(BodyTransferQueueOptions(0).has_value());
  CHECK_FALSE(BodyTransferQueueOptions(kWideLinkBytesPerS).has_value());
  CHECK(BodyTransferQueueOptions(kNarrowLinkBytesPerS).has_value());
}

TEST(BodyTransfers, CallsAreNotDelayedOnAnOverloadedLink) {
  const LinkReport report =
      Link(*BodyTransferQueueOptions(kNarrowLinkBytesPerS))
          .Run(kOverloadUploadsPerS, seconds(10));
  CHECK(report.max_call_delay <= milliseconds(100));
}

TEST(BodyTransfers, AnOverloadedLinkKeepsItsThroughputWithinTheTarget) {
  const LinkReport report =
      Link(*BodyTransferQueueOptions(kNarrowLinkBytesPerS))
          .Run(kOverloadUploadsPerS, seconds(10));
  const double capacity = 10 * kNarrowLinkBytesPerS / kBodyBytes;
  CHECK(report.within_target >= 0.85 * capacity);
  CHECK(report.refused > 0);
}

// Checks that the load pattern needs the queue: with unlimited concurrent
// transfers, calls wait too long and most uploads miss their target.
TEST(BodyTransfers, WithoutTheQueueTheSameLoadIsLate) {
  const LinkReport report =
      Link(UnlimitedTransfers()).Run(kOverloadUploadsPerS, seconds(10));
  const double capacity = 10 * kNarrowLinkBytesPerS / kBodyBytes;
  CHECK(report.max_call_delay > milliseconds(500));
  CHECK(report.within_target < 0.7 * capacity);
}
