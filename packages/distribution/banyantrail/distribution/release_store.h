#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/config/release.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/wire/peer_messages.h"

namespace banyantrail {

/// Why a release was refused.
enum class ReleaseRefusal {
  /// The content does not match the digest in the message. Another peer may
  /// have an intact copy of the revision.
  kDigestMismatch,
  /// The digest matches, but the content does not compile on this node.
  kDoesNotCompile,
  /// The platform's store has the revision in a form that this node cannot
  /// read.
  kUnreadable,
  /// The message has an empty or duplicate object key, or a target revision
  /// that is not greater than its base revision.
  kMalformed,
};

/// Stable snake_case name, used in metrics and status reports.
std::string_view ToString(ReleaseRefusal refusal);

/// A refused release, kept for the status report.
struct RefusedRelease {
  Revision revision;
  std::string digest;
  ReleaseRefusal reason = ReleaseRefusal::kMalformed;
  /// One line: the first compile error, the actual digest, or what is
  /// malformed.
  std::string detail;

  friend bool operator==(const RefusedRelease&,
                         const RefusedRelease&) = default;
};

/// The result of applying a release.
enum class ApplyOutcome {
  kApplied,
  /// The node already holds this revision or a greater one.
  kAlreadyHave,
  /// The delta is based on a revision other than the node's current one.
  kNeedsParent,
  kRefused,
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kAlreadyHave;
  /// Set if the outcome is kRefused.
  std::optional<RefusedRelease> refused = std::nullopt;

  friend bool operator==(const ApplyResult&, const ApplyResult&) = default;
};

/// Holds the release that a node has applied, and a window of recent deltas for
/// peers that are a few revisions behind.
///
/// The revision never decreases, and a release is applied atomically: its
/// digest is verified and its content compiled before it replaces the current
/// one. Uses no clock and performs no I/O.
class ReleaseStore {
 public:
  struct Options {
    /// Compiles a release before it is applied; any fault refuses the release.
    std::function<std::vector<Fault>(const Release&)> compile;
    /// Limits of the window of recent deltas.
    std::size_t max_deltas = 32;
    std::size_t max_delta_bytes = 256U << 10U;
    /// Disabled only in tests that show what these two checks prevent.
    bool verify_digest = true;
    bool require_greater_revision = true;
  };

  explicit ReleaseStore(Options options);

  /// Applies a received delta, or a whole release if it has no `from_revision`.
  ApplyResult Apply(const ReleaseDeltaMessage& message);

  /// Applies a release that was read from the platform.
  ApplyResult Apply(Release release);

  /// Records a revision in the platform's store that this node cannot read.
  ApplyResult RefuseUnreadable(Revision revision, const std::string& reason);

  /// The applied release; revision 0 before the first one.
  const std::shared_ptr<const Release>& current() const { return m_current; }
  Revision revision() const { return m_current->revision; }

  /// The update for a peer that holds `have_revision` with `have_digest`: a
  /// delta if the window contains that revision and the delta is smaller than
  /// the whole release, otherwise the whole release. nullopt if the peer is not
  /// behind.
  std::optional<ReleaseDeltaMessage> DeltaFrom(
      Revision have_revision,
      const std::string& have_digest) const;

  /// The whole applied release as one message.
  ReleaseDeltaMessage WholeRelease() const;

  /// The newest refused revision above the applied one.
  const std::optional<RefusedRelease>& last_refused() const {
    return m_last_refused;
  }

  /// Whether the release with this revision and digest failed to compile on
  /// this node, so that requesting it again cannot succeed.
  bool IsPermanentlyRefused(Revision revision, const std::string& digest) const;

 private:
  struct WindowEntry {
    Revision from_revision;
    std::string from_digest;
    Revision to_revision;
    std::vector<ObjectUpdate> updates;
    std::size_t bytes = 0;
  };

  ApplyResult VerifyAndApply(Release release,
                             std::vector<ObjectUpdate> updates);
  ApplyResult Refuse(RefusedRelease refused);
  void AddToWindow(std::vector<ObjectUpdate> updates, const Release& next);
  std::optional<std::size_t> FindInWindow(Revision from,
                                          const std::string& digest) const;

  Options m_options;
  std::shared_ptr<const Release> m_current = std::make_shared<const Release>();
  std::deque<WindowEntry> m_window;
  std::size_t m_window_bytes = 0;
  std::optional<RefusedRelease> m_last_refused;
  std::map<Revision, std::string> m_permanently_refused;
};

/// Total size of keys and JSON texts in bytes.
std::size_t SizeOf(const std::vector<ObjectUpdate>& updates);

/// The updates that turn `from` into `to`.
std::vector<ObjectUpdate> DiffOf(const ObjectTexts& from,
                                 const ObjectTexts& to);

}  // namespace banyantrail
