#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/distribution/rollout_director.h"
#include "banyantrail/distribution/version_evidence.h"
#include "banyantrail/traffic/exposure_control.h"
#include "banyantrail/traffic/rollout_counter.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// What every node does in a roll-out: puts the directives of the judge into
/// force, reports responses and its state, and stops a version that its own
/// responses show to be bad. Does no I/O; the current time is passed to each
/// call.
class RolloutParticipant {
 public:
  struct Report {
    NodeId judge;
    RolloutReportMessage message;
  };

  RolloutParticipant(ExposureControl& exposure, RolloutCounter& counter)
      : m_exposure(exposure), m_counter(counter) {}

  void OnDirective(const RolloutDirectiveMessage& directive, TimePoint now);

  /// The reports that are due. `incarnation` is that of this run of the node.
  std::vector<Report> TakeDueReports(Incarnation incarnation, TimePoint now);

  const KnownRollouts& known() const { return m_known; }

 private:
  /// What was reported of a roll-out.
  struct Reported {
    NodeId judge;
    ResponseCounts counts;
    TimePoint at{};
    RolloutPhase phase = RolloutPhase::kCanary;
    bool has_others = false;
    /// The judge needs a report even if nothing has changed.
    bool is_requested = true;
    /// Responses that the own evidence contains.
    ResponseCounts judged;
    VersionEvidence evidence;
  };

  static bool IsDue(const Reported& reported,
                    const RolloutReportMessage& report,
                    TimePoint now);
  void JudgeOwnResponses(const ServiceName& service,
                         Reported& reported,
                         const ResponseCounts& counts);

  ExposureControl& m_exposure;
  RolloutCounter& m_counter;
  KnownRollouts m_known;
  std::map<ServiceName, Reported> m_reported;
  std::uint64_t m_sequence = 0;
};

}  // namespace banyantrail
