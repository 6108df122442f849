#include "banyantrail/traffic/retry_after.h"

#include <algorithm>

namespace banyantrail {
namespace {

constexpr milliseconds kMinDelay{100};
/// The spread of the delays when the caller's deadline is unknown or near.
constexpr milliseconds kMinSpread{200};

/// Time until the requests that exceed the concurrency limit have started.
Duration DrainTime(const RefusedCaller& caller) {
  if (!caller.load || !caller.service_time ||
      caller.load->in_flight <= caller.load->limit) {
    return kMinDelay;
  }
  const std::uint32_t queued = caller.load->in_flight - caller.load->limit;
  return *caller.service_time * queued / caller.load->limit;
}

}  // namespace

Duration ChooseRetryAfter(const RefusedCaller& caller, Rng& rng) {
  constexpr int kTimeLeftDivisor = 3;
  const Duration max_delay = std::max<Duration>(
      caller.time_left / kTimeLeftDivisor, kMinDelay + kMinSpread);
  const Duration min_delay =
      std::clamp<Duration>(DrainTime(caller), kMinDelay, max_delay);
  std::uniform_int_distribution<Duration::rep> delay(min_delay.count(),
                                                     max_delay.count());
  return Duration(delay(rng));
}

}  // namespace banyantrail
