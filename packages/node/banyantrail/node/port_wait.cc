#include "banyantrail/node/port_wait.h"

#include <algorithm>

#include "banyantrail/core/logging.h"
#include "banyantrail/net/tcp_listener.h"
#include "banyantrail/node/held_signals.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("node");

constexpr milliseconds kPollInterval{100};

/// Time between two log lines about a port.
constexpr Duration kLogInterval = seconds(5);

}  // namespace

bool AwaitFreePorts(const std::vector<IpEndpoint>& endpoints) {
  TimePoint next_log{};
  while (true) {
    const auto used = std::ranges::find_if(endpoints, IsPortInUse);
    if (used == endpoints.end()) {
      return true;
    }
    if (SystemClock().Now() >= next_log) {
      kLog.Warn("Waiting for " + ToString(*used) +
                ", which another socket uses. Keep the ports of a node out of "
                "the range for outgoing connections.");
      next_log = SystemClock().Now() + kLogInterval;
    }
    if (AwaitStopSignal(kPollInterval)) {
      return false;
    }
  }
}

}  // namespace banyantrail
