#pragma once

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "banyantrail/config/object_store.h"
#include "banyantrail/core/errors.h"
#include "banyantrail/core/random.h"

namespace banyantrail::testing {

/// In-memory implementation of AsyncObjectStore with fault injection. Each call
/// is delayed by a random number of event loop iterations, so that the seed
/// determines how concurrent callers interleave.
class FakeObjectStore {
 public:
  struct Options {
    std::uint64_t seed = 1;
    /// Percentage of writes that take effect but whose response is lost.
    std::size_t lost_answers = 0;
    /// Percentage of writes that take effect only after the caller got
    /// kOutcomeUnknown.
    std::size_t late_effects = 0;
    /// If not empty, only writes to this key lose responses or take effect
    /// late.
    std::string faulty_key;
    /// Number of writes after which all writes fail with kPlatformUnavailable.
    std::size_t writes_before_outage = SIZE_MAX;
    /// Percentage of calls that fail with kPlatformUnavailable.
    std::size_t outages = 0;
  };

  explicit FakeObjectStore(Options options)
      : m_options(options), m_rng(options.seed) {}

  boost::asio::awaitable<std::optional<StoredObject>> Get(std::string key) {
    co_await Delay();
    ThrowIfOut();
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
      co_return std::nullopt;
    }
    co_return found->second;
  }

  boost::asio::awaitable<PutResult> Put(
      std::string key,
      nlohmann::json value,
      std::optional<std::uint64_t> expected_version) {
    co_await Delay();
    ThrowIfOut();
    if (m_put_calls++ >= m_options.writes_before_outage) {
      ThrowOut();
    }
    const bool may_fail =
        m_options.faulty_key.empty() || m_options.faulty_key == key;
    if (may_fail && Happens(m_options.late_effects)) {
      const auto executor = co_await boost::asio::this_coro::executor;
      ApplyLater(executor, kMaxLateTurns,
                 [=, this] { Apply(key, value, expected_version); });
      ThrowUnknown();
    }
    const PutResult result = Apply(key, value, expected_version);
    if (may_fail && Happens(m_options.lost_answers)) {
      ThrowUnknown();
    }
    co_return result;
  }

  /// Overwrites the value of an existing object, bypassing versions.
  void Corrupt(const std::string& key, nlohmann::json value) {
    m_objects.at(key).value = std::move(value);
  }
  void SetOptions(Options options) { m_options = options; }
  const std::map<std::string, StoredObject>& objects() const {
    return m_objects;
  }
  std::size_t writes() const { return m_writes; }

 private:
  static constexpr std::size_t kMaxTurns = 4;
  static constexpr std::size_t kMaxLateTurns = 40;

  bool Happens(std::size_t percent) {
    return UniformIndex(m_rng, 100) < percent;
  }

  boost::asio::awaitable<void> Delay() {
    const auto executor = co_await boost::asio::this_coro::executor;
    for (std::size_t left = UniformIndex(m_rng, kMaxTurns); left > 0; --left) {
      co_await boost::asio::post(executor, boost::asio::use_awaitable);
    }
  }

  template <typename Executor>
  void ApplyLater(Executor executor,
                  std::size_t turns,
                  std::function<void()> effect) {
    boost::asio::post(executor, [=, this] {
      if (turns == 0) {
        effect();
      } else {
        ApplyLater(executor, turns - 1, effect);
      }
    });
  }

  void ThrowIfOut() {
    if (Happens(m_options.outages)) {
      ThrowOut();
    }
  }

  [[noreturn]] static void ThrowOut() {
    throw Error({.kind = ErrorKind::kPlatformUnavailable,
                 .message = "the platform is unavailable",
                 .remedy = "wait"});
  }

  [[noreturn]] static void ThrowUnknown() {
    throw Error({.kind = ErrorKind::kOutcomeUnknown,
                 .message = "the response was lost",
                 .remedy = "read the object"});
  }

  PutResult Apply(const std::string& key,
                  const nlohmann::json& value,
                  std::optional<std::uint64_t> expected_version) {
    const auto found = m_objects.find(key);
    const std::uint64_t current =
        found == m_objects.end() ? 0 : found->second.version;
    if (expected_version && *expected_version != current) {
      return {.status = PutStatus::kVersionMismatch, .version = current};
    }
    ++m_writes;
    m_objects[key] = {.key = key, .version = ++m_version, .value = value};
    return {.status = PutStatus::kWritten, .version = m_version};
  }

  Options m_options;
  Rng m_rng;
  std::map<std::string, StoredObject> m_objects;
  std::uint64_t m_version = 0;
  std::size_t m_writes = 0;
  std::size_t m_put_calls = 0;
};

}  // namespace banyantrail::testing
