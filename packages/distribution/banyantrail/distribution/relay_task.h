#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/config/object_store.h"
#include "banyantrail/config/release_loader.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/relay_lease.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/store/store_client.h"

namespace banyantrail {

/// The platform client operations that a relay uses.
template <typename T>
concept WatchableStore = AsyncObjectStore<T> &&
    requires(T& store, std::string prefix, std::uint64_t after) {
  { store.List(prefix) } -> std::same_as<asio::awaitable<ListResult>>;
  {
    store.Watch(prefix, after, milliseconds())
    } -> std::same_as<asio::awaitable<WatchResult>>;
};

/// Event counts since the start, exported as metrics.
struct RelayCounters {
  std::uint64_t leases_taken = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t releases_loaded = 0;
  std::uint64_t status_writes = 0;
  std::uint64_t failures = 0;

  friend bool operator==(const RelayCounters&, const RelayCounters&) = default;
};

/// Acquires and renews a relay lease of the node's failure domain and, while it
/// holds one, watches the head of the configuration and writes the domain's
/// status. Correctness does not depend on it: with no relay, releases still
/// arrive from other domains, and two relays per slot do no harm.
///
/// Runs on the executor of the store client; all member functions must be
/// called there. Keeps itself alive until its coroutines have ended; `store`
/// must outlive them.
template <WatchableStore Store>
class RelayTask : public std::enable_shared_from_this<RelayTask<Store>> {
 public:
  struct Options {
    RelayLease::Options lease;
    /// How often the leases are read and the own one is renewed.
    Duration lease_interval = seconds(2);
    /// Maximum duration of one watch of the head. A stopped task may stay alive
    /// for this time.
    milliseconds watch_wait = seconds(10);
    /// How often the task checks whether a status write is due.
    Duration status_interval = milliseconds(500);
    /// Delay before a failed platform call is retried.
    Duration retry_delay = seconds(1);
    /// Receives each newer release, after verification. Required.
    std::function<void(Release)> on_release;
    /// Receives the platform's newest revision whenever it is read; 0 if there
    /// is none.
    std::function<void(Revision)> on_head = [](Revision) {};
    /// Returns the current release, whose chunks are reused instead of read;
    /// may return null.
    std::function<std::shared_ptr<const Release>()> current_release = [] {
      return std::shared_ptr<const Release>();
    };
    /// Returns the status to write now, if a write is due. Limits the write
    /// rate.
    std::function<std::optional<nlohmann::json>()> take_due_status = [] {
      return std::optional<nlohmann::json>();
    };
    /// Called if the last status returned by take_due_status could not be
    /// written.
    std::function<void()> on_status_write_failed = [] {};
    /// Receives the holders of the domain's leases in slot order.
    std::function<void(std::vector<NodeId>)> on_relays =
        [](const std::vector<NodeId>&) {};
  };

  RelayTask(asio::any_io_executor executor, Store& store, Options options)
      : m_executor(std::move(executor)),
        m_store(&store),
        m_options(std::move(options)),
        m_lease(m_options.lease),
        m_lease_timer(m_executor),
        m_watch_timer(m_executor),
        m_status_timer(m_executor) {}

  void Start() {
    Spawn(&RelayTask::LeaseLoop);
    Spawn(&RelayTask::WatchLoop);
    Spawn(&RelayTask::StatusLoop);
  }

  /// Sets the alive, non-draining members of the domain, including this node.
  void OnMembers(std::vector<NodeId> members) {
    m_lease.OnMembers(std::move(members));
  }

  /// Releases the lease and ends the coroutines.
  void Stop() {
    m_lease.Drain();
    m_stopping = true;
    m_lease_timer.cancel();
    m_watch_timer.cancel();
    m_status_timer.cancel();
  }

  bool IsRelay() const {
    return m_lease.HeldSlot(SystemClock().Now()).has_value();
  }

  /// Whether all coroutines have ended.
  bool ended() const { return m_running_loops == 0; }

  const RelayCounters& counters() const { return m_counters; }

 private:
  using Loop = asio::awaitable<void> (RelayTask::*)();

  void Spawn(Loop loop) {
    ++m_running_loops;
    asio::co_spawn(m_executor, RunLoop(this->shared_from_this(), loop),
                   asio::detached);
  }

  static asio::awaitable<void> RunLoop(std::shared_ptr<RelayTask> self,
                                       Loop loop) {
    co_await ((*self).*loop)();
    --self->m_running_loops;
  }

  asio::awaitable<void> LeaseLoop() {
    while (!m_stopping) {
      co_await TryStep(&RelayTask::UpdateLease);
      co_await Sleep(m_lease_timer, m_options.lease_interval);
    }
    co_await TryStep(&RelayTask::UpdateLease);
  }

  asio::awaitable<void> WatchLoop() {
    while (!m_stopping) {
      co_await WatchOnce();
    }
  }

  asio::awaitable<void> WatchOnce() {
    if (!IsRelay()) {
      m_watched_version.reset();
      co_await Sleep(m_watch_timer, m_options.status_interval);
      co_return;
    }
    const bool succeeded = co_await TryStep(&RelayTask::WatchHead);
    if (!succeeded) {
      co_await Sleep(m_watch_timer, m_options.retry_delay);
    }
  }

