#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/rollout_store.h"
#include "banyantrail/net/asio.h"

namespace banyantrail {

/// A conditional write of the state of a roll-out.
struct RolloutWrite {
  RolloutObject object;
  RolloutState state = RolloutState::kNone;
};

struct RolloutStoreTaskOptions {
  /// Number of the term for which this node is the judge; 0 if it is not, and
  /// then makes no calls to the store. All roll-outs are listed in each term.
  std::function<std::uint64_t()> judge_term;
  /// Receives all roll-outs, or changes of them.
  std::function<void(const RolloutReadResult&, bool is_list)> on_read;
  /// Returns the next write that is due.
  std::function<std::optional<RolloutWrite>()> next_write;
  /// The result of a write: whether it took effect; empty if that is unknown,
  /// until the next list.
  std::function<void(const RolloutWrite&, std::optional<bool>)> on_written;
  /// Maximum duration of a watch. A store that recovers from an outage may
  /// never respond to watches that started before it.
  milliseconds watch_wait{2000};
  /// How often a node checks whether it is the judge or a write is due.
  Duration poll_interval = milliseconds(50);
  /// Delay before a failed call is repeated.
  Duration retry_delay = milliseconds(400);
  /// Counts an event of the given name in the metrics.
  std::function<void(const std::string&)> count_event = [](const std::string&) {
  };
};

/// Reads the roll-outs from the store and writes their states while this node
/// is the judge. Runs on the store's executor and keeps itself alive until its
/// coroutines have ended; `store` must outlive them.
template <RolloutStore Store>
class RolloutStoreTask
    : public std::enable_shared_from_this<RolloutStoreTask<Store>> {
 public:
  RolloutStoreTask(asio::any_io_executor executor,
                   Store& store,
                   RolloutStoreTaskOptions options)
      : m_executor(std::move(executor)),
        m_store(store),
        m_options(std::move(options)) {}

  void Start() {
    asio::co_spawn(
        m_executor, [self = this->shared_from_this()] { return self->Read(); },
        asio::detached);
    asio::co_spawn(
        m_executor, [self = this->shared_from_this()] { return self->Write(); },
        asio::detached);
  }

  void Stop() { m_stopped = true; }

 private:
  asio::awaitable<void> Read() {
    while (!m_stopped) {
      if (m_options.judge_term() == 0) {
        co_await Sleep(m_options.poll_interval);
        continue;
      }
      bool failed = false;
      try {
        co_await ReadOnce();
      } catch (const std::exception& error) {
        kLog.Warn("Reading the roll-outs from the store failed: " +
                  std::string(error.what()) + ".");
        failed = true;
      }
      if (failed) {
        m_options.count_event("rollouts_unreadable");
        m_listed_term = 0;
        co_await Sleep(m_options.retry_delay);
      }
    }
  }

  asio::awaitable<void> ReadOnce() {
    const std::uint64_t term = m_options.judge_term();
    if (term != m_listed_term) {
      co_await List();
      m_listed_term = term;
      co_return;
    }
    const StoreRevision after = m_watch_revision;
    const RolloutReadResult read =
        co_await m_store.AwaitRollouts(after, m_options.watch_wait);
    const bool is_of_one_era =
        read.resume_after.era == after.era && after.era == m_watch_revision.era;
    if (read.history_compacted || !is_of_one_era) {
      co_await OnRefusedWatch();
      co_return;
    }
    m_was_refused = false;
    m_watch_revision = std::max(m_watch_revision, read.resume_after);
    m_options.on_read(read, false);
  }

  /// The changes since the position are not known: the store does not have them
  /// or counts in another era. Lists again, at once only the first time in a
  /// row.
  asio::awaitable<void> OnRefusedWatch() {
    m_listed_term = 0;
    if (m_was_refused) {
      co_await Sleep(m_options.retry_delay);
    }
    m_was_refused = true;
  }

  asio::awaitable<void> List() {
    const std::uint64_t era = m_watch_revision.era;
    const RolloutReadResult read = co_await m_store.ListRollouts();
    const bool is_late = m_watch_revision.era != era &&
                         read.resume_after.era < m_watch_revision.era;
    if (is_late) {
      co_return;
    }
    // The store may have come back from an older copy, so the position may
    // decrease.
    m_watch_revision = read.resume_after;
    m_options.on_read(read, true);
  }

  asio::awaitable<void> Write() {
    while (!m_stopped) {
      const std::optional<RolloutWrite> write =
          m_options.judge_term() != 0 ? m_options.next_write() : std::nullopt;
      if (write) {
        co_await WriteOnce(*write);
      } else {
        co_await Sleep(m_options.poll_interval);
      }
    }
  }

  /// The result of a write; empty if it is unknown. A revision of another era
  /// is a conflict without a call: its number may belong to another state of
  /// the object by now.
  asio::awaitable<std::optional<bool>> Send(const RolloutWrite& write) {
    std::optional<bool> written = false;
    if (write.object.revision.era != m_watch_revision.era) {
      co_return written;
    }
    written.reset();
    try {
      written = co_await m_store.WriteRolloutState(write.object, write.state);
    } catch (const std::exception& error) {
      kLog.Warn("Writing the state of the roll-out of " +
                write.object.service.str() +
                " failed and is repeated: " + std::string(error.what()) + ".");
    }
    co_return written;
  }

  /// After a conflict or an unknown outcome, reads what the store holds.
  asio::awaitable<void> WriteOnce(RolloutWrite write) {
    const std::optional<bool> written = co_await Send(write);
    m_options.on_written(write, written);
    if (written.value_or(false)) {
      co_return;
    }
    m_options.count_event("rollout_write_failed");
    bool listed = false;
    while (!listed && !m_stopped) {
      try {
        co_await List();
        listed = true;
      } catch (const std::exception&) {
        m_options.count_event("rollouts_unreadable");
      }
      co_await Sleep(listed ? m_options.poll_interval : m_options.retry_delay);
    }
  }

  asio::awaitable<void> Sleep(Duration duration) {
    asio::steady_timer timer(m_executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  inline static const ComponentLogger kLog{"rollout"};

  asio::any_io_executor m_executor;
  Store& m_store;
  RolloutStoreTaskOptions m_options;
  StoreRevision m_watch_revision;
  /// The term for which all roll-outs were listed. 0 until then, and after a
  /// failed watch: changes may have been missed.
  std::uint64_t m_listed_term = 0;
  /// The last watch has returned no changes since its position.
  bool m_was_refused = false;
  bool m_stopped = false;
};

}  // namespace banyantrail
