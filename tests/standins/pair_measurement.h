#pragma once

#include <cstdint>
#include <string>

#include "banyantrail/core/random.h"
#include "banyantrail/net/asio.h"
#include "standins/call_client.h"
#include "standins/latency_record.h"

namespace banyantrail::standins {

/// Times of the same call, made directly and through a node in turn.
struct PairResult {
  LatencyRecord direct;
  LatencyRecord through_node;
  std::uint64_t failures = 0;
};

/// What to measure.
struct PairOptions {
  IpEndpoint direct;
  IpEndpoint node;
  std::string target;
  std::uint32_t count = 1000;
  /// Pause after each pair; 0 for none.
  microseconds pause{0};
  std::uint64_t seed = 1;
};

/// Makes pairs of calls over kept-alive connections, one call at a time and in
/// random order within each pair, so that both see the same machine.
asio::awaitable<PairResult> MeasurePairs(CallClient& client,
                                         PairOptions options);

}  // namespace banyantrail::standins
