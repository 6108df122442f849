#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/boot_clock.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/configuration_store.h"
#include "banyantrail/distribution/release_store.h"
#include "banyantrail/distribution/store_follower.h"

namespace banyantrail {

struct ConfigurationStoreTaskOptions {
  NodeId node;
  /// Whether the store already had a configuration before this node started.
  /// Then the node reads it at once, without the assurance that it is the
  /// newest one, to serve what it can until a watching node confirms that.
  bool reads_at_start = false;
  /// Returns the entry that the store should hold for this node.
  std::function<NodeEntry()> own_entry;
  /// Receives the entry that the node stored before it restarted, if any,
  /// before the first write.
  std::function<void(const NodeEntry&)> on_previous_entry =
      [](const NodeEntry&) {};
  std::uint64_t seed = 0;
  /// Maximum duration of one watch for a configuration. A store that recovers
  /// from an outage may never respond to watches started before it, so this
  /// limits how long a node misses changes after the recovery. Other nodes rely
  /// on a watcher for only slightly longer, see
  /// StoreFollower::Options::max_age.
  milliseconds watch_wait{1000};
  /// How often a node that relies on another node's watch calls store_duty.
  Duration duty_check_interval = milliseconds(100);
  /// How long a node that catches up waits for the store to give the missing
  /// revision to a read that may be stale, before it reads it at full cost.
  Duration catch_up_wait = milliseconds(300);
  /// Changes less than this apart form a burst. A watch would return each of
  /// them as a whole configuration, so during a burst the node reads only the
  /// newest one, every burst_read_interval.
  Duration burst_gap = milliseconds(700);
  Duration burst_read_interval = milliseconds(300);
  /// Delay between two attempts to find the first configuration or peers.
  BackoffOptions search_backoff{.initial = milliseconds(150),
                                .max = seconds(1)};
  /// Delay between two calls to a store that does not respond. The maximum
  /// leaves time to read a change within the propagation time limit once the
  /// store responds again.
  BackoffOptions outage_backoff{.initial = milliseconds(100),
                                .max = milliseconds(700)};
  /// The same while other_node_watches returns true.
  Duration relaxed_outage_delay = seconds(2);
  /// Delay between two searches for peers if the first one found some, which
  /// may all be starting.
  Duration peer_search_interval = seconds(2);
  /// Delay between two attempts to write the own entry.
  BackoffOptions entry_backoff{.initial = milliseconds(150), .max = seconds(2)};
  /// How long AwaitPreviousEntry and AwaitStoredEntry wait for a store that
  /// does not respond. Together below the time in which the sender of an
  /// announcement expects its acknowledgement.
  Duration previous_entry_wait = milliseconds(400);
  Duration stored_entry_wait = milliseconds(500);
  /// How often the own entry is checked once it is written and peers are found.
  Duration entry_check_interval = seconds(60);
  /// After a change of the store's era, the own entry is written again at a
  /// random moment within this time, so that the nodes of a fleet do not all
  /// call the store at once.
  milliseconds entry_check_spread{1500};

