#pragma once

#include <cstdint>
#include <optional>

#include "banyantrail/traffic/admission.h"

namespace banyantrail {

/// Bodies of at least this size are sent to the owner node only after it has
/// admitted the request, and are queued for the link of its VM.
inline constexpr std::uint64_t kLargeBodyBytes = 8U << 10U;

/// Settings of the AdmissionQueue that limits concurrent transfers of large
/// bodies to a VM.
///
/// If uploads that exceed the capacity of the link were sent concurrently, each
/// would fill its TCP window and all other traffic would queue behind them:
/// nested calls would miss their deadlines, and all uploads would be late. Only
/// as many transfers run at once as keep the queueing delay on the link within
/// `kMaxLinkDelay`. The other bodies wait at their senders, in the order of
/// the queue; requests that cannot finish in time are refused before any part
/// of their body is sent.
///
/// Empty if the link needs no limit or its bandwidth is unknown (0).
std::optional<AdmissionOptions> BodyTransferQueueOptions(
    std::uint64_t link_bytes_per_s);

}  // namespace banyantrail
