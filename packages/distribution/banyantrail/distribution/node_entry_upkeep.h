#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/configuration_store_options.h"
#include "banyantrail/distribution/entry_schedule.h"
#include "banyantrail/distribution/task_time.h"

namespace banyantrail {

/// Maintains a node's own entry in the store, and finds its peers there when it
/// starts. Part of ConfigurationStoreTask, which keeps it alive while Run has
/// not ended. `store`, `options` and `rng` must outlive it.
template <ConfigurationStore Store, TaskTime Time>
class NodeEntryUpkeep {
 public:
  /// `follow_era` acts on a change of the store's era that any call has shown.
  NodeEntryUpkeep(asio::any_io_executor executor,
                  Store& store,
                  const ConfigurationStoreTaskOptions& options,
                  Rng& rng,
                  std::function<void()> follow_era)
      : m_executor(executor),
        m_store(store),
        m_options(options),
        m_rng(rng),
        m_follow_era(std::move(follow_era)),
        m_schedule({.check_interval = options.entry_check_interval,
                    .rewrite_spread = options.entry_check_spread}),
        m_timer(executor) {}

  /// The entry has changed and has to be written again.
  void OnChanged() { m_timer.cancel(); }

  /// The store can be read again after an outage, or can no longer. It may have
  /// lost the entry.
  void OnStoreReadable(bool readable) {
    m_schedule.ExpireCheck();
    if (readable) {
      m_timer.cancel();
    }
  }

  void OnEraChanged() {
    if (m_schedule.OnEraChanged(m_store.era_changes(), m_rng, Time::Now())) {
      m_timer.cancel();
    }
  }

  /// A node that watches the store has seen it in this era.
  void OnAnnouncedEra(std::uint64_t era) {
    if (era > m_store.era() &&
        m_schedule.OnAnnouncedEra(era, m_rng, Time::Now())) {
      m_timer.cancel();
    }
  }

  bool has_read_previous() const { return m_schedule.has_read_previous(); }

  asio::awaitable<void> AwaitPrevious() {
    co_await PollUntil([this] { return has_read_previous(); },
                       m_options.previous_entry_wait);
  }

  asio::awaitable<void> AwaitStored() {
    m_follow_era();
    if (m_schedule.HastenRewrite(Time::Now())) {
      m_timer.cancel();
    }
    co_await PollUntil([this] { return IsStored(); },
                       m_options.stored_entry_wait);
  }

  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

  asio::awaitable<void> Run() {
    Backoff retry_backoff(m_options.entry_backoff);
    while (!m_stopped) {
      try {
        co_await Update();
        if (!m_options.has_joined()) {
          co_await FindPeers();
        }
      } catch (const std::exception& error) {
        m_options.count_event("entry_failed");
        kLog.Warn("Maintaining the node's entry in the store failed: " +
                  std::string(error.what()) + ".");
      }
      m_follow_era();
      co_await SleepOn(m_timer, NextDelay(retry_backoff));
    }
  }

 private:
  bool IsStored() const {
    return m_schedule.IsStored(m_options.own_entry(), m_store.era_changes());
  }

  Duration NextDelay(Backoff& retry_backoff) {
    const TimePoint now = Time::Now();
    Duration delay = retry_backoff.Next(m_rng);
    if (m_schedule.MustWrite(m_options.own_entry(), now)) {
      return delay;
    }
    if (m_options.has_joined()) {
      retry_backoff.Reset();
      delay = m_options.entry_check_interval;
    } else if (m_found_peers) {
      delay = m_options.peer_search_interval;
    }
    const std::optional<TimePoint> rewrite_at = m_schedule.rewrite_at();
    return rewrite_at ? std::min<Duration>(delay, *rewrite_at - now) : delay;
  }

  /// Brings the entry in the store up to date.
  asio::awaitable<void> Update() {
    if (!has_read_previous()) {
      co_await Create();
    } else if (IsStored() && m_schedule.TakeCheck(Time::Now())) {
      const bool is_stored = co_await m_store.HasNode(m_options.node);
      if (!is_stored) {
        m_schedule.OnMissing();
      }
    }
    const NodeEntry own = m_options.own_entry();
    if (m_schedule.MustWrite(own, Time::Now())) {
      co_await m_store.WriteNode(own);
      OnStored(own);
      m_options.count_event("entry_written");
    }
  }

  /// Creates the entry, or reads the one that the node stored before it
  /// restarted.
  asio::awaitable<void> Create() {
    const NodeEntry own = m_options.own_entry();
    const std::optional<NodeEntry> previous = co_await m_store.CreateNode(own);
    OnStored(previous.value_or(own));
    if (previous) {
      m_options.on_previous_entry(*previous);
    } else {
      m_options.count_event("entry_written");
    }
    m_schedule.OnPreviousRead();
  }

  void OnStored(NodeEntry entry) {
    m_schedule.OnStored(std::move(entry), m_store.era(), m_store.era_changes(),
                        Time::Now());
  }

  asio::awaitable<void> FindPeers() {
    /// Other nodes that start at the same time are not in a stale list yet.
    constexpr std::uint32_t kStaleSearchesPerFreshOne = 4;
    const bool may_be_stale = m_searches++ % (kStaleSearchesPerFreshOne + 1) !=
                              kStaleSearchesPerFreshOne;
    const std::vector<NodeEntry> entries = co_await m_store.ListNodes(
        may_be_stale ? ReadConsistency::kMayBeStale
                     : ReadConsistency::kLinearizable);
    std::vector<IpEndpoint> peers;
    for (const NodeEntry& entry : entries) {
      if (entry.node != m_options.node) {
        peers.push_back(entry.peer_address);
      }
    }
    m_found_peers = !peers.empty();
    m_options.on_peers(std::move(peers));
  }

  template <typename Condition>
  asio::awaitable<void> PollUntil(Condition is_met, Duration max_wait) {
    constexpr Duration kPollInterval = milliseconds(10);
    const TimePoint deadline = Time::Now() + max_wait;
    typename Time::Timer timer(m_executor);
    while (!is_met() && !m_stopped && Time::Now() < deadline) {
      co_await SleepOn(timer, kPollInterval);
    }
  }

  inline static const ComponentLogger kLog{"fleet"};

  asio::any_io_executor m_executor;
  Store& m_store;
  const ConfigurationStoreTaskOptions& m_options;
  Rng& m_rng;
  std::function<void()> m_follow_era;
  EntrySchedule m_schedule;
  typename Time::Timer m_timer;
  /// Number of searches for peers in the store.
  std::uint32_t m_searches = 0;
  bool m_found_peers = false;
  bool m_stopped = false;
};

}  // namespace banyantrail