  std::function<void(std::shared_ptr<const Release>)> on_release;
  /// The store's newest configuration cannot be read.
  std::function<void(const UnreadableRelease&)> on_release_unreadable =
      [](const UnreadableRelease&) {};
  /// Receives the revision that the store shows as its newest, which may be
  /// older than one before.
  std::function<void(Revision)> on_store_head;
  /// The revision that the node has applied, which peers may have sent.
  std::function<Revision()> applied_revision = [] { return Revision{}; };
  /// Receives the revision that the store has just reported as its newest, and
  /// the size in bytes of the difference from the one before, and the store's
  /// era.
  std::function<void(Revision, std::size_t, std::uint64_t)> on_store_confirmed =
      [](Revision, std::size_t, std::uint64_t) {};
  /// Receives the newest revision in the store, and when the linearizable read
  /// or the watch that returned it was sent: at that moment it was the newest
  /// one, or older than this one. See KeyLease.
  std::function<void(Revision, BootTimePoint)> on_store_read =
      [](Revision, BootTimePoint) {};
  /// A call to read the configuration failed.
  std::function<void()> on_store_failed = [] {};
  /// What this node has to do itself, see StoreFollower.
  std::function<StoreDuty()> store_duty = [] {
    return StoreDuty{.kind = StoreDuty::Kind::kWatch};
  };
  /// Whether another node watches the store for this one, or tries to.
  std::function<bool()> other_node_watches = [] { return false; };
  std::function<void(std::vector<IpEndpoint>)> on_peers;
  /// Whether the node has joined its peers.
  std::function<bool()> has_joined;
  /// Counts an event of the given name in the metrics.
  std::function<void(const std::string&)> count_event = [](const std::string&) {
  };
};

/// Connects a node to a store that holds whole configurations: maintains the
/// node's entry there, finds its peers when it starts, and watches for
/// configurations.
///
/// Runs on the store's executor and keeps itself alive until its coroutines
/// have ended; `store` must outlive them.
template <ConfigurationStore Store>
class ConfigurationStoreTask
    : public std::enable_shared_from_this<ConfigurationStoreTask<Store>> {
 public:
  ConfigurationStoreTask(asio::any_io_executor executor,
                         Store& store,
                         ConfigurationStoreTaskOptions options)
      : m_executor(std::move(executor)),
        m_store(store),
        m_options(std::move(options)),
        m_rng(m_options.seed),
        m_era_changes(m_store.era_changes()),
        m_watch_timer(m_executor),
        m_entry_timer(m_executor) {}

  void Start() {
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->WatchReleases(); },
        asio::detached);
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->MaintainEntry(); },
        asio::detached);
  }

  /// The own entry has changed and has to be written again.
  void OnOwnEntryChanged() { m_entry_timer.cancel(); }

  /// A node that watches the store has seen it in this era. If this node has
  /// not, its entry is checked.
  void OnAnnouncedEra(std::uint64_t era) {
    if (!m_has_read_previous_entry || era <= m_store.era() ||
        era == m_announced_era) {
      return;
    }
    m_announced_era = era;
    ScheduleEntryCheck();
  }

  /// Whether the entry that the node stored before it restarted has been read.
  bool has_read_previous_entry() const { return m_has_read_previous_entry; }

  /// Waits until the entry that the node stored before it restarted has been
  /// read, or for a limited time.
  asio::awaitable<void> AwaitPreviousEntry() {
    co_await PollUntil([this] { return m_has_read_previous_entry; },
                       m_options.previous_entry_wait);
  }

  /// Waits until the store holds the current own entry, or for a limited time.
  /// A departure that is acknowledged afterwards is remembered if the node is
  /// killed right after the acknowledgement. After a change of the store's era
  /// the entry is written at once.
  asio::awaitable<void> AwaitStoredEntry() {
    FollowEra();
    if (m_entry_check_at) {
      m_entry_check_at = SystemClock().Now();
      m_entry_timer.cancel();
    }
    co_await PollUntil([this] { return IsEntryStored(); },
                       m_options.stored_entry_wait);
  }

  /// After Stop, changes of the own entry are no longer stored.
  bool is_stopped() const { return m_stopped; }

  void Stop() {
    m_stopped = true;
    m_watch_timer.cancel();
    m_entry_timer.cancel();
  }

 private:
  asio::awaitable<void> WatchReleases() {
    Backoff search_backoff(m_options.search_backoff);
    Backoff outage_backoff(m_options.outage_backoff);
    while (!m_stopped) {
      FollowEra();
      const StoreDuty duty = m_options.store_duty();
      if (!IsDue(duty)) {
        // Changes are missed in the meantime, so a read precedes the next
        // watch.
        m_must_read_configuration = true;
        co_await ReadAtStart();
        co_await Sleep(m_watch_timer, m_options.duty_check_interval);
        continue;
      }
      bool failed = false;
      bool found = false;
      try {
        found = co_await Perform(duty);
        OnStoreReadResult(true, "");
        outage_backoff.Reset();
      } catch (const std::exception& error) {
        failed = true;
        m_must_read_configuration = true;
        OnStoreReadResult(false, error.what());
        m_options.on_store_failed();
      }
      if (failed) {
        const Duration delay = outage_backoff.Next(m_rng);
        co_await Sleep(m_watch_timer,
                       m_options.other_node_watches()
                           ? std::max(delay, m_options.relaxed_outage_delay)
                           : delay);
      } else if (!found) {
        co_await Sleep(m_watch_timer, search_backoff.Next(m_rng));
      } else {
        search_backoff.Reset();
      }
    }
  }

  /// Acts on a change of the store's era that any call has shown, also one of
  /// another task: revisions read before say nothing about the store any more,
  /// and what was written may be gone.
  void FollowEra() {
    if (m_era_changes == m_store.era_changes()) {
      return;
    }
    m_era_changes = m_store.era_changes();
    m_must_read_configuration = true;
    m_position_is_lost = true;
    m_watch_revision = {};
    if (m_entry_era_changes != m_era_changes) {
      ScheduleEntryCheck();
    }
  }

  asio::awaitable<void> ReadAtStart() {
    if (!m_options.reads_at_start || m_has_read_at_start) {
      co_return;
    }
    m_has_read_at_start = true;
    try {
      co_await ReadStaleConfiguration();
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
        return duty.revision >
               std::max(delivered_revision(), m_unreadable_revision);
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
    } else if (m_must_read_configuration) {
      found = co_await ReadConfiguration();
    } else {
      found = co_await WatchOnce();
    }
    co_return found;
  }

  /// Reads a revision that a watching node has confirmed: first from a copy
  /// that may lag behind, at full cost only if it stays away.
  asio::awaitable<bool> CatchUp() {
    co_await ReadStaleConfiguration();
    if (!IsDue(m_options.store_duty())) {
      co_return true;
    }
    co_await Sleep(m_watch_timer, m_options.catch_up_wait);
    if (!IsDue(m_options.store_duty())) {
      co_return true;
    }
    const bool found = co_await ReadConfiguration();
    m_must_read_configuration = true;
    co_return found;
  }

  asio::awaitable<void> ReadStaleConfiguration() {
    ReleaseReadResult read =
        co_await m_store.ReadRelease(ReadConsistency::kMayBeStale);
    if (read.unreadable &&
        WithVersion(read.unreadable->revision) > newest_known()) {
      OnUnreadable(*read.unreadable);
    }
    if (read.release && read.release->revision > delivered_revision()) {
      m_delivered = std::make_shared<const Release>(std::move(*read.release));
      m_options.on_release(m_delivered);
    }
  }

  /// Reads the whole configuration. Returns false if the store has none.
  asio::awaitable<bool> ReadConfiguration() {
    const BootTimePoint sent_at = BootClock::Now();
    ReleaseReadResult read;
    if (m_position_is_lost) {
      read = co_await m_store.ListRelease();
    } else {
      read = co_await m_store.ReadRelease(ReadConsistency::kLinearizable);
    }
    FollowEra();
    const bool found = read.release || read.unreadable;
    if (found) {
      m_must_read_configuration = false;
      m_position_is_lost = false;
      TakePosition(read.as_of);
    }
    if (read.unreadable) {
      OnUnreadable(*read.unreadable);
    } else if (read.release) {
      Deliver(std::move(*read.release));
    } else {
      OnShown({});
    }
    if (found) {
      ReportRead(sent_at);
    }
    NotifyConfirmed();
    co_return found;
  }

  /// Watches on from what was read. A read within an era may name no more than
  /// the revision of the configuration, which does not move the watch back.
  void TakePosition(StoreRevision as_of) {
    m_watch_revision = as_of.era == m_watch_revision.era
                           ? std::max(m_watch_revision, as_of)
                           : as_of;
  }

  asio::awaitable<bool> WatchOnce() {
    const BootTimePoint sent_at = BootClock::Now();
    ReleaseWatchResult watch =
        co_await m_store.AwaitRelease(m_watch_revision, m_options.watch_wait);
    FollowEra();
    if (watch.history_compacted) {
      co_return co_await ReadAfterLostHistory();
    }
    m_history_is_lost = false;
    if (m_must_read_configuration) {
      // The store may show an older configuration at a lower revision than
      // before, and the changes since the last watch are unknown.
      co_return co_await ReadConfiguration();
    }
    m_watch_revision = std::max(m_watch_revision, watch.resume_after);
    bool in_burst = false;
    if (watch.release) {
      const TimePoint now = SystemClock().Now();
      in_burst = now - m_delivered_at < m_options.burst_gap;
      Deliver(std::move(*watch.release));
    }
    if (watch.unreadable) {
      OnUnreadable(*watch.unreadable);
    }
    // What the watch returned shows that the store had no other configuration
    // when the watch was sent, but not that it has none now.
    ReportRead(sent_at);
    NotifyConfirmed();
    if (in_burst) {
      co_await ReadUntilUnchanged();
    }
    co_return true;
  }

  /// The store does not have the changes since the last watch. Returns false if
  /// it lacks those since the read after that too, so that the next attempt has
  /// to wait.
  asio::awaitable<bool> ReadAfterLostHistory() {
    m_options.count_event("store_history_gone");
    m_watch_revision = {};
    m_position_is_lost = true;
    const bool is_repeated = std::exchange(m_history_is_lost, true);
    const bool found = co_await ReadConfiguration();
    co_return found && !is_repeated;
  }

  /// Reads the newest configuration periodically until it stops changing.
  asio::awaitable<void> ReadUntilUnchanged() {
    Revision last_revision;
    do {
      last_revision = delivered_revision();
      co_await Sleep(m_watch_timer, m_options.burst_read_interval);
      co_await ReadConfiguration();
    } while (delivered_revision() != last_revision && !m_stopped);
  }

  /// The store has accepted a configuration that this node cannot apply, so
  /// that the delivered one is no longer the newest. One with a version older
  /// than a known one is what a store shows that has come back from an older
  /// copy. An unreadable one may have no version, and then counts as a newer
  /// one of the version that is known.
  void OnUnreadable(const UnreadableRelease& unreadable) {
    const Revision revision = WithVersion(unreadable.revision);
    if (revision < newest_known()) {
      m_newest_is_unreadable = false;
      OnShown(revision);
      return;
    }
    m_newest_is_unreadable = true;
    m_unreadable_revision = std::max(m_unreadable_revision, revision);
    if (revision == newest_known()) {
      SetBehind(false, revision);
    }
    m_options.on_release_unreadable(
        {.revision = revision, .reason = unreadable.reason});
  }

  /// The revision of a configuration whose version cannot be read: a newer one
  /// of the version that is known, here or by way of peers.
  Revision WithVersion(Revision revision) const {
    const Revision known =
        std::max(newest_known(), m_options.applied_revision());
    if (!IsComparable(revision, known)) {
      revision.version = known.version;
    }
    return revision;
  }

  /// The newest configuration that this node has read, whether it could apply
  /// it or not.
  Revision newest_known() const {
    return std::max(delivered_revision(), m_unreadable_revision);
  }

  /// The store shows `revision` as its newest configuration. If that is older
  /// than a known one, the store has come back from an older copy, and the
  /// operator has not written again yet.
  void OnShown(Revision revision) {
    m_shown_revision = revision;
    m_options.on_store_head(revision);
    SetBehind(revision < newest_known(), revision);
  }

  void SetBehind(bool is_behind, const Revision& shown) {
    if (is_behind == m_store_is_behind) {
      return;
    }
    m_store_is_behind = is_behind;
    const std::string revisions = "The store shows " + Text(shown) + ", and " +
                                  Text(delivered_revision()) + " is in force";
    if (is_behind) {
      m_options.count_event("store_is_behind");
      kLog.Warn(revisions + " and stays so: the store lacks what it has " +
                "accepted. Write the configuration again.");
    } else {
      kLog.Info(revisions + ": the store is no longer behind.");
    }
  }

  static std::string Text(const Revision& revision) {
    return "version " + std::to_string(revision.version) + " (revision " +
           std::to_string(revision.number) + " of era " +
           std::to_string(revision.era) + ")";
  }

  /// Reports what the store showed when the call was sent. Not while it is
  /// known to have accepted another configuration that this node cannot read,
  /// which may have removed a key.
  void ReportRead(BootTimePoint sent_at) {
    if (!m_newest_is_unreadable &&
        !Lacks(m_shown_revision, m_unreadable_revision)) {
      m_options.on_store_read(m_shown_revision, sent_at);
    }
  }

  Revision delivered_revision() const { return m_delivered->revision; }

  /// A revision that this node cannot read is confirmed too, so that the other
  /// nodes read it themselves: they may be of another version, and each reports
  /// what it cannot apply.
  void NotifyConfirmed() {
    if (m_newest_is_unreadable) {
      m_options.on_store_confirmed(m_unreadable_revision, kNotPushed,
                                   m_store.era());
    } else {
      m_options.on_store_confirmed(delivered_revision(), m_change_bytes,
                                   m_store.era());
    }
  }

  /// Ignores a configuration that is older than the delivered one.
  void Deliver(Release release) {
    m_newest_is_unreadable = false;
    OnShown(release.revision);
    if (release.revision < delivered_revision()) {
      return;
    }
    if (release.revision != delivered_revision()) {
      m_change_bytes = SizeOf(DiffOf(m_delivered->objects, release.objects));
      m_delivered_at = SystemClock().Now();
    }
    m_delivered = std::make_shared<const Release>(std::move(release));
    m_options.on_release(m_delivered);
  }

  /// Records whether the configuration could be read. When the store recovers
  /// from an outage, the own entry is checked at once, since the store may have
  /// lost it.
  void OnStoreReadResult(bool readable, const std::string& error_message) {
    if (readable == m_store_readable) {
      return;
    }
    m_store_readable = readable;
    m_entry_checked_at = TimePoint{};
    m_options.count_event(readable ? "store_regained" : "store_lost");
    if (readable) {
      kLog.Info("The configuration can be read from the store again.");
      m_entry_timer.cancel();
    } else {
      kLog.Warn("Reading the configuration from the store failed: " +
                error_message + ".");
    }
  }

  asio::awaitable<void> MaintainEntry() {
    Backoff retry_backoff(m_options.entry_backoff);
    while (!m_stopped) {
      try {
        co_await StoreEntry();
        if (!m_options.has_joined()) {
          co_await FindPeers();
        }
      } catch (const std::exception& error) {
        m_options.count_event("entry_failed");
        kLog.Warn("Maintaining the node's entry in the store failed: " +
                  std::string(error.what()) + ".");
      }
      FollowEra();
      co_await Sleep(m_entry_timer, NextEntryDelay(retry_backoff));
    }
  }

  Duration NextEntryDelay(Backoff& retry_backoff) {
    const TimePoint now = SystemClock().Now();
    Duration delay = retry_backoff.Next(m_rng);
    if (m_stored_entry != m_options.own_entry() || IsEntryCheckDue(now)) {
      return delay;
    }
    if (m_options.has_joined()) {
      retry_backoff.Reset();
      delay = m_options.entry_check_interval;
    } else if (m_found_peers) {
      delay = m_options.peer_search_interval;
    }
    return m_entry_check_at ? std::min<Duration>(delay, *m_entry_check_at - now)
                            : delay;
  }

  /// Whether the store holds the current own entry, as far as known. One stored
  /// in an earlier era may be gone, or be an older one again.
  bool IsEntryStored() const {
    return m_stored_entry == m_options.own_entry() && !m_entry_check_at &&
           m_entry_era_changes == m_store.era_changes();
  }

  bool IsEntryCheckDue(TimePoint now) const {
    return m_entry_check_at && now >= *m_entry_check_at;
  }

  /// Has the own entry written again within entry_check_spread. An entry that
  /// was never written is written anyway.
  void ScheduleEntryCheck() {
    if (m_entry_check_at || !m_has_read_previous_entry) {
      return;
    }
    const auto spread =
        static_cast<std::size_t>(m_options.entry_check_spread.count());
    m_entry_check_at =
        SystemClock().Now() + milliseconds(UniformIndex(m_rng, spread + 1));
    m_entry_timer.cancel();
  }

  /// The store has answered that it holds `entry`.
  void OnEntryStored(NodeEntry entry) {
    m_stored_entry = std::move(entry);
    m_entry_era_changes = m_store.era_changes();
    m_entry_check_at.reset();
    m_entry_checked_at = SystemClock().Now();
  }

  /// Brings the node's entry in the store up to date.
  asio::awaitable<void> StoreEntry() {
    if (!m_has_read_previous_entry) {
      co_await CreateEntry();
    } else if (IsEntryStored()) {
      co_await CheckEntry();
    }
    const NodeEntry own = m_options.own_entry();
    if (m_stored_entry != own || IsEntryCheckDue(SystemClock().Now())) {
      co_await m_store.WriteNode(own);
      OnEntryStored(own);
      m_options.count_event("entry_written");
    }
  }

  /// Creates the entry, or reads the one that the node stored before it
  /// restarted.
  asio::awaitable<void> CreateEntry() {
    const NodeEntry own = m_options.own_entry();
    const std::optional<NodeEntry> previous = co_await m_store.CreateNode(own);
    OnEntryStored(previous.value_or(own));
    if (previous) {
      m_options.on_previous_entry(*previous);
    } else {
      m_options.count_event("entry_written");
    }
    m_has_read_previous_entry = true;
  }

  /// Checks periodically whether the store still has the entry.
  asio::awaitable<void> CheckEntry() {
    const TimePoint now = SystemClock().Now();
    if (now < m_entry_checked_at + m_options.entry_check_interval) {
      co_return;
    }
    m_entry_checked_at = now;
    const bool is_stored = co_await m_store.HasNode(m_options.node);
    if (!is_stored) {
      m_stored_entry.reset();
    }
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
    const TimePoint deadline = SystemClock().Now() + max_wait;
    asio::steady_timer timer(m_executor);
    while (!is_met() && !m_stopped && SystemClock().Now() < deadline) {
      timer.expires_after(kPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  /// Waits for `duration` or until the timer is cancelled.
  asio::awaitable<void> Sleep(asio::steady_timer& timer, Duration duration) {
    boost::system::error_code ignored;
    timer.expires_after(duration);
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  inline static const ComponentLogger kLog{"fleet"};
  /// Size of a change that no node passes on.
  static constexpr std::size_t kNotPushed =
      std::numeric_limits<std::size_t>::max();

  asio::any_io_executor m_executor;
  Store& m_store;
  ConfigurationStoreTaskOptions m_options;
  Rng m_rng;
  /// The changes of the store's era that this task has acted on.
  std::uint64_t m_era_changes;
  asio::steady_timer m_watch_timer;
  asio::steady_timer m_entry_timer;
  /// The revision from which the next watch starts.
  StoreRevision m_watch_revision;
  /// The newest configuration passed to on_release, when it was read, and the
  /// size in bytes of its difference from the one before.
  std::shared_ptr<const Release> m_delivered =
      std::make_shared<const Release>();
  TimePoint m_delivered_at{};
  /// The configuration that the store shows as its newest, which is older than
  /// the delivered one when the store has come back from an older copy.
  Revision m_shown_revision;
  bool m_store_is_behind = false;
  std::size_t m_change_bytes = 0;
  /// Set until the first read and after a failed or omitted watch: changes may
  /// have been missed that the next watch does not report.
  bool m_must_read_configuration = true;
  /// The next read has to name the revision from which a watch can go on.
  bool m_position_is_lost = false;
  /// The store did not have the history for the last watch.
  bool m_history_is_lost = false;
  /// The delivered configuration is not the store's newest one.
  bool m_newest_is_unreadable = false;
  /// The newest revision that could not be read, or 0.
  Revision m_unreadable_revision;
  bool m_store_readable = true;
  bool m_has_read_at_start = false;
  /// The entry that the store holds for this node, as far as known.
  std::optional<NodeEntry> m_stored_entry;
  TimePoint m_entry_checked_at{};
  /// The changes of the store's era that preceded the last write of the entry.
  std::uint64_t m_entry_era_changes = 0;
  /// When the entry has to be written again after a change of era.
  std::optional<TimePoint> m_entry_check_at;
  /// The last era that a watching node named and this one had not seen.
  std::uint64_t m_announced_era = 0;
  /// Number of searches for peers in the store.
  std::uint32_t m_searches = 0;
  bool m_found_peers = false;
  bool m_has_read_previous_entry = false;
  bool m_stopped = false;
};

}  // namespace banyantrail
