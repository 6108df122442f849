#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/configuration_store_options.h"
#include "banyantrail/distribution/store_configuration.h"
#include "banyantrail/distribution/task_time.h"
#include "banyantrail/distribution/watch_position.h"

namespace banyantrail {

/// Reads the configuration of a store and watches it, as far as the node has to
/// do so itself. Part of ConfigurationStoreTask, which keeps it alive while Run
/// has not ended. `store`, `options` and `rng` must outlive it.
template <ConfigurationStore Store, TaskTime Time>
class ConfigurationWatch {
 public:
  struct Hooks {
    /// Acts on a change of the store's era that any call has shown.
    std::function<void()> follow_era;
    /// The store can be read again, or can no longer.
    std::function<void(bool readable)> on_readable;
  };

  ConfigurationWatch(asio::any_io_executor executor,
                     Store& store,
                     const ConfigurationStoreTaskOptions& options,
                     Rng& rng,
                     Hooks hooks)
      : m_store(store),
        m_options(options),
        m_rng(rng),
        m_hooks(std::move(hooks)),
        m_timer(executor),
        m_configuration({.on_release = options.on_release,
                         .on_release_unreadable = options.on_release_unreadable,
                         .on_store_head = options.on_store_head,
                         .applied_revision = options.applied_revision,
                         .on_store_confirmed = options.on_store_confirmed,
                         .on_store_read = options.on_store_read,
                         .count_event = options.count_event}) {}

  void OnEraChanged() { m_position.OnEraChanged(); }

  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

  asio::awaitable<void> Run() {
    Backoff search_backoff(m_options.search_backoff);
    Backoff outage_backoff(m_options.outage_backoff);
    while (!m_stopped) {
      m_hooks.follow_era();
      const StoreDuty duty = m_options.store_duty();
      if (!IsDue(duty)) {
        // Changes are missed in the meantime, so a read precedes the next
        // watch.
        m_position.OnChangesMissed();
        co_await ReadAtStart();
        co_await SleepOn(m_timer, m_options.duty_check_interval);
        continue;
      }
      bool failed = false;
      bool found = false;
      try {
        found = co_await Perform(duty);
        OnResult(true, "");
        outage_backoff.Reset();
      } catch (const std::exception& error) {
        failed = true;
        m_position.OnChangesMissed();
        OnResult(false, error.what());
        m_options.on_store_failed();
      }
      if (failed) {
        const Duration delay = outage_backoff.Next(m_rng);
        co_await SleepOn(m_timer,
                         m_options.other_node_watches()
                             ? std::max(delay, m_options.relaxed_outage_delay)
                             : delay);
      } else if (!found) {
        co_await SleepOn(m_timer, search_backoff.Next(m_rng));
      } else {
        search_backoff.Reset();
      }
    }
  }

 private:
  asio::awaitable<void> ReadAtStart() {
    if (!m_options.reads_at_start || m_has_read_at_start) {
      co_return;
    }
    m_has_read_at_start = true;
    try {
      co_await ReadStale();
    } catch (const std::exception& error) {
      kLog.Warn("Reading the configuration at the start failed: " +
                std::string(error.what()) + ".");
    }
  }

  /// Whether the duty calls for a call to the store. A configuration that was
  /// delivered may still be on its way to being applied.
  bool IsDue(const StoreDuty& duty) const {
    switch (duty.kind) {
      case StoreDuty::Kind::kRely:
        return false;
      case StoreDuty::Kind::kCatchUp:
        return duty.revision > m_configuration.newest_known();
      case StoreDuty::Kind::kWatch:
        return true;
    }
    return true;
  }

  /// Returns false if the store has no configuration, or if the next call has
  /// to wait for another reason.
  asio::awaitable<bool> Perform(StoreDuty duty) {
    bool found = false;
    if (duty.kind == StoreDuty::Kind::kCatchUp) {
      found = co_await CatchUp();
    } else if (m_position.must_read()) {
      found = co_await Read();
    } else {
      found = co_await WatchOnce();
    }
    co_return found;
  }

