#include "standins/pair_measurement.h"

#include <array>
#include <utility>

namespace banyantrail::standins {
namespace {

/// Pairs that are not recorded, so that connections are open and caches are
/// warm.
constexpr std::uint32_t kWarmUpPairs = 50;
constexpr milliseconds kTimeout{5000};

}  // namespace

asio::awaitable<PairResult> MeasurePairs(CallClient& client,
                                         PairOptions options) {
  PairResult result;
  Rng rng(options.seed);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const std::array<IpEndpoint, 2> servers = {options.direct, options.node};
  const std::array<LatencyRecord*, 2> records = {&result.direct,
                                                 &result.through_node};
  for (std::uint32_t pair = 0; pair < options.count + kWarmUpPairs; ++pair) {
    const std::size_t first = UniformIndex(rng, 2);
    for (const std::size_t side : {first, 1 - first}) {
      const TimePoint start = SystemClock().Now();
      const Call call{.method = "GET", .target = options.target};
      const CallResult call_result =
          co_await client.Exchange(servers[side], call, kTimeout);
      const Duration latency = SystemClock().Now() - start;
      const bool ok = call_result.status == CallStatus::kCompleted &&
                      call_result.response.result() == http::status::ok;
      if (!ok) {
        ++result.failures;
      } else if (pair >= kWarmUpPairs) {
        records[side]->Add(latency);
      }
    }
    if (options.pause.count() > 0) {
      timer.expires_after(options.pause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  co_return result;
}

}  // namespace banyantrail::standins
