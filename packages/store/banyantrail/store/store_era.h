#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyantrail {

/// Follows the era of a store by its responses. The store raises the era when
/// it comes back from an older copy, and names it in all its responses; a store
/// without eras names none, and its era is 0.
///
/// Calls run side by side, and one sent to the store of before may be answered
/// after the change. A call therefore takes a ticket when it is sent. Performs
/// no I/O, and does not throw.
class StoreEra {
 public:
  using Ticket = std::uint64_t;

  /// What a response says about the era.
  enum class Verdict {
    /// It was given in the known era.
    kCurrent,
    /// Its era is the known one from now on, in place of another: what was read
    /// before has to be read again.
    kChanged,
    /// It was given before the store came back: nothing of it may be used.
    kOutdated,
  };

  /// `count_event` counts an event of the given name in the metrics:
  /// store_era_changed, and store_era_odd for a run of responses without a
  /// valid era after one that had one.
  explicit StoreEra(std::function<void(const std::string&)> count_event =
                        [](const std::string&) {});

  /// A call is about to be sent.
  Ticket OnSent() { return ++m_sent; }

  /// A response to the call of `ticket` arrived. `header` is the text in which
  /// it names its era, if it does.
  Verdict OnResponse(Ticket ticket, std::optional<std::string_view> header);

  /// The known era; 0 until a response has named one.
  std::uint64_t known() const { return m_known.value_or(0); }

  /// Number of changes of the era. The first era learned is not one.
  std::uint64_t changes() const { return m_changes; }

 private:
  Verdict OnOddResponse(std::optional<std::string_view> header);
  Verdict OnOtherEra(Ticket ticket, std::uint64_t era);
  void Learn(std::uint64_t era);

  std::function<void(const std::string&)> m_count_event;
  Ticket m_sent = 0;
  std::optional<std::uint64_t> m_known;
  /// The last call that was sent before the known era was learned.
  Ticket m_learned_after = 0;
  std::uint64_t m_changes = 0;
  /// Whether the last response named no valid era after one that did.
  bool m_in_odd_run = false;
};

}  // namespace banyantrail
