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
    std::size_t lost_response_percent = 0;
    /// Percentage of writes that take effect only after the caller got
    /// kOutcomeUnknown.
    std::size_t late_write_percent = 0;
    /// If not empty, only writes to this key lose responses or take effect
    /// late.
    std::string faulty_key;
    /// Number of writes after which all writes fail with kPlatformUnavailable.
    std::size_t writes_until_unavailable = SIZE_MAX;
    /// Percentage of calls that fail with kPlatformUnavailable.
    std::size_t unavailable_percent = 0;
  };

  explicit FakeObjectStore(Options options)
      : m_options(options), m_rng(options.seed) {}

  boost::asio::awaitable<std::optional<StoredObject>> Get(std::string key) {
    co_await Delay();
    ThrowIfUnavailable();
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
    ThrowIfUnavailable();
    if (m_put_calls++ >= m_options.writes_until_unavailable) {
      ThrowUnavailable();
    }
    const bool is_faulty_key =
        m_options.faulty_key.empty() || m_options.faulty_key == key;
    if (is_faulty_key && RandomlyTrue(m_options.late_write_percent)) {
      const auto executor = co_await boost::asio::this_coro::executor;
      ApplyAfter(executor, kMaxLateWriteIterations,
                 [=, this] { Apply(key, value, expected_version); });
      ThrowOutcomeUnknown();
    }
    const PutResult result = Apply(key, value, expected_version);
    if (is_faulty_key && RandomlyTrue(m_options.lost_response_percent)) {
      ThrowOutcomeUnknown();
    }
    co_return result;
  }

  /// Overwrites the value of an existing object, bypassing versions.
  void Overwrite(const std::string& key, nlohmann::json value) {
    m_objects.at(key).value = std::move(value);
  }
  void SetOptions(Options options) { m_options = options; }
  const std::map<std::string, StoredObject>& objects() const {
    return m_objects;
  }
  std::size_t writes() const { return m_writes; }

 private:
  static constexpr std::size_t kMaxDelayIterations = 4;
  static constexpr std::size_t kMaxLateWriteIterations = 40;

  bool RandomlyTrue(std::size_t percent) {
    return UniformIndex(m_rng, 100) < percent;
  }

  boost::asio::awaitable<void> Delay() {
    const auto executor = co_await boost::asio::this_coro::executor;
    for (std::size_t left = UniformIndex(m_rng, kMaxDelayIterations); left > 0;
         --left) {
      co_await boost::asio::post(executor, boost::asio::use_awaitable);
    }
  }

  template <typename Executor>
  void ApplyAfter(Executor executor,
                  std::size_t iterations,
                  std::function<void()> apply) {
    boost::asio::post(executor, [=, this] {
      if (iterations == 0) {
        apply();
      } else {
        ApplyAfter(executor, iterations - 1, apply);
      }
    });
  }

  void ThrowIfUnavailable() {
    if (RandomlyTrue(m_options.unavailable_percent)) {
      ThrowUnavailable();
    }
  }

  [[noreturn]] static void ThrowUnavailable() {
    throw Error({.kind = ErrorKind::kPlatformUnavailable,
                 .message = "the platform is unavailable",
                 .remedy = "wait"});
  }

  [[noreturn]] static void ThrowOutcomeUnknown() {
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
