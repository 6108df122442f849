#include "banyantrail/traffic/rollout_counter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "banyantrail/core/digest.h"

namespace banyantrail {

ResponseClass ClassOf(const VersionResponse& response) {
  constexpr double kFirstClassMs = 0.5;
  constexpr double kClassesPerOctave = 2;
  constexpr double kWarmUpOctaves = 1;
  const double ms =
      std::chrono::duration<double, std::milli>(response.latency).count();
  const double octaves =
      std::log2(std::max(ms, kFirstClassMs) / kFirstClassMs) -
      (response.is_warming_up ? kWarmUpOctaves : 0);
  const double latency_class =
      std::clamp(octaves * kClassesPerOctave, 0.0,
                 static_cast<double>(ResponseClass::kLatencyClasses - 1));
  return {.route = static_cast<std::uint16_t>(Hash64(response.rule.str())),
          .is_target_version = response.is_target_version,
          .failed = response.failed,
          .latency = static_cast<std::uint8_t>(latency_class)};
}

RolloutCounter::InFlight::InFlight(RolloutCounter* counter,
                                   const ServiceName& service,
                                   const std::string& version)
    : m_counter(counter) {
  if (m_counter != nullptr) {
    m_key = {service, version};
    ++m_counter->m_in_flight[m_key];
  }
}

RolloutCounter::InFlight::~InFlight() {
  if (m_counter == nullptr) {
    return;
  }
  const auto found = m_counter->m_in_flight.find(m_key);
  if (--found->second == 0) {
    m_counter->m_in_flight.erase(found);
  }
}

void RolloutCounter::Record(const VersionResponse& response) {
  ++m_counts[response.service][ToNumber(ClassOf(response))];
}

std::uint32_t RolloutCounter::OthersInFlight(const ServiceName& service,
                                             const std::string& version) const {
  std::uint32_t others = 0;
  for (const auto& [key, count] : m_in_flight) {
    others += key.first == service && key.second != version ? count : 0;
  }
  return others;
}

}  // namespace banyantrail
