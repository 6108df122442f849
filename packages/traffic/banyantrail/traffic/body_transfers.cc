#include "banyantrail/traffic/body_transfers.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// Unacknowledged bytes that one sender keeps on the link.
constexpr std::uint64_t kWindowBytes = 64U << 10U;
/// How long a small message may wait behind bodies on the link.
constexpr milliseconds kTransferDelay{100};
/// From this many on the slots of the backend server are the narrower bound.
constexpr std::uint64_t kUnboundedTransfers = 32;
/// The deadline bounds the queue, not its length.
constexpr std::size_t kMaxWaitingPerTransfer = 64;

}  // namespace

std::optional<AdmissionOptions> BodyTransferOptions(
    std::uint64_t link_bytes_per_s) {
  constexpr std::uint64_t kMsPerSecond = 1000;
  const std::uint64_t bytes_within_delay =
      link_bytes_per_s * kTransferDelay.count() / kMsPerSecond;
  const std::uint64_t transfers =
      std::max<std::uint64_t>(bytes_within_delay / kWindowBytes, 1);
  if (link_bytes_per_s == 0 || transfers >= kUnboundedTransfers) {
    return std::nullopt;
  }
  AdmissionOptions options{
      .announced_slots = static_cast<std::uint32_t>(transfers),
      .max_queued_per_slot = kMaxWaitingPerTransfer,
      .guarantee_shares = false,
      .reserve_slots = false};
  options.limit.adaptive = false;
  return options;
}

}  // namespace banyantrail
