#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "banyantrail/core/clock.h"

namespace banyantrail::standins {

/// Latency samples. All of them are stored, so that percentiles are exact.
class LatencyRecord {
 public:
  void Add(Duration latency) {
    m_latencies_us.push_back(
        std::chrono::duration<double, std::micro>(latency).count());
  }

  std::size_t count() const { return m_latencies_us.size(); }

  /// The percentile of `share` in (0, 1] by the nearest-rank method, in
  /// microseconds; 0 without samples.
  double Percentile(double share) const {
    if (m_latencies_us.empty()) {
      return 0;
    }
    std::vector<double> sorted = m_latencies_us;
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const std::size_t index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
  }

 private:
  std::vector<double> m_latencies_us;
};

}  // namespace banyantrail::standins
