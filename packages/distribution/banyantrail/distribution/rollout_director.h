#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/distribution/rollout_judge.h"
#include "banyantrail/distribution/rollout_store.h"
#include "banyantrail/distribution/rollout_store_task.h"
#include "banyantrail/wire/rollout_messages.h"

namespace banyantrail {

/// A roll-out as a node knows it from the directives of a judge.
struct KnownRollout {
  RolloutDirectiveMessage directive;
  /// When a judge first read it.
  TimePoint started;
};

using KnownRollouts = std::map<ServiceName, KnownRollout>;

/// The duties of the judge: a RolloutJudge for each roll-out in the store, the
/// directives to all nodes and the writes to the store. Does no I/O; the
/// current time is passed to each call.
class RolloutDirector {
 public:
  struct Options {
    NodeId self;
    /// How often a directive is repeated while the roll-out runs, and while
    /// nodes confirm its promotion.
    Duration repeat_interval = milliseconds(1500);
    Duration promoted_repeat_interval = milliseconds(400);
    /// How long a roll-out is held that the store lacks after a change of era:
    /// the operator writes the lost order again. An order of the same version
    /// within this time is that one, and no restart.
    Duration return_wait = seconds(5);
  };

  /// A directive that is due, and whether its phase is new.
  struct DueDirective {
    RolloutDirectiveMessage message;
    bool is_new_phase = false;
    std::string reason;
  };

  explicit RolloutDirector(Options options) : m_options(std::move(options)) {}

  /// Roll-outs were read from the store. `known` are those that this node knows
  /// from an earlier judge, which are continued.
  void OnRead(const RolloutReadResult& read,
              bool is_list,
              const KnownRollouts& known,
              TimePoint now);

  void OnReport(const NodeId& node,
                const RolloutReportMessage& report,
                TimePoint now);

  /// Decides on all roll-outs and returns the directives that are due.
  std::vector<DueDirective> Tick(
      const std::vector<RolloutJudge::RequiredNode>& required,
      TimePoint now);

  /// The directives of all roll-outs, for nodes that have just joined.
  std::vector<RolloutDirectiveMessage> All(TimePoint now) const;

  std::optional<RolloutWrite> NextWrite();
  void OnWritten(const RolloutWrite& write, std::optional<bool> written);

  /// This node is no longer the judge.
  void Clear() { m_rollouts.clear(); }

 private:
  /// The roll-out is not in a store that has come back from an older copy.
  struct Hold {
    TimePoint until;
    /// What the store shows in its place, if anything.
    std::optional<RolloutObject> shown;
    /// The era of that store.
    std::uint64_t era = 0;
  };

  struct Rollout {
    /// The newest one of this roll-out.
    RolloutObject object;
    StoreRevision id;
    /// Revision of the first object of this roll-out that was seen in the era
    /// of `object`. What has a final state and a lower number is from before.
    StoreRevision first_seen;
    RolloutJudge judge;
    /// Set while the store, after a change of era, lacks the order.
    std::optional<Hold> hold;
    /// Until when an order of the same version is the lost one.
    TimePoint returns_until = TimePoint::min();
    RolloutDecision decision;
    std::optional<RolloutPhase> directed;
    TimePoint directed_at{};
    /// The last era in which the object had a state, now and in the last
    /// directive.
    std::uint64_t state_era = 0;
    std::uint64_t directed_state_era = 0;
    /// The object was deleted: nothing is written.
    bool withdrawn = false;
    /// The state that is being written, and whether its result is unknown until
    /// the object is read again.
    std::optional<RolloutState> writing;
    bool is_in_doubt = false;
    /// The state "completed" may have been written, so the other versions may
    /// have stopped: the decision is not changed until that is known.
    bool may_be_completed = false;
    /// The same when the store has come back from an older copy, for good: what
    /// it shows no longer tells.
    bool has_lost_completion = false;
  };

  void OnObject(const RolloutObject& object,
                const KnownRollouts& known,
                TimePoint now);
  void Start(const RolloutObject& object,
             const KnownRollouts& known,
             TimePoint now);
  static void NoteState(Rollout& rollout);
  void Replace(const RolloutObject& object,
               const KnownRollouts& known,
               TimePoint now);
  void StartHeld(const KnownRollout& known,
                 const std::optional<RolloutObject>& shown,
                 std::uint64_t era,
                 TimePoint now);
  void OnObjectOfNewEra(Rollout& rollout,
                        const RolloutObject& object,
                        const KnownRollouts& known,
                        TimePoint now);
  void OnMissing(const RolloutReadResult& read,
                 const KnownRollouts& known,
                 TimePoint now);
  void Continue(Rollout& rollout, const RolloutObject& object) const;
  void BeginHold(Rollout& rollout,
                 const std::optional<RolloutObject>& shown,
                 std::uint64_t era,
                 TimePoint now) const;
  void EndHolds(TimePoint now);
  static bool IsDecided(const Rollout& rollout);
  static void Withdraw(Rollout& rollout);
  static RolloutState WantedState(const Rollout& rollout);
  Duration RepeatInterval(const Rollout& rollout) const;
  RolloutDirectiveMessage DirectiveFor(const Rollout& rollout,
                                       TimePoint now) const;

  Options m_options;
  std::map<ServiceName, Rollout> m_rollouts;
};

}  // namespace banyantrail
