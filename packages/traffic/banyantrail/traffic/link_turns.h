#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "banyantrail/core/clock.h"
#include "banyantrail/traffic/team_queue.h"

namespace banyantrail {

/// Responses whose body is not larger are sent without a turn.
inline constexpr std::uint64_t kLargeResponseBytes = 16U << 10U;

/// A part of a response body that waits for its turn on the link.
struct LinkSlice {
  RequestId response = 0;
  /// When the request was admitted.
  TimePoint admitted_at;
  std::uint64_t bytes = 0;
  /// The response of a nested call goes before those of other requests.
  bool is_nested_call = false;

  friend bool operator==(const LinkSlice&, const LinkSlice&) = default;
};

/// Decides which large response may use a low-bandwidth link next.
///
/// Large responses that are sent concurrently all fill their TCP windows, and
/// everything else queues behind them. Here one slice is handed to the link at
/// a time, and the next one when the link has carried it. A turn ends with the
/// link time of its slice, whether or not the reader has taken the bytes; a
/// response asks for another one only when its last slice has been written.
class LinkTurns {
 public:
  struct Options {
    /// Must not be 0.
    std::uint64_t bytes_per_s = 1;
    /// Link time of a slice: how long a small response waits behind one.
    Duration slice = milliseconds(20);
  };

  explicit LinkTurns(Options options) : m_options(options) {}

  /// Largest number of bytes of a slice.
  std::size_t slice_bytes() const;

  /// Accounts for bytes that are sent without a turn.
  void Book(std::uint64_t bytes, TimePoint now);

  /// Asks for a turn. A response asks for one at a time.
  void Wait(const LinkSlice& slice);
  /// Withdraws the slice of a response, if one waits.
  void Cancel(RequestId response);

  /// The response that may send its slice now. Empty if none waits or the link
  /// is in use until NextWakeup.
  std::optional<RequestId> Grant(TimePoint now);
  /// When Grant must be called next; empty if no slice waits.
  std::optional<TimePoint> NextWakeup() const;

 private:
  /// Slices of nested calls sort first, then those admitted first.
  using Key = std::tuple<bool, TimePoint, RequestId>;
  static Key KeyOf(const LinkSlice& slice) {
    return {!slice.is_nested_call, slice.admitted_at, slice.response};
  }

  Options m_options;
  std::map<Key, LinkSlice> m_waiting;
  std::unordered_map<RequestId, Key> m_keys;
  /// When the link will have carried what was handed to it.
  TimePoint m_free_at;
};

/// Options for a link; empty if it needs no turns or its bandwidth is unknown
/// (0). The same links are limited as for request bodies.
std::optional<LinkTurns::Options> LinkTurnOptions(
    std::uint64_t link_bytes_per_s);

}  // namespace banyantrail
