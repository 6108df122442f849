#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "banyantrail/core/clock.h"

namespace banyantrail {

/// Token bucket per kind of log line. Suppressed lines are counted, and the
/// count is reported with the next line of the same kind.
class LogRateLimiter {
 public:
  struct Options {
    double lines_per_second = 10;
    /// Capacity of each bucket: the number of lines that may be written at once
    /// after a period without any.
    double burst = 40;
  };

  explicit LogRateLimiter(Options options) : m_options(options) {}

  /// Returns nullopt if the line must be suppressed, otherwise the number of
  /// lines of this kind suppressed since the last one written.
  std::optional<std::uint64_t> TryAcquire(const std::string& kind,
                                          TimePoint now) {
    auto [entry, is_new] = m_buckets.try_emplace(kind);
    Bucket& bucket = entry->second;
    if (is_new) {
      bucket.tokens = m_options.burst;
    } else {
      const std::chrono::duration<double> elapsed = now - bucket.last_refill;
      bucket.tokens =
          std::min(bucket.tokens + m_options.lines_per_second * elapsed.count(),
                   m_options.burst);
    }
    bucket.last_refill = now;
    if (bucket.tokens < 1) {
      ++bucket.suppressed;
      return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.suppressed, 0);
  }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint last_refill;
    std::uint64_t suppressed = 0;
  };

  Options m_options;
  std::map<std::string, Bucket> m_buckets;
};

}  // namespace banyantrail
