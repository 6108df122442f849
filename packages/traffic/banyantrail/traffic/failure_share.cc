#include "banyantrail/traffic/failure_share.h"

#include <cmath>

namespace banyantrail {
namespace {

/// Short, so that a backend server that has recovered is used again soon.
constexpr seconds kHalfLife{2};
constexpr double kMinRequests = 5;

}  // namespace

void FailureShare::Record(bool failed, TimePoint now) {
  const double decay = DecayFactor(now - m_counted_at);
  m_requests = m_requests * decay + 1;
  m_failures = m_failures * decay + (failed ? 1 : 0);
  m_counted_at = now;
}

std::optional<double> FailureShare::Value(TimePoint now) const {
  if (m_requests * DecayFactor(now - m_counted_at) < kMinRequests) {
    return std::nullopt;
  }
  return m_failures / m_requests;
}

double FailureShare::DecayFactor(Duration age) {
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(kHalfLife));
}

}  // namespace banyantrail
