#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/compile.h"
#include "banyantrail/config/object_store.h"
#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/config/release_head.h"
#include "banyantrail/config/release_loader.h"
#include "banyantrail/core/errors.h"

/// Publishes a proposed change as the next release in the platform's store.
namespace banyantrail {

struct PublishOptions {
  /// Wall-clock time for the history, ISO 8601 in UTC.
  std::string time;
  /// Maximum number of attempts to merge the change and replace the head. An
  /// attempt fails if a concurrent change replaces the head first or the
  /// store's response is lost.
  int max_attempts = 16;
  /// A release that the caller already has, for instance the applied one, whose
  /// chunks need not be read. May be null.
  std::shared_ptr<const Release> known_release;
};

namespace detail {

/// The state of one call of Publish.
template <AsyncObjectStore Store>
class PublishOperation {
 public:
  PublishOperation(Store& store,
                   const ChangeProposal& proposal,
                   PublishOptions options)
      : m_store(&store), m_proposal(&proposal), m_options(std::move(options)) {}

  boost::asio::awaitable<PublishOutcome> Run() {
    std::string message = "there were too many concurrent changes";
    std::string remedy = "apply again";
    try {
      for (int i = 0; i < m_options.max_attempts; ++i) {
        std::optional<PublishOutcome> outcome = co_await Attempt();
        if (outcome) {
          co_return std::move(*outcome);
        }
      }
    } catch (const Error& error) {
      message = error.message();
      remedy = error.remedy();
    }
    co_return NotAccepted(std::move(message), std::move(remedy));
  }

 private:
  /// A write of the head whose response was lost.
  struct UnknownWrite {
    /// The version of the head on which the write was conditional.
    std::uint64_t expected_version = 0;
    ReleaseNumber revision = 0;
  };

  /// Returns nullopt if another attempt is needed: a concurrent change replaced
  /// the head first, or the response to the write of the head was lost.
  boost::asio::awaitable<std::optional<PublishOutcome>> Attempt() {
    std::optional<VersionedHead> found = co_await LoadHead(*m_store);
    const VersionedHead base = found ? std::move(*found) : VersionedHead{};
    if (const auto revision = FindChange(base.head, m_proposal->change)) {
      co_return Accepted(*revision);
    }
    if (UnknownChangeMayBeEvicted(base)) {
      co_return NotAccepted(
          "too many changes followed a write whose response was lost",
          "search the history for the change");
    }
    ResolveUnknownWrite(base);
    Release release = co_await LoadBase(base);
    MergeResult merged = MergeChange(release, *m_proposal);
    if (!merged.conflicts.empty()) {
      co_return Conflict(std::move(merged.conflicts));
    }
    if (!merged.modified) {
      co_return Accepted(base.head.revision);
    }
    co_return co_await CommitNext(base, std::move(merged.objects));
  }

  boost::asio::awaitable<Release> LoadBase(const VersionedHead& base) {
    if (base.version == 0) {
      co_return Release{};
    }
    co_return co_await LoadRelease(*m_store, base.head,
                                   m_options.known_release);
  }

  boost::asio::awaitable<std::optional<PublishOutcome>> CommitNext(
      const VersionedHead& base,
      ObjectTexts objects) {
    const std::vector<ReleaseChunk> chunks = SplitIntoChunks(objects);
    const ReleaseHead next =
        NextHead(base.head, *m_proposal, objects, chunks, m_options.time);
    Release release{.revision = {.number = next.revision},
                    .digest = next.digest,
                    .change = next.change,
                    .objects = std::move(objects)};
    CompileResult compiled = CompileRelease(release);
    if (!compiled.config) {
      co_return Invalid(std::move(compiled.faults));
    }
    co_await StoreNewChunks(base.head, chunks);
    co_await ArchiveHead(base);
    const bool replaced = co_await ReplaceHead(base, next);
    if (!replaced) {
      co_return std::nullopt;
    }
    PublishOutcome outcome = Accepted(next.revision);
    outcome.release = std::move(release);
    co_return outcome;
  }

  boost::asio::awaitable<void> StoreNewChunks(
      const ReleaseHead& base,
      const std::vector<ReleaseChunk>& chunks) {
    for (const ReleaseChunk& chunk : chunks) {
      const bool is_in_base =
          std::ranges::find(base.chunks, chunk.digest) != base.chunks.end();
      if (!is_in_base) {
        co_await CreateImmutable(ChunkKey(chunk.digest), ToJson(chunk));
      }
    }
  }

