#include "banyantrail/distribution/rollout_director.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>
#include <utility>

namespace banyantrail {
namespace {

bool IsFinal(RolloutState state) {
  return state == RolloutState::kCompleted ||
         state == RolloutState::kRolledBack;
}

bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

RolloutPhase PhaseOf(RolloutState state) {
  return state == RolloutState::kCompleted ? RolloutPhase::kCompleted
                                           : RolloutPhase::kRolledBack;
}

/// Whether the object is the roll-out that the directive was about, and not a
/// later one of the same version. In a new era the store may have lost the
/// state of that roll-out, unless a judge has seen it there.
bool IsSameRollout(const RolloutObject& object,
                   const RolloutDirectiveMessage& directive) {
  if (object.target_version != directive.target_version) {
    return false;
  }
  return object.state != RolloutState::kNone ||
         object.revision == directive.rollout ||
         object.revision.era >
             std::max(directive.rollout.era, directive.state_era);
}

/// Whether an object of a new era is what the store held before the order of a
/// roll-out to `target_version`, of which `since` is a revision in an earlier
/// era: a copy keeps the numbers from before it was made. Without a state it is
/// an order, and the operator's last word counts.
bool IsFromBefore(const RolloutObject& object,
                  const std::string& target_version,
                  StoreRevision since,
                  RolloutPhase phase) {
  const bool is_older =
      object.revision.era > since.era && object.revision.number < since.number;
  if (object.target_version != target_version) {
    return is_older && object.state != RolloutState::kNone;
  }
  return is_older && IsFinal(object.state) && PhaseOf(object.state) != phase;
}

}  // namespace

void RolloutDirector::OnRead(const RolloutReadResult& read,
                             bool is_list,
                             const KnownRollouts& known,
                             TimePoint now) {
  for (const RolloutChange& change : read.changes) {
    const auto rollout = m_rollouts.find(change.object.service);
    if (!change.deleted) {
      OnObject(change.object, known, now);
    } else if (rollout != m_rollouts.end() && rollout->second.hold) {
      rollout->second.hold->shown.reset();
    } else if (rollout != m_rollouts.end() &&
               change.object.revision >= rollout->second.object.revision) {
      Withdraw(rollout->second);
    }
  }
  if (is_list) {
    OnMissing(read, known, now);
  }
}

/// In the list of a new era, an order may be missing until it is written again.
void RolloutDirector::OnMissing(const RolloutReadResult& read,
                                const KnownRollouts& known,
                                TimePoint now) {
  std::set<ServiceName> found;
  for (const RolloutChange& change : read.changes) {
    found.insert(change.object.service);
  }
  const std::uint64_t era = read.resume_after.era;
  for (auto& [service, rollout] : m_rollouts) {
    const std::uint64_t known_era = rollout.object.revision.era;
    if (found.contains(service) || era < known_era) {
      continue;
    }
    if (era == known_era) {
      Withdraw(rollout);
    } else if (rollout.withdrawn) {
      rollout.object.revision = {.era = era};
    } else {
      BeginHold(rollout, std::nullopt, era, now);
    }
  }
  for (const auto& [service, rollout] : known) {
    const RolloutDirectiveMessage& directive = rollout.directive;
    if (!found.contains(service) && !m_rollouts.contains(service) &&
        era > directive.rollout.era && !IsFinal(directive.phase)) {
      StartHeld(rollout, std::nullopt, era, now);
    }
  }
}

void RolloutDirector::OnObject(const RolloutObject& object,
                               const KnownRollouts& known,
                               TimePoint now) {
  const auto found = m_rollouts.find(object.service);
  if (found == m_rollouts.end()) {
    Start(object, known, now);
    return;
  }
  Rollout& rollout = found->second;
  const std::uint64_t known_era = rollout.object.revision.era;
  if (object.revision.era < known_era) {
    return;
  }
  if (object.revision.era > known_era) {
    OnObjectOfNewEra(rollout, object, known, now);
    return;
  }
  if (!rollout.writing) {
    rollout.is_in_doubt = false;
    rollout.may_be_completed = false;
  }
  if (object.revision < rollout.object.revision) {
    return;
  }
  const bool is_restarted = object.state == RolloutState::kNone &&
                            object.revision > rollout.object.revision &&
                            rollout.object.state != RolloutState::kNone &&
                            now >= rollout.returns_until;
  if (rollout.withdrawn || is_restarted ||
      object.target_version != rollout.object.target_version) {
    const bool is_ordered_anew = rollout.withdrawn || is_restarted;
    Replace(object, is_ordered_anew ? KnownRollouts{} : known, now);
    return;
  }
  Continue(rollout, object);
}

/// The first sight of a roll-out in a new era is never a restart: the state may
/// have been lost.
void RolloutDirector::OnObjectOfNewEra(Rollout& rollout,
                                       const RolloutObject& object,
                                       const KnownRollouts& known,
                                       TimePoint now) {
  const std::string& version = rollout.object.target_version;
  if (IsFromBefore(object, version, rollout.first_seen,
                   rollout.judge.phase())) {
    BeginHold(rollout, object, object.revision.era, now);
    return;
  }
  if (object.target_version != version) {
    Replace(object, known, now);
    return;
  }
  rollout.has_lost_completion =
      rollout.has_lost_completion || rollout.may_be_completed;
  rollout.is_in_doubt = false;
  rollout.hold.reset();
  rollout.judge.SetHeld(false);
  rollout.withdrawn = false;
  rollout.first_seen = object.revision;
  rollout.returns_until = now + m_options.return_wait;
  Continue(rollout, object);
}

void RolloutDirector::Continue(Rollout& rollout,
                               const RolloutObject& object) const {
  rollout.object = object;
  NoteState(rollout);
  rollout.judge.SetDuration(object.duration);
  if (IsFinal(object.state)) {
    rollout.has_lost_completion = false;
    rollout.judge.SetFinalPhase(PhaseOf(object.state),
                                "the store has this state");
  }
}

/// Keeps the last era in which the object had a state.
void RolloutDirector::NoteState(Rollout& rollout) {
  if (rollout.object.state != RolloutState::kNone) {
    rollout.state_era =
        std::max(rollout.state_era, rollout.object.revision.era);
  }
}

void RolloutDirector::Replace(const RolloutObject& object,
                              const KnownRollouts& known,
                              TimePoint now) {
  m_rollouts.erase(object.service);
  Start(object, known, now);
}

/// Continues the roll-out with the phase that an earlier judge has directed, or
/// starts it.
void RolloutDirector::Start(const RolloutObject& object,
                            const KnownRollouts& known,
                            TimePoint now) {
  StoreRevision id = object.revision;
  std::uint64_t state_era = 0;
  TimePoint returns_until = TimePoint::min();
  RolloutJudge::Options options{.started = now, .duration = object.duration};
  const auto earlier = known.find(object.service);
  if (earlier != known.end()) {
    const RolloutDirectiveMessage& directive = earlier->second.directive;
    if (IsFromBefore(object, directive.target_version, directive.rollout,
                     directive.phase)) {
      StartHeld(earlier->second, object, object.revision.era, now);
      return;
    }
    if (IsSameRollout(object, directive)) {
      id = directive.rollout;
      state_era = directive.state_era;
      options.started = earlier->second.started;
      options.phase = directive.phase;
      if (object.state == RolloutState::kNone && id.era < object.revision.era) {
        returns_until = now + m_options.return_wait;
      }
    }
  }
  if (options.phase == RolloutPhase::kHeld) {
    options.phase = RolloutPhase::kCanary;
  }
  if (IsFinal(object.state)) {
    options.phase = PhaseOf(object.state);
  }
  const auto started = m_rollouts.insert_or_assign(
      object.service, Rollout{.object = object,
                              .id = id,
                              .first_seen = object.revision,
                              .judge = RolloutJudge(options),
                              .returns_until = returns_until,
                              .state_era = state_era});
  NoteState(started.first->second);
}

/// Holds a roll-out that an earlier judge has directed and the store lacks. Its
/// duration is not known before the order is back.
void RolloutDirector::StartHeld(const KnownRollout& known,
                                const std::optional<RolloutObject>& shown,
                                std::uint64_t era,
                                TimePoint now) {
  const RolloutDirectiveMessage& directive = known.directive;
  const bool is_held = directive.phase == RolloutPhase::kHeld;
  const RolloutJudge::Options options{
      .started = known.started,
      .phase = is_held ? RolloutPhase::kCanary : directive.phase};
  const RolloutObject object{.service = directive.service,
                             .target_version = directive.target_version,
                             .revision = directive.rollout};
  const auto started = m_rollouts.insert_or_assign(
      directive.service, Rollout{.object = object,
                                 .id = directive.rollout,
                                 .first_seen = directive.rollout,
                                 .judge = RolloutJudge(options),
                                 .state_era = directive.state_era});
  BeginHold(started.first->second, shown, era, now);
}

/// A further sight does not extend the hold.
void RolloutDirector::BeginHold(Rollout& rollout,
                                const std::optional<RolloutObject>& shown,
                                std::uint64_t era,
                                TimePoint now) const {
  const TimePoint until =
      rollout.hold ? rollout.hold->until : now + m_options.return_wait;
  rollout.hold = Hold{.until = until, .shown = shown, .era = era};
  rollout.judge.SetHeld(true);
}

/// Whether the roll-out has ended, or its completion may have been written,
/// which has stopped the other versions.
bool RolloutDirector::IsDecided(const Rollout& rollout) {
  return rollout.may_be_completed || rollout.has_lost_completion ||
         IsFinal(rollout.judge.phase());
}

/// What the operator has not written again in time is withdrawn. A decision
/// holds.
void RolloutDirector::EndHolds(TimePoint now) {
  std::vector<RolloutObject> replacing;
  for (auto& [service, rollout] : m_rollouts) {
    if (!rollout.hold || now < rollout.hold->until || IsDecided(rollout)) {
      continue;
    }
    const Hold hold = *rollout.hold;
    if (hold.shown) {
      replacing.push_back(*hold.shown);
    } else {
      rollout.hold.reset();
      rollout.object.revision = {.era = hold.era};
      Withdraw(rollout);
    }
  }
  for (const RolloutObject& object : replacing) {
    Replace(object, {}, now);
  }
}

void RolloutDirector::Withdraw(Rollout& rollout) {
  rollout.withdrawn = true;
  rollout.judge.SetFinalPhase(RolloutPhase::kRolledBack,
                              "the roll-out was withdrawn");
}

void RolloutDirector::OnReport(const NodeId& node,
                               const RolloutReportMessage& report,
                               TimePoint now) {
  const auto found = m_rollouts.find(report.service);
  if (found != m_rollouts.end() && found->second.id == report.rollout) {
    found->second.judge.OnReport(node, report, now);
  }
}

std::vector<RolloutDirector::DueDirective> RolloutDirector::Tick(
    const std::vector<RolloutJudge::RequiredNode>& required,
    TimePoint now) {
  EndHolds(now);
  std::vector<DueDirective> due;
  for (auto& [service, rollout] : m_rollouts) {
    const bool may_change =
        !rollout.may_be_completed && !rollout.has_lost_completion;
    if (may_change) {
      rollout.decision = rollout.judge.Decide(required, now);
    }
    const RolloutPhase phase = rollout.decision.phase;
    const bool is_new_phase = rollout.directed != phase;
    // A directive of another phase is repeated anyway.
    const bool is_new_era =
        IsFinal(phase) && rollout.directed_state_era != rollout.state_era;
    const bool is_repeated =
        !IsFinal(phase) && now - rollout.directed_at >= RepeatInterval(rollout);
    if (!is_new_phase && !is_new_era && !is_repeated) {
      continue;
    }
    rollout.directed = phase;
    rollout.directed_state_era = rollout.state_era;
    rollout.directed_at = now;
    due.push_back({.message = DirectiveFor(rollout, now),
                   .is_new_phase = is_new_phase,
                   .reason = rollout.decision.reason});
  }
  return due;
}

Duration RolloutDirector::RepeatInterval(const Rollout& rollout) const {
  return rollout.decision.phase == RolloutPhase::kPromoted
             ? m_options.promoted_repeat_interval
             : m_options.repeat_interval;
}

RolloutDirectiveMessage RolloutDirector::DirectiveFor(const Rollout& rollout,
                                                      TimePoint now) const {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - rollout.judge.started());
  return {.service = rollout.object.service,
          .target_version = rollout.object.target_version,
          .rollout = rollout.id,
          .age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
              age.count(), 0, std::numeric_limits<std::uint32_t>::max())),
          .phase = rollout.decision.phase,
          .judge = m_options.self,
          .state_era = rollout.state_era};
}