  asio::awaitable<void> StatusLoop() {
    while (!m_stopping) {
      co_await TryStep(&RelayTask::WriteDueStatus);
      co_await Sleep(m_status_timer, m_options.status_interval);
    }
  }

  /// Runs one step and returns whether it succeeded. Catches all exceptions: an
  /// exception that ended the loop would silently stop its work.
  asio::awaitable<bool> TryStep(Loop step) {
    try {
      co_await (this->*step)();
      co_return true;
    } catch (const std::exception& error) {
      ++m_counters.failures;
      m_logger.Warn(std::string(error.what()) + ".");
    }
    co_return false;
  }

  asio::awaitable<void> Sleep(asio::steady_timer& timer, Duration duration) {
    if (m_stopping) {
      co_return;
    }
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  asio::awaitable<void> UpdateLease() {
    if (!m_lease.NeedsSlots()) {
      co_return;
    }
    co_await ReadSlots();
    const std::optional<RelayLeaseWrite> write =
        m_lease.Decide(SystemClock().Now());
    if (write) {
      co_await WriteLease(*write);
    }
    m_options.on_relays(m_lease.Holders());
  }

  asio::awaitable<void> ReadSlots() {
    const DomainId& domain = m_options.lease.domain;
    ListResult listed = co_await m_store->List(RelayKeyPrefix(domain));
    std::array<std::optional<StoredObject>, kRelaySlots> slots;
    for (StoredObject& object : listed.objects) {
      for (std::size_t slot = 0; slot < kRelaySlots; ++slot) {
        if (object.key == RelayKey(domain, slot)) {
          slots[slot] = std::move(object);
          break;
        }
      }
    }
    m_lease.OnSlots(slots, SystemClock().Now());
  }

  asio::awaitable<void> WriteLease(RelayLeaseWrite write) {
    const bool was_relay = IsRelay();
    const std::string key = RelayKey(m_options.lease.domain, write.slot);
    const nlohmann::json value = ToJson(write.value);
    // The lease is valid from before the write, so that this node never counts
    // it as held for longer than other nodes do.
    const TimePoint requested_at = SystemClock().Now();
    const PutResult result =
        co_await m_store->Put(key, value, write.expected_version);
    if (result.status == PutStatus::kWritten) {
      m_lease.OnWritten(write, result.version, requested_at);
      m_counters.leases_taken += !was_relay && IsRelay() ? 1 : 0;
      co_return;
    }
    m_counters.leases_lost += was_relay ? 1 : 0;
    m_lease.OnWriteConflict(write);
  }

  asio::awaitable<void> WatchHead() {
    const std::string key(kHeadKey);
    if (m_watched_version) {
      const WatchResult result = co_await m_store->Watch(
          key, *m_watched_version, m_options.watch_wait);
      // The next watch starts from the same version: the version in the result
      // may include a change that is missing from its events.
      if (result.events.empty()) {
        co_return;
      }
    }
    co_await LoadNewest();
  }

  asio::awaitable<void> LoadNewest() {
    const std::optional<VersionedHead> newest = co_await LoadHead(*m_store);
    if (!newest) {
      m_watched_version = 0;
      m_options.on_head({});
      co_return;
    }
    const Revision revision{.number = newest->head.revision};
    m_options.on_head(revision);
    const std::shared_ptr<const Release> current = m_options.current_release();
    if (!current || current->revision < revision) {
      Release release = co_await LoadRelease(*m_store, newest->head, current);
      ++m_counters.releases_loaded;
      m_options.on_release(std::move(release));
    }
    m_watched_version = newest->version;
  }

  asio::awaitable<void> WriteDueStatus() {
    const auto slot = m_lease.HeldSlot(SystemClock().Now());
    if (!slot) {
      co_return;
    }
    const std::optional<nlohmann::json> status = m_options.take_due_status();
    if (!status) {
      co_return;
    }
    const std::string key = StatusKey(m_options.lease.domain, *slot);
    ++m_counters.status_writes;
    try {
      co_await m_store->Put(key, *status, std::nullopt);
    } catch (const Error&) {
      m_options.on_status_write_failed();
      throw;
    }
  }

  asio::any_io_executor m_executor;
  Store* m_store;
  Options m_options;
  RelayLease m_lease;
  asio::steady_timer m_lease_timer;
  asio::steady_timer m_watch_timer;
  asio::steady_timer m_status_timer;
  ComponentLogger m_logger{"relay"};
  RelayCounters m_counters;
  /// The watch waits for changes of the head after this store version. Without
  /// a value the head has to be read first.
  std::optional<std::uint64_t> m_watched_version;
  bool m_stopping = false;
  int m_running_loops = 0;
};

/// The leases held by the relays of all domains. A node that knows no peer
/// joins through their addresses.
template <WatchableStore Store>
asio::awaitable<std::vector<RelayLeaseValue>> LoadRelays(Store& store) {
  const ListResult listed = co_await store.List(std::string(kRelayKeyPrefix));
  std::vector<RelayLeaseValue> relays;
  for (const StoredObject& object : listed.objects) {
    try {
      RelayLeaseValue value = ParseRelayLeaseValue(object.value);
      if (!value.node.empty()) {
        relays.push_back(std::move(value));
      }
    } catch (const Error&) {
      // Skipped: the candidates for the slot replace a malformed lease.
      continue;
    }
  }
  co_return relays;
}

}  // namespace banyantrail
