#include "banyantrail/traffic/link_turns.h"

#include <algorithm>

#include "banyantrail/traffic/body_transfers.h"

namespace banyantrail {
namespace {

/// Link time that small responses may book ahead. It bounds the time for which
/// they can keep all large responses waiting.
constexpr milliseconds kMaxBooked{100};
/// Idle link time that is made up for. Timers fire late on a busy VM.
constexpr milliseconds kMaxCatchUp{10};

Duration LinkTime(std::uint64_t bytes, std::uint64_t bytes_per_s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / static_cast<double>(bytes_per_s)));
}

}  // namespace

std::size_t LinkTurns::slice_bytes() const {
  const double bytes = std::chrono::duration<double>(m_options.slice).count() *
                       static_cast<double>(m_options.bytes_per_s);
  return std::max<std::size_t>(static_cast<std::size_t>(bytes), 1);
}

void LinkTurns::Book(std::uint64_t bytes, TimePoint now) {
  const TimePoint earliest = now - kMaxCatchUp;
  m_free_at = std::min<TimePoint>(
      std::max(m_free_at, earliest) + LinkTime(bytes, m_options.bytes_per_s),
      now + kMaxBooked);
}

void LinkTurns::Wait(const LinkSlice& slice) {
  m_keys[slice.response] = KeyOf(slice);
  m_waiting[KeyOf(slice)] = slice;
}

void LinkTurns::Cancel(RequestId response) {
  const auto found = m_keys.find(response);
  if (found != m_keys.end()) {
    m_waiting.erase(found->second);
    m_keys.erase(found);
  }
}

std::optional<RequestId> LinkTurns::Grant(TimePoint now) {
  if (m_waiting.empty() || now < m_free_at) {
    return std::nullopt;
  }
  const LinkSlice slice = m_waiting.begin()->second;
  Cancel(slice.response);
  Book(slice.bytes, now);
  return slice.response;
}

std::optional<TimePoint> LinkTurns::NextWakeup() const {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  return m_free_at;
}

std::optional<LinkTurns::Options> LinkTurnOptions(
    std::uint64_t link_bytes_per_s) {
  if (!BodyTransferQueueOptions(link_bytes_per_s)) {
    return std::nullopt;
  }
  return LinkTurns::Options{.bytes_per_s = link_bytes_per_s};
}

}  // namespace banyantrail