std::vector<RolloutDirectiveMessage> RolloutDirector::All(TimePoint now) const {
  std::vector<RolloutDirectiveMessage> directives;
  for (const auto& [service, rollout] : m_rollouts) {
    if (rollout.directed) {
      directives.push_back(DirectiveFor(rollout, now));
    }
  }
  return directives;
}

/// The state that the store should have.
RolloutState RolloutDirector::WantedState(const Rollout& rollout) {
  if (rollout.decision.phase == RolloutPhase::kRolledBack) {
    return RolloutState::kRolledBack;
  }
  if (rollout.decision.phase == RolloutPhase::kCompleted) {
    return RolloutState::kCompleted;
  }
  return rollout.decision.may_complete ? RolloutState::kCompleted
                                       : RolloutState::kRunning;
}

std::optional<RolloutWrite> RolloutDirector::NextWrite() {
  for (auto& [service, rollout] : m_rollouts) {
    const RolloutState wanted = WantedState(rollout);
    const bool is_due =
        rollout.directed && !rollout.withdrawn && !rollout.hold &&
        !rollout.writing && !rollout.is_in_doubt &&
        !IsFinal(rollout.object.state) && rollout.object.state != wanted;
    if (is_due) {
      rollout.writing = wanted;
      rollout.may_be_completed = wanted == RolloutState::kCompleted;
      return RolloutWrite{.object = rollout.object, .state = wanted};
    }
  }
  return std::nullopt;
}

void RolloutDirector::OnWritten(const RolloutWrite& write,
                                std::optional<bool> written) {
  const auto found = m_rollouts.find(write.object.service);
  const bool is_of_this_rollout =
      found != m_rollouts.end() && found->second.writing;
  if (!is_of_this_rollout) {
    return;
  }
  Rollout& rollout = found->second;
  rollout.writing.reset();
  rollout.is_in_doubt = !written.value_or(false);
  if (rollout.is_in_doubt) {
    return;
  }
  rollout.may_be_completed = false;
  // A state that the store has accepted in an earlier era is lost with it.
  if (write.object.revision.era == rollout.object.revision.era) {
    rollout.object.state = write.state;
    NoteState(rollout);
  }
  if (IsFinal(write.state)) {
    rollout.has_lost_completion = false;
    rollout.judge.SetFinalPhase(PhaseOf(write.state), rollout.decision.reason);
  }
}

}  // namespace banyantrail