  /// Reads a revision that a watching node has confirmed: first from a copy
  /// that may lag behind, at full cost only if it stays away.
  asio::awaitable<bool> CatchUp() {
    co_await ReadStale();
    if (!IsDue(m_options.store_duty())) {
      co_return true;
    }
    co_await SleepOn(m_timer, m_options.catch_up_wait);
    if (!IsDue(m_options.store_duty())) {
      co_return true;
    }
    const bool found = co_await Read();
    m_position.OnChangesMissed();
    co_return found;
  }

  asio::awaitable<void> ReadStale() {
    m_configuration.OnStaleRead(
        co_await m_store.ReadRelease(ReadConsistency::kMayBeStale));
  }

  /// Reads the whole configuration. Returns false if the store has none.
  asio::awaitable<bool> Read() {
    const BootTimePoint sent_at = Time::BootNow();
    ReleaseReadResult read;
    if (m_position.is_lost()) {
      read = co_await m_store.ListRelease();
    } else {
      read = co_await m_store.ReadRelease(ReadConsistency::kLinearizable);
    }
    m_hooks.follow_era();
    const bool found = read.release || read.unreadable;
    if (found) {
      m_position.OnRead(read.as_of);
    }
    m_configuration.OnRead(std::move(read), Time::Now());
    if (found) {
      m_configuration.ReportRead(sent_at);
    }
    m_configuration.Confirm(m_store.era());
    co_return found;
  }

  asio::awaitable<bool> WatchOnce() {
    const BootTimePoint sent_at = Time::BootNow();
    ReleaseWatchResult watch = co_await m_store.AwaitRelease(
        m_position.revision(), m_options.watch_wait);
    m_hooks.follow_era();
    if (watch.history_compacted) {
      co_return co_await ReadAfterLostHistory();
    }
    m_position.OnHistoryKept();
    if (m_position.must_read()) {
      // The store may show an older configuration at a lower revision than
      // before, and the changes since the last watch are unknown.
      co_return co_await Read();
    }
    m_position.OnWatched(watch.resume_after);
    const TimePoint now = Time::Now();
    const bool in_burst =
        watch.release &&
        now - m_configuration.delivered_at() < m_options.burst_gap;
    m_configuration.OnWatched(std::move(watch), now);
    // What the watch returned shows that the store had no other configuration
    // when the watch was sent, but not that it has none now.
    m_configuration.ReportRead(sent_at);
    m_configuration.Confirm(m_store.era());
    if (in_burst) {
      co_await ReadUntilUnchanged();
    }
    co_return true;
  }

  /// Returns false if the store lacks the changes since the read after that
  /// too, so that the next attempt has to wait.
  asio::awaitable<bool> ReadAfterLostHistory() {
    m_options.count_event("store_history_gone");
    const bool is_repeated = m_position.OnHistoryGone();
    const bool found = co_await Read();
    co_return found && !is_repeated;
  }

  /// Reads the newest configuration periodically until it stops changing.
  asio::awaitable<void> ReadUntilUnchanged() {
    Revision last_revision;
    do {
      last_revision = m_configuration.delivered();
      co_await SleepOn(m_timer, m_options.burst_read_interval);
      co_await Read();
    } while (m_configuration.delivered() != last_revision && !m_stopped);
  }

  /// Records whether the configuration could be read.
  void OnResult(bool readable, const std::string& error_message) {
    if (readable == m_readable) {
      return;
    }
    m_readable = readable;
    m_options.count_event(readable ? "store_regained" : "store_lost");
    if (readable) {
      kLog.Info("The configuration can be read from the store again.");
    } else {
      kLog.Warn("Reading the configuration from the store failed: " +
                error_message + ".");
    }
    m_hooks.on_readable(readable);
  }

  inline static const ComponentLogger kLog{"fleet"};

  Store& m_store;
  const ConfigurationStoreTaskOptions& m_options;
  Rng& m_rng;
  Hooks m_hooks;
  typename Time::Timer m_timer;
  WatchPosition m_position;
  StoreConfiguration m_configuration;
  bool m_readable = true;
  bool m_has_read_at_start = false;
  bool m_stopped = false;
};

}  // namespace banyantrail
