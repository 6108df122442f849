#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "banyantrail/core/random.h"
#include "banyantrail/distribution/configuration_store_options.h"
#include "banyantrail/distribution/configuration_watch.h"
#include "banyantrail/distribution/node_entry_upkeep.h"
#include "banyantrail/distribution/task_time.h"

namespace banyantrail {

/// Connects a node to a store that holds whole configurations: maintains the
/// node's entry there, finds its peers when it starts, and watches for
/// configurations.
///
/// Runs on the store's executor and keeps itself alive until its coroutines
/// have ended; `store` must outlive them.
template <ConfigurationStore Store, TaskTime Time = SystemTime>
class ConfigurationStoreTask
    : public std::enable_shared_from_this<ConfigurationStoreTask<Store, Time>> {
 public:
  ConfigurationStoreTask(asio::any_io_executor executor,
                         Store& store,
                         ConfigurationStoreTaskOptions options)
      : m_executor(executor),
        m_store(store),
        m_options(std::move(options)),
        m_rng(m_options.seed),
        m_era_changes(m_store.era_changes()),
        m_watch(
            executor,
            m_store,
            m_options,
            m_rng,
            {.follow_era = [this] { FollowEra(); },
             .on_readable =
                 [this](bool readable) { m_entry.OnStoreReadable(readable); }}),
        m_entry(executor, m_store, m_options, m_rng, [this] { FollowEra(); }) {}

  void Start() {
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->m_watch.Run(); },
        asio::detached);
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->m_entry.Run(); },
        asio::detached);
  }

  /// The own entry has changed and has to be written again.
  void OnOwnEntryChanged() { m_entry.OnChanged(); }

  /// A node that watches the store has seen it in this era. If this node has
  /// not, its entry is written again.
  void OnAnnouncedEra(std::uint64_t era) { m_entry.OnAnnouncedEra(era); }

  /// Whether the entry that the node stored before it restarted has been read.
  bool has_read_previous_entry() const { return m_entry.has_read_previous(); }

  /// Waits until the entry that the node stored before it restarted has been
  /// read, or for a limited time.
  asio::awaitable<void> AwaitPreviousEntry() { return m_entry.AwaitPrevious(); }

  /// Waits until the store holds the current own entry, or for a limited time.
  /// A departure that is acknowledged afterwards is remembered if the node is
  /// killed right after the acknowledgement. After a change of the store's era
  /// the entry is written at once.
  asio::awaitable<void> AwaitStoredEntry() { return m_entry.AwaitStored(); }

  /// After Stop, changes of the own entry are no longer stored.
  bool is_stopped() const { return m_stopped; }

  void Stop() {
    m_stopped = true;
    m_watch.Stop();
    m_entry.Stop();
  }

 private:
  /// Acts on a change of the store's era that any call has shown, also one of
  /// another task: revisions read before say nothing about the store any more,
  /// and what was written may be gone.
  void FollowEra() {
    if (m_era_changes == m_store.era_changes()) {
      return;
    }
    m_era_changes = m_store.era_changes();
    m_watch.OnEraChanged();
    m_entry.OnEraChanged();
  }

  asio::any_io_executor m_executor;
  Store& m_store;
  ConfigurationStoreTaskOptions m_options;
  Rng m_rng;
  /// The changes of the store's era that this task has acted on.
  std::uint64_t m_era_changes;
  ConfigurationWatch<Store, Time> m_watch;
  NodeEntryUpkeep<Store, Time> m_entry;
  bool m_stopped = false;
};

}  // namespace banyantrail
