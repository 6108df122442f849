#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/core/backoff.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/core/random.h"
#include "banyantrail/distribution/fleet_store.h"
#include "banyantrail/distribution/release_store.h"

namespace banyantrail {

/// Settings of FleetTask.
struct FleetTaskOptions {
  NodeId node;
  /// The own node's entry as it should stand in the store.
  std::function<NodeEntry()> own_entry;
  /// The entry that an earlier life of the node left, before the first write.
  std::function<void(const NodeEntry&)> on_former_entry = [](const NodeEntry&) {
  };
  std::uint64_t seed = 0;
  /// How long one wait for a configuration lasts at most. A store that came
  /// back from an outage may never answer the waits from before it, so this
  /// bounds how long a node misses changes after its return. Other nodes rest
  /// on a watcher for little longer, see StoreFollower.
  milliseconds watch_wait{1000};
  /// How often a node that rests on another's watch looks whether it still may.
  Duration follow_interval = milliseconds(100);
  /// Changes closer to each other than this are a burst. A watch would return
  /// every one of them whole, so the node reads the newest alone, in intervals.
  Duration burst_gap = milliseconds(700);
  Duration burst_read_interval = milliseconds(300);
  /// Between two looks for the first configuration or for peers.
  BackoffOptions search{.initial = milliseconds(150), .max = seconds(1)};
  /// Between two calls of a store that does not answer. The upper bound leaves
  /// time to read a change within the propagation bound after its return.
  BackoffOptions outage{.initial = milliseconds(100), .max = milliseconds(700)};
  /// How often the own entry is looked for while all is well.
  Duration entry_check_interval = seconds(20);

  std::function<void(std::shared_ptr<const Release>)> on_release;
  std::function<void(Revision)> on_store_head;
  /// The store has just said that this is its newest revision, and by how many
  /// bytes it differs from the one before.
  std::function<void(Revision, std::size_t)> on_store_confirmed =
      [](Revision, std::size_t) {};
  /// Whether no other node watches the store for this one.
  std::function<bool()> must_watch = [] { return true; };
  std::function<void(std::vector<IpEndpoint>)> on_peers;
  /// Whether the node has met its peers.
  std::function<bool()> has_joined;
  /// Counts an event for the metrics.
  std::function<void(const std::string&)> count = [](const std::string&) {};
};

/// What a node does towards a store that holds whole configurations: it keeps
/// its entry there, finds its peers once, and waits for configurations.
///
/// Runs on the store's executor and keeps itself alive until its coroutines
/// have ended. `store` must outlive them.
template <FleetStore Store>
class FleetTask : public std::enable_shared_from_this<FleetTask<Store>> {
 public:
  FleetTask(asio::any_io_executor executor,
            Store& store,
            FleetTaskOptions options)
      : m_executor(std::move(executor)),
        m_store(store),
        m_options(std::move(options)),
        m_rng(m_options.seed),
        m_pause(m_executor),
        m_entry_pause(m_executor) {}

