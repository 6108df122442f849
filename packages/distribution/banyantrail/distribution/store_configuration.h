#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "banyantrail/core/boot_clock.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/distribution/configuration_store.h"

namespace banyantrail {

/// What a node knows of the newest configuration in the store: the one that it
/// passed on to be applied, one that it cannot read, and what the store shows,
/// which is older than these once it has come back from an older copy.
///
/// Performs no I/O; time is a parameter.
class StoreConfiguration {
 public:
  struct Options {
    /// Receives each configuration that is not older than the one before.
    std::function<void(std::shared_ptr<const Release>)> on_release;
    /// The store's newest configuration cannot be read.
    std::function<void(const UnreadableRelease&)> on_release_unreadable =
        [](const UnreadableRelease&) {};
    /// Receives the revision that the store shows as its newest, which may be
    /// older than one before.
    std::function<void(Revision)> on_store_head;
    /// The revision that the node has applied, which peers may have sent.
    std::function<Revision()> applied_revision = [] { return Revision{}; };
    /// Receives the revision that the store has just reported as its newest,
    /// and the size in bytes of the difference from the one before, and the
    /// store's era.
    std::function<void(Revision, std::size_t, std::uint64_t)>
        on_store_confirmed = [](Revision, std::size_t, std::uint64_t) {};
    /// Receives the newest revision in the store, and when the linearizable
    /// read or the watch that returned it was sent: at that moment it was the
    /// newest one, or older than this one. See KeyLease.
    std::function<void(Revision, BootTimePoint)> on_store_read =
        [](Revision, BootTimePoint) {};
    /// Counts an event of the given name in the metrics.
    std::function<void(const std::string&)> count_event =
        [](const std::string&) {};
  };

  explicit StoreConfiguration(Options options);

  /// A read that may return what the store has since replaced.
  void OnStaleRead(ReleaseReadResult read);

  /// A linearizable read that returned at `now`.
  void OnRead(ReleaseReadResult read, TimePoint now);

  /// A watch that returned at `now` what has changed, if anything.
  void OnWatched(ReleaseWatchResult watch, TimePoint now);

  /// Reports what the store showed when the call was sent. Not while it is
  /// known to have accepted another configuration that this node cannot read,
  /// which may have removed a key.
  void ReportRead(BootTimePoint sent_at) const;

  /// Confirms to the other nodes what the store of `era` holds. A revision that
  /// this node cannot read is confirmed too, so that they read it themselves:
  /// they may be of another version, and each reports what it cannot apply.
  void Confirm(std::uint64_t era) const;

  /// The newest configuration that was passed on.
  Revision delivered() const { return m_delivered->revision; }
  /// When it was read, unless by a read that may be stale.
  TimePoint delivered_at() const { return m_delivered_at; }

  /// The newest configuration that this node has read or got from a peer,
  /// whether it could apply it or not.
  Revision newest_known() const;

 private:
  void Deliver(Release release, TimePoint now);
  void OnUnreadable(const UnreadableRelease& unreadable);
  void OnShown(Revision revision);
  void SetBehind(bool is_behind, const Revision& shown);
  Revision WithVersion(Revision revision) const;
  /// The newest one that this node could read or has got from a peer.
  Revision in_force() const;

  Options m_options;
  /// The newest configuration passed to on_release, when it was read, and the
  /// size in bytes of its difference from the one before.
  std::shared_ptr<const Release> m_delivered =
      std::make_shared<const Release>();
  TimePoint m_delivered_at{};
  std::size_t m_change_bytes = 0;
  /// The configuration that the store shows as its newest.
  Revision m_shown;
  /// The store shows an older configuration than the newest known one.
  bool m_store_is_behind = false;
  /// The delivered configuration is not the store's newest one.
  bool m_newest_is_unreadable = false;
  /// The newest revision that could not be read, or 0.
  Revision m_unreadable;
};

}  // namespace banyantrail
