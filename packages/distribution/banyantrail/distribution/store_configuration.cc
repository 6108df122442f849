#include "banyantrail/distribution/store_configuration.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/release_store.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("fleet");

/// Size of a change that no node passes on.
constexpr std::size_t kNotPushed = std::numeric_limits<std::size_t>::max();

std::string Text(const Revision& revision) {
  return "version " + std::to_string(revision.version) + " (revision " +
         std::to_string(revision.number) + " of era " +
         std::to_string(revision.era) + ")";
}

}  // namespace

StoreConfiguration::StoreConfiguration(Options options)
    : m_options(std::move(options)) {}

Revision StoreConfiguration::newest_known() const {
  return std::max({delivered(), m_unreadable, m_options.applied_revision()});
}

Revision StoreConfiguration::in_force() const {
  return std::max(delivered(), m_options.applied_revision());
}

void StoreConfiguration::OnStaleRead(ReleaseReadResult read) {
  if (read.unreadable &&
      WithVersion(read.unreadable->revision) > newest_known()) {
    OnUnreadable(*read.unreadable);
  }
  if (read.release && read.release->revision > delivered()) {
    m_delivered = std::make_shared<const Release>(std::move(*read.release));
    m_options.on_release(m_delivered);
  }
}

void StoreConfiguration::OnRead(ReleaseReadResult read, TimePoint now) {
  if (read.unreadable) {
    OnUnreadable(*read.unreadable);
  } else if (read.release) {
    Deliver(std::move(*read.release), now);
  } else {
    OnShown({});
  }
}

void StoreConfiguration::OnWatched(ReleaseWatchResult watch, TimePoint now) {
  if (watch.release) {
    Deliver(std::move(*watch.release), now);
  }
  if (watch.unreadable) {
    OnUnreadable(*watch.unreadable);
  }
}

/// Ignores a configuration that is older than the delivered one.
void StoreConfiguration::Deliver(Release release, TimePoint now) {
  m_newest_is_unreadable = false;
  OnShown(release.revision);
  if (release.revision < delivered()) {
    return;
  }
  if (release.revision != delivered()) {
    m_change_bytes = SizeOf(DiffOf(m_delivered->objects, release.objects));
    m_delivered_at = now;
  }
  m_delivered = std::make_shared<const Release>(std::move(release));
  m_options.on_release(m_delivered);
}

/// The store has accepted a configuration that this node cannot apply, so that
/// the delivered one is no longer the newest. One with a version older than a
/// known one is what a store shows that has come back from an older copy. An
/// unreadable one may have no version, and then counts as a newer one of the
/// version that is known.
void StoreConfiguration::OnUnreadable(const UnreadableRelease& unreadable) {
  const Revision revision = WithVersion(unreadable.revision);
  if (revision < newest_known()) {
    m_newest_is_unreadable = false;
    OnShown(revision);
    return;
  }
  m_newest_is_unreadable = true;
  m_unreadable = std::max(m_unreadable, revision);
  if (revision == newest_known()) {
    SetBehind(false, revision);
  }
  m_options.on_release_unreadable(
      {.revision = revision, .reason = unreadable.reason});
}

/// The revision of a configuration whose version cannot be read: a newer one of
/// the version that is known, here or by way of peers.
Revision StoreConfiguration::WithVersion(Revision revision) const {
  const Revision known = newest_known();
  if (!IsComparable(revision, known)) {
    revision.version = known.version;
  }
  return revision;
}

/// The store shows `revision` as its newest configuration. If that is older
/// than one that was read, the store has come back from an older copy, and the
/// operator has not written again yet. A peer may have sent a newer one while
/// the response was on its way; that counts from an earlier era alone.
void StoreConfiguration::OnShown(Revision revision) {
  m_shown = revision;
  m_options.on_store_head(revision);
  const bool is_behind = revision < std::max(delivered(), m_unreadable) ||
                         Lacks(revision, m_options.applied_revision());
  SetBehind(is_behind, revision);
}

void StoreConfiguration::SetBehind(bool is_behind, const Revision& shown) {
  if (is_behind == m_store_is_behind) {
    return;
  }
  m_store_is_behind = is_behind;
  const std::string revisions = "The store shows " + Text(shown) + ", and " +
                                Text(in_force()) + " is in force";
  if (is_behind) {
    m_options.count_event("store_is_behind");
    kLog.Warn(revisions +
              " and stays so: the store lacks what it has accepted. Write the "
              "configuration again.");
  } else {
    kLog.Info(revisions + ": the store is no longer behind.");
  }
}

void StoreConfiguration::ReportRead(BootTimePoint sent_at) const {
  if (!m_newest_is_unreadable && !Lacks(m_shown, m_unreadable)) {
    m_options.on_store_read(m_shown, sent_at);
  }
}

void StoreConfiguration::Confirm(std::uint64_t era) const {
  if (m_newest_is_unreadable) {
    m_options.on_store_confirmed(m_unreadable, kNotPushed, era);
  } else {
    m_options.on_store_confirmed(in_force(), m_change_bytes, era);
  }
}

}  // namespace banyantrail
