#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/net/asio.h"
#include "banyantrail/store/store_client.h"
#include "standins/object_store.h"

namespace banyantrail::testing {

/// In-memory AsyncObjectStore with fault injection and call counts.
class FakeStore {
 public:
  explicit FakeStore(asio::any_io_executor executor)
      : m_executor(std::move(executor)) {}

  /// Calls fail with kPlatformUnavailable.
  bool outage = false;
  /// Calls fail with an exception that is not an Error.
  bool throw_unexpected = false;
  /// The next watch returns the current version without the events up to it.
  bool omit_watch_events = false;
  /// Number of writes that still take effect but throw kOutcomeUnknown, as if
  /// the response was lost.
  int lost_write_responses = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;

  asio::awaitable<std::optional<StoredObject>> Get(std::string key) {
    ++reads;
    ThrowInjectedFault();
    const auto found = m_store.Get(key);
    std::optional<StoredObject> object;
    if (found) {
      object = Parse(*found);
    }
    co_return object;
  }

  asio::awaitable<PutResult> Put(std::string key,
                                 nlohmann::json value,
                                 std::optional<std::uint64_t> expected) {
    ++writes;
    ThrowInjectedFault();
    const auto result = m_store.Put(key, value.dump(), expected);
    if (lost_write_responses > 0) {
      --lost_write_responses;
      throw Error({.kind = ErrorKind::kOutcomeUnknown,
                   .message = "the response was lost",
                   .remedy = "read again"});
    }
    const bool done = result.status == standins::WriteStatus::kDone;
    co_return PutResult{
        .status = done ? PutStatus::kWritten : PutStatus::kVersionMismatch,
        .version = result.version};
  }

  asio::awaitable<ListResult> List(std::string prefix) {
    ++reads;
    ThrowInjectedFault();
    ListResult result{.version = m_store.version()};
    for (const auto& object : m_store.List(prefix)) {
      result.objects.push_back(Parse(object));
    }
    co_return result;
  }

  asio::awaitable<WatchResult> Watch(std::string prefix,
                                     std::uint64_t after,
                                     milliseconds wait) {
    ++watches;
    constexpr Duration kPollInterval = milliseconds(2);
    const TimePoint end = SystemClock().Now() + wait;
    WatchResult result;
    while (result.events.empty() && SystemClock().Now() < end) {
      ThrowInjectedFault();
      for (const auto& object : m_store.ChangesAfter(prefix, after)) {
        result.events.push_back({.object = Parse(object)});
      }
      asio::steady_timer timer(m_executor, kPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (std::exchange(omit_watch_events, false)) {
      result.events.clear();
    }
    result.version = m_store.version();
    co_return result;
  }

  standins::ObjectStore& store() { return m_store; }

 private:
  static StoredObject Parse(const standins::StoredObject& object) {
    return {.key = object.key,
            .version = object.version,
            .value = nlohmann::json::parse(object.value)};
  }

  void ThrowInjectedFault() const {
    if (throw_unexpected) {
      throw std::runtime_error("unexpected");
    }
    if (outage) {
      throw Error({.kind = ErrorKind::kPlatformUnavailable,
                   .message = "the platform is unavailable",
                   .remedy = "wait"});
    }
  }

  asio::any_io_executor m_executor;
  standins::ObjectStore m_store;
};

}  // namespace banyantrail::testing
