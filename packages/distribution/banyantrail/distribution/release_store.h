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

/// Why a revision was refused.
enum class ReleaseRefusal {
  /// The content does not have the digest that the sender announced. Another
  /// peer may have the same revision whole.
  kDigestMismatch,
  /// The content is whole but does not compile on this node.
  kDoesNotCompile,
  /// The message contradicts itself: an empty or repeated object key, or a
  /// range of revisions that does not rise.
  kMalformed,
};

/// Stable snake_case name, used in metrics and status reports.
std::string_view ToString(ReleaseRefusal refusal);

/// A refused revision, kept for the status report.
struct RefusedRelease {
  Revision revision = 0;
  std::string digest;
  ReleaseRefusal reason = ReleaseRefusal::kMalformed;
  /// The first fault or the mismatch, in one line.
  std::string detail;

  friend bool operator==(const RefusedRelease&,
                         const RefusedRelease&) = default;
};

/// What became of a received release.
enum class ApplyOutcome {
  kApplied,
  /// The node holds this revision or a greater one.
  kAlreadyHave,
  /// The delta starts from a revision that the node does not hold.
  kNeedsParent,
  kRefused,
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kAlreadyHave;
  /// Present for kRefused.
  std::optional<RefusedRelease> refused = std::nullopt;

  friend bool operator==(const ApplyResult&, const ApplyResult&) = default;
};

/// Holds the release that a node has applied, and recent deltas for peers that
/// are a few revisions behind.
///
/// The revision never decreases, and a release is taken whole or not at all:
/// the digest is verified and the content compiled before the swap. Pure: no
/// clock, no I/O.
class ReleaseStore {
 public:
  struct Options {
    /// Compiles a release that is about to be applied; any fault refuses it.
    std::function<std::vector<Fault>(const Release&)> compile;
    /// Bounds of the window of recent deltas.
    std::size_t max_deltas = 32;
    std::size_t max_delta_bytes = 256U << 10U;
    /// Off only to show in tests what the check prevents.
    bool verify_digest = true;
    bool only_greater_revisions = true;
  };

  explicit ReleaseStore(Options options);

  /// Applies a received delta, or a whole release when it starts from 0.
  ApplyResult Apply(const ReleaseDeltaMessage& message);

  /// Applies a release that was read from the platform.
  ApplyResult Apply(Release release);

  /// The applied release; revision 0 before the first one.
  const std::shared_ptr<const Release>& current() const { return m_current; }
  Revision revision() const { return m_current->revision; }

  /// What a peer that holds `have_revision` with `have_digest` lacks: a delta
  /// if the window reaches back that far, otherwise the whole release. Without
  /// a value if the peer lacks nothing.
  std::optional<ReleaseDeltaMessage> DeltaFrom(
      Revision have_revision,
      const std::string& have_digest) const;

  /// The whole applied release as one message.
  ReleaseDeltaMessage WholeRelease() const;

  /// The newest refused revision above the applied one.
  const std::optional<RefusedRelease>& last_refused() const {
    return m_last_refused;
  }

  /// Whether this very content was found not to compile here, so that asking
  /// for it again is useless.
  bool IsRefusedForGood(Revision revision, const std::string& digest) const;

 private:
  struct WindowEntry {
    Revision from_revision = 0;
    std::string from_digest;
    Revision to_revision = 0;
    std::vector<ObjectUpdate> updates;
    std::size_t bytes = 0;
  };

  ApplyResult Take(Release release, std::vector<ObjectUpdate> updates);
  ApplyResult Refuse(RefusedRelease refused);
  void Remember(std::vector<ObjectUpdate> updates, const Release& next);
  std::optional<std::size_t> WindowIndex(Revision from,
                                         const std::string& digest) const;

  Options m_options;
  std::shared_ptr<const Release> m_current = std::make_shared<const Release>();
  std::deque<WindowEntry> m_window;
  std::size_t m_window_bytes = 0;
  std::optional<RefusedRelease> m_last_refused;
  std::map<Revision, std::string> m_refused_for_good;
};

/// Bytes of keys and texts.
std::size_t SizeOf(const std::vector<ObjectUpdate>& updates);

/// The updates that turn `from` into `to`.
std::vector<ObjectUpdate> DiffOf(const ObjectTexts& from,
                                 const ObjectTexts& to);

}  // namespace banyantrail
