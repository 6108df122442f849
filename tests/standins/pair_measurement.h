#pragma once

#include <cstdint>
#include <string>

#include "banyantrail/core/random.h"
#include "banyantrail/net/asio.h"
#include "standins/call_client.h"
#include "standins/latency_record.h"

namespace banyantrail::standins {

/// Latencies of the same call, made directly to a backend server and through a
/// node.
struct PairResult {
  LatencyRecord direct;
  LatencyRecord through_node;
  std::uint64_t failures = 0;
};

struct PairOptions {
  IpEndpoint direct;
  IpEndpoint node;
  std::string target;
  std::uint32_t count = 1000;
  /// Pause after each pair.
  microseconds pause{0};
  std::uint64_t seed = 1;
};

/// Makes pairs of calls over keep-alive connections, one call at a time. The
/// order within a pair is random, so that changes in the load of the VM affect
/// both sides alike.
asio::awaitable<PairResult> MeasurePairs(CallClient& client,
                                         PairOptions options);

}  // namespace banyantrail::standins