  boost::asio::awaitable<void> ArchiveHead(const VersionedHead& base) {
    if (base.version != 0) {
      co_await CreateImmutable(RevisionKey(base.head.revision),
                               ToJson(base.head));
    }
  }

  /// Creates an immutable object. An object that already exists under the key
  /// has the same content. After a lost response, a read shows whether the
  /// object was created.
  boost::asio::awaitable<void> CreateImmutable(std::string key,
                                               nlohmann::json value) {
    for (int i = 0; i < kCreateAttempts; ++i) {
      if (co_await CreateConfirmed(key, value)) {
        co_return;
      }
      const std::optional<StoredObject> stored = co_await m_store->Get(key);
      if (stored) {
        co_return;
      }
    }
    throw Error({.kind = ErrorKind::kPlatformUnavailable,
                 .message = "the platform's store did not confirm a write",
                 .remedy = "apply again when the platform is reachable"});
  }

  /// Returns false if the response of the store was lost.
  boost::asio::awaitable<bool> CreateConfirmed(const std::string& key,
                                               const nlohmann::json& value) {
    try {
      co_await m_store->Put(key, value, kMustNotExist);
      co_return true;
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kOutcomeUnknown) {
        throw;
      }
    }
    co_return false;
  }

  /// Returns true only if the store confirmed that this call replaced the head.
  boost::asio::awaitable<bool> ReplaceHead(const VersionedHead& base,
                                           const ReleaseHead& next) {
    const std::string key(kHeadKey);
    const nlohmann::json value = ToJson(next);
    try {
      const PutResult result = co_await m_store->Put(key, value, base.version);
      co_return result.status == PutStatus::kWritten;
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kOutcomeUnknown) {
        throw;
      }
    }
    m_unknown_write = UnknownWrite{.expected_version = base.version,
                                   .revision = next.revision};
    co_return false;
  }

  /// A conditional write can no longer take effect once the version of the head
  /// differs from the expected one.
  void ResolveUnknownWrite(const VersionedHead& base) {
    if (m_unknown_write && m_unknown_write->expected_version != base.version) {
      m_unknown_write.reset();
    }
  }

  /// Whether the change may have been accepted by the unknown write and since
  /// been evicted from the recent changes of the head.
  bool UnknownChangeMayBeEvicted(const VersionedHead& base) const {
    return m_unknown_write &&
           base.head.revision >= m_unknown_write->revision + kMaxRecentChanges;
  }

  static PublishOutcome Accepted(ReleaseNumber revision) {
    return {.status = PublishStatus::kAccepted, .revision = revision};
  }

  static PublishOutcome Conflict(std::vector<ChangeConflict> conflicts) {
    return {.status = PublishStatus::kConflict,
            .conflicts = std::move(conflicts),
            .message = "other changes modified the same objects",
            .remedy = std::string(kConflictRemedy)};
  }

  static PublishOutcome Invalid(std::vector<Fault> faults) {
    return {.status = PublishStatus::kInvalid,
            .faults = std::move(faults),
            .message = "the configuration would not be valid with this change",
            .remedy = "correct the faults and apply again"};
  }

  PublishOutcome NotAccepted(std::string message, std::string remedy) const {
    if (m_unknown_write) {
      return {.status = PublishStatus::kOutcomeUnknown,
              .message = "the response to the write was lost; " + message,
              .remedy = "apply again under the same change id"};
    }
    return {.status = PublishStatus::kNotRun,
            .message = std::move(message),
            .remedy = std::move(remedy)};
  }

  static constexpr int kCreateAttempts = 4;
  static constexpr std::uint64_t kMustNotExist = 0;

  Store* m_store;
  const ChangeProposal* m_proposal;
  PublishOptions m_options;
  std::optional<UnknownWrite> m_unknown_write;
};

}  // namespace detail

/// Merges a change into the newest release and replaces the head by a
/// conditional write. The chunks and the archived previous head are written
/// first, so that everything a head refers to exists. Errors of the store and
/// faults of the proposal are reported in the outcome, not thrown. `store` and
/// `proposal` must outlive the coroutine.
template <AsyncObjectStore Store>
boost::asio::awaitable<PublishOutcome> Publish(Store& store,
                                               const ChangeProposal& proposal,
                                               PublishOptions options) {
  detail::PublishOperation<Store> operation(store, proposal,
                                            std::move(options));
  co_return co_await operation.Run();
}

}  // namespace banyantrail
