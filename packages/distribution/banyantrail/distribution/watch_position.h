#pragma once

#include <algorithm>
#include <utility>

#include "banyantrail/core/revision.h"

namespace banyantrail {

/// From where a node watches the store, and whether it has to read the whole
/// configuration before. Performs no I/O.
class WatchPosition {
 public:
  StoreRevision revision() const { return m_revision; }

  /// Changes may have been missed that the next watch does not report.
  bool must_read() const { return m_must_read; }
  void OnChangesMissed() { m_must_read = true; }

  /// The next read has to name the revision from which a watch can go on.
  bool is_lost() const { return m_is_lost; }

  /// Revisions of an earlier era say nothing about the store any more.
  void OnEraChanged() {
    m_must_read = true;
    Lose();
  }

  /// The store does not have the changes since the position. Returns whether it
  /// lacked those since the read before, too.
  bool OnHistoryGone() {
    Lose();
    return std::exchange(m_history_is_gone, true);
  }

  /// The whole configuration was read as of this revision. A read within an era
  /// may name no more than the revision of the configuration, which does not
  /// move the watch back.
  void OnRead(StoreRevision as_of) {
    m_must_read = false;
    m_is_lost = false;
    m_revision =
        as_of.era == m_revision.era ? std::max(m_revision, as_of) : as_of;
  }

  /// The store has the history of the watch.
  void OnHistoryKept() { m_history_is_gone = false; }

  /// A watch has reported all changes up to this revision.
  void OnWatched(StoreRevision resume_after) {
    m_revision = std::max(m_revision, resume_after);
  }

 private:
  void Lose() {
    m_revision = {};
    m_is_lost = true;
  }

  StoreRevision m_revision;
  bool m_must_read = true;
  bool m_is_lost = false;
  /// The store did not have the history for the last watch.
  bool m_history_is_gone = false;
};

}  // namespace banyantrail