  void Start() {
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->WatchReleases(); },
        asio::detached);
    asio::co_spawn(
        m_executor,
        [self = this->shared_from_this()] { return self->KeepEntry(); },
        asio::detached);
  }

  /// The own entry is to be written again.
  void OnOwnEntryChanged() { m_entry_pause.cancel(); }

  /// Whether it is known what an earlier life of the node left.
  bool has_read_former_entry() const { return m_has_read_former; }

  void Stop() {
    m_stopped = true;
    m_pause.cancel();
    m_entry_pause.cancel();
  }

 private:
  asio::awaitable<void> WatchReleases() {
    Backoff search(m_options.search);
    Backoff outage(m_options.outage);
    while (!m_stopped) {
      if (!m_options.must_watch()) {
        // Changes are missed meanwhile, so the next watch begins with a read.
        m_must_read = true;
        co_await Pause(m_pause, m_options.follow_interval);
        continue;
      }
      bool failed = false;
      bool found = false;
      try {
        found = m_must_read ? co_await ReadWhole() : co_await WaitForNext();
        NoteStore(true, "");
        outage.Reset();
      } catch (const Error& error) {
        failed = true;
        m_must_read = true;
        NoteStore(false, error.what());
      }
      if (failed) {
        co_await Pause(m_pause, outage.Next(m_rng));
      } else if (!found) {
        co_await Pause(m_pause, search.Next(m_rng));
      }
    }
  }

  /// Reads the whole configuration. Returns whether there is one.
  asio::awaitable<bool> ReadWhole() {
    std::optional<Release> release = co_await m_store.ReadRelease();
    if (!release) {
      m_options.on_store_head(0);
      co_return false;
    }
    m_must_read = false;
    m_revision = std::max(m_revision, release->revision);
    Take(std::move(*release));
    Confirm();
    co_return true;
  }

  asio::awaitable<bool> WaitForNext() {
    ReleaseWatch watch =
        co_await m_store.AwaitRelease(m_revision, m_options.watch_wait);
    if (watch.history_gone) {
      m_options.count("store_history_gone");
      co_return co_await ReadWhole();
    }
    m_revision = std::max(m_revision, watch.read_up_to);
    bool in_burst = false;
    if (watch.release) {
      const TimePoint now = SystemClock().Now();
      in_burst = now - m_taken_at < m_options.burst_gap;
      Take(std::move(*watch.release));
    }
    Confirm();
    if (in_burst) {
      co_await ReadThroughBurst();
    }
    co_return true;
  }

  /// Reads the newest configuration in intervals until it changes no more.
  asio::awaitable<void> ReadThroughBurst() {
    Revision before = 0;
    do {
      before = taken();
      co_await Pause(m_pause, m_options.burst_read_interval);
      co_await ReadWhole();
    } while (taken() != before && !m_stopped);
  }

  Revision taken() const { return m_newest->revision; }

  void Confirm() { m_options.on_store_confirmed(taken(), m_change_bytes); }

  void Take(Release release) {
    if (release.revision != taken()) {
      m_change_bytes = SizeOf(DiffOf(m_newest->objects, release.objects));
      m_taken_at = SystemClock().Now();
    }
    m_newest = std::make_shared<const Release>(std::move(release));
    m_options.on_store_head(m_newest->revision);
    m_options.on_release(m_newest);
  }

  /// Notes whether the store answers; its return is the time to look whether
  /// the own entry is still there.
  void NoteStore(bool answers, const std::string& why) {
    if (answers == m_store_answers) {
      return;
    }
    m_store_answers = answers;
    m_options.count(answers ? "store_regained" : "store_lost");
    if (answers) {
      kLog.Info("The store answers again.");
      m_entry_pause.cancel();
    } else {
      kLog.Warn("The store does not answer: " + why + ".");
    }
  }

  asio::awaitable<void> KeepEntry() {
    Backoff retry(m_options.search);
    std::optional<NodeEntry> written;
    while (!m_stopped) {
      try {
        co_await ReadFormerEntry();
        const NodeEntry own = m_options.own_entry();
        const bool is_there =
            written == own && co_await m_store.HasNode(m_options.node);
        if (!is_there) {
          co_await m_store.WriteNode(own);
          m_options.count("entry_written");
          written = own;
        }
        if (!m_options.has_joined()) {
          co_await FindPeers();
        }
      } catch (const Error& error) {
        m_options.count("entry_failed");
        kLog.Warn("The own entry in the store cannot be kept: " +
                  std::string(error.what()) + ".");
        written.reset();
      }
      const bool is_settled =
          written == m_options.own_entry() && m_options.has_joined();
      const Duration wait =
          is_settled ? m_options.entry_check_interval : retry.Next(m_rng);
      co_await Pause(m_entry_pause, wait);
    }
  }

  asio::awaitable<void> ReadFormerEntry() {
    if (m_has_read_former) {
      co_return;
    }
    const std::optional<NodeEntry> former =
        co_await m_store.ReadNode(m_options.node);
    if (former) {
      m_options.on_former_entry(*former);
    }
    m_has_read_former = true;
  }

  asio::awaitable<void> FindPeers() {
    const std::vector<NodeEntry> entries = co_await m_store.ListNodes();
    std::vector<IpEndpoint> peers;
    for (const NodeEntry& entry : entries) {
      if (entry.node != m_options.node) {
        peers.push_back(entry.peer_address);
      }
    }
    m_options.on_peers(std::move(peers));
  }

  /// Waits for the time, or until somebody cancels the timer.
  asio::awaitable<void> Pause(asio::steady_timer& timer, Duration duration) {
    boost::system::error_code ignored;
    timer.expires_after(duration);
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  inline static const ComponentLogger kLog{"fleet"};

  asio::any_io_executor m_executor;
  Store& m_store;
  FleetTaskOptions m_options;
  Rng m_rng;
  asio::steady_timer m_pause;
  asio::steady_timer m_entry_pause;
  /// Where the watch goes on.
  Revision m_revision = 0;
  /// The newest configuration that was passed on, when, and how much it differs
  /// from the one before.
  std::shared_ptr<const Release> m_newest = std::make_shared<const Release>();
  TimePoint m_taken_at{};
  std::size_t m_change_bytes = 0;
  /// Nothing was read yet, or a watch broke off: it may have missed changes
  /// that the next one does not report.
  bool m_must_read = true;
  bool m_store_answers = true;
  bool m_has_read_former = false;
  bool m_stopped = false;
};

}  // namespace banyantrail
