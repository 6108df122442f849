#pragma once

#include <cstdint>
#include <optional>

#include "banyantrail/traffic/admission.h"

namespace banyantrail {

/// Bodies from this size on are sent to the owner node only after it has
/// admitted them, and wait for their turn on its link.
inline constexpr std::uint64_t kLargeBodyBytes = 8U << 10U;

/// Settings of the queue in which large bodies wait for the link of a VM.
///
/// It answers uploads that arrive faster than a narrow link carries them. Sent
/// side by side, each fills its window, and whatever else crosses the link
/// waits behind all of them: calls of running requests miss their deadline, and
/// the uploads themselves are late together. So only as many cross at once as
/// the link carries within `kTransferDelay`; the others wait at their senders,
/// in the order of AdmissionQueue, and those that cannot be served in time are
/// refused before any of the body was sent.
///
/// Empty for a link that is wide enough for any number, or of unknown width
/// (0).
std::optional<AdmissionOptions> BodyTransferOptions(
    std::uint64_t link_bytes_per_s);

}  // namespace banyantrail
