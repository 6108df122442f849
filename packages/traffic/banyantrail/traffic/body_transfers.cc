#include "banyantrail/traffic/body_transfers.h"

#include <algorithm>

namespace banyantrail {
namespace {

/// Unacknowledged bytes that one transfer keeps on the link.
constexpr std::uint64_t kWindowBytes = 64U << 10U;
/// Maximum time that a small message may queue behind bodies on the link.
constexpr milliseconds kMaxLinkDelay{100};
/// Links that allow at least this many transfers are not limited: the slots of
/// the backend server are then the tighter limit.
constexpr std::uint64_t kMinUnlimitedTransfers = 32;
/// High enough that the waiting time is bounded by the deadlines, not by the
/// queue length.
constexpr std::size_t kMaxQueuedPerTransfer = 64;

}  // namespace

std::optional<AdmissionOptions> BodyTransferQueueOptions(
    std::uint64_t link_bytes_per_s) {
  constexpr std::uint64_t kMsPerSecond = 1000;
  const std::uint64_t bytes_within_delay =
      link_bytes_per_s * kMaxLinkDelay.count() / kMsPerSecond;
  const std::uint64_t transfers =
      std::max<std::uint64_t>(bytes_within_delay / kWindowBytes, 1);
  if (link_bytes_per_s == 0 || transfers >= kMinUnlimitedTransfers) {
    return std::nullopt;
  }
  AdmissionOptions options{
      .announced_slots = static_cast<std::uint32_t>(transfers),
      .max_queued_per_slot = kMaxQueuedPerTransfer,
      .guarantee_shares = false,
      .reserve_slots = false};
  options.limit.adaptive = false;
  return options;
}

}  // namespace banyantrail
