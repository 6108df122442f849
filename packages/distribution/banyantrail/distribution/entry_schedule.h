#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/configuration_store.h"

namespace banyantrail {

/// When a node writes its own entry to the store, and when it checks that the
/// store still has it. What was stored in an earlier era of the store may be
/// gone, or be an older entry again.
///
/// Performs no I/O; time and randomness are parameters.
class EntrySchedule {
 public:
  struct Options {
    /// How often the entry is checked once it is written.
    Duration check_interval = seconds(60);
    /// After a change of the store's era, the entry is written again at a
    /// random moment within this time, so that the nodes of a fleet do not all
    /// call the store at once.
    milliseconds rewrite_spread{1500};
  };

  explicit EntrySchedule(Options options) : m_options(options) {}

  /// Whether the entry that the node stored before it restarted has been read.
  bool has_read_previous() const { return m_has_read_previous; }
  void OnPreviousRead() { m_has_read_previous = true; }

  /// The store has answered in this era that it holds `entry`. `era_changes`
  /// counts the changes of the era that any call has shown. The first response
  /// after another node has announced a later era may be from before it.
  void OnStored(NodeEntry entry,
                std::uint64_t era,
                std::uint64_t era_changes,
                TimePoint now) {
    m_stored = std::move(entry);
    m_stored_era_changes = era_changes;
    m_checked_at = now;
    const bool may_be_early =
        std::exchange(m_awaits_announced_era, false) && era < m_announced_era;
    if (!may_be_early) {
      m_rewrite_at.reset();
    }
  }

  /// The store has answered that it holds no entry.
  void OnMissing() { m_stored.reset(); }

  /// Whether the store holds `own`, as far as known.
  bool IsStored(const NodeEntry& own, std::uint64_t era_changes) const {
    return m_stored == own && !m_rewrite_at &&
           m_stored_era_changes == era_changes;
  }

  bool MustWrite(const NodeEntry& own, TimePoint now) const {
    return m_stored != own || IsRewriteDue(now);
  }

  /// Whether to check now that the store still has the entry.
  bool TakeCheck(TimePoint now) {
    if (now < m_checked_at + m_options.check_interval) {
      return false;
    }
    m_checked_at = now;
    return true;
  }
  /// The store may have lost the entry: the next check is due.
  void ExpireCheck() { m_checked_at = TimePoint{}; }

  /// The store is in another era. Returns whether the entry has to be written
  /// again, at a moment that is chosen now; one that was never written is
  /// written anyway.
  bool OnEraChanged(std::uint64_t era_changes, Rng& rng, TimePoint now) {
    return m_stored_era_changes != era_changes && ScheduleRewrite(rng, now);
  }

  /// A node that watches the store has seen it in a later era than this one.
  bool OnAnnouncedEra(std::uint64_t era, Rng& rng, TimePoint now) {
    if (!m_has_read_previous || era == m_announced_era) {
      return false;
    }
    m_announced_era = era;
    m_awaits_announced_era = true;
    return ScheduleRewrite(rng, now);
  }

  /// Somebody waits for the entry. Returns whether it is to be written again.
  bool HastenRewrite(TimePoint now) {
    if (m_rewrite_at) {
      m_rewrite_at = now;
    }
    return m_rewrite_at.has_value();
  }

  bool IsRewriteDue(TimePoint now) const {
    return m_rewrite_at && now >= *m_rewrite_at;
  }
  std::optional<TimePoint> rewrite_at() const { return m_rewrite_at; }

 private:
  /// A rewrite that is overdue has failed, and the next attempt may be far off:
  /// a moment is chosen for it again.
  bool ScheduleRewrite(Rng& rng, TimePoint now) {
    const bool is_ahead = m_rewrite_at && now < *m_rewrite_at;
    if (is_ahead || !m_has_read_previous) {
      return false;
    }
    const auto spread =
        static_cast<std::size_t>(m_options.rewrite_spread.count());
    m_rewrite_at = now + milliseconds(UniformIndex(rng, spread + 1));
    return true;
  }

  Options m_options;
  /// The entry that the store holds for this node, as far as known.
  std::optional<NodeEntry> m_stored;
  /// The changes of the store's era that preceded the last write.
  std::uint64_t m_stored_era_changes = 0;
  TimePoint m_checked_at{};
  /// When the entry has to be written again after a change of era.
  std::optional<TimePoint> m_rewrite_at;
  /// The last era that a watching node named and this one had not seen.
  std::uint64_t m_announced_era = 0;
  /// No response to a write has come since that.
  bool m_awaits_announced_era = false;
  bool m_has_read_previous = false;
};

}  // namespace banyantrail
