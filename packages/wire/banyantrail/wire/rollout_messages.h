#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Phase of a roll-out, as the judge directs it and as a node has it in force.
enum class RolloutPhase : std::uint8_t {
  /// The target version gets a fixed share of the requests.
  kCanary = 0,
  /// The target version gets no new requests; the roll-out is undecided.
  kHeld = 1,
  /// The target version gets all requests; the other versions finish theirs.
  kPromoted = 2,
  /// The store has the status "completed".
  kCompleted = 3,
  /// The target version gets no requests. Final within a roll-out.
  kRolledBack = 4,
};

/// Sent by the judge to all nodes when the phase of a roll-out changes, and
/// repeated while the roll-out runs.
struct RolloutDirectiveMessage {
  ServiceName service;
  std::string target_version;
  /// Identifies the roll-out among those of its service: the store's revision
  /// of the object when a judge first read it.
  StoreRevision rollout;
  /// Time since a judge first read the roll-out.
  std::uint32_t age_ms = 0;
  RolloutPhase phase = RolloutPhase::kCanary;
  NodeId judge;
  /// Members that the receiver has to forward this message to.
  std::vector<NodeId> subtree;
  /// The last era of the store in which the order had a state. An order without
  /// one in the same era is another roll-out.
  std::uint64_t state_era = 0;

  friend bool operator==(const RolloutDirectiveMessage&,
                         const RolloutDirectiveMessage&) = default;
  MSGPACK_DEFINE(service,
                 target_version,
                 rollout.number,
                 age_ms,
                 phase,
                 judge,
                 subtree,
                 rollout.era,
                 state_era)
};

/// Sent by a node to the judge: the responses that it got, and its state.
struct RolloutReportMessage {
  ServiceName service;
  StoreRevision rollout;
  /// Together with `sequence` identifies the report, so that a duplicate is not
  /// counted twice.
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  /// The phase in force at the sender.
  RolloutPhase phase = RolloutPhase::kCanary;
  /// Requests in progress at other versions than the target version.
  std::uint32_t others_in_flight = 0;
  /// Pairs of a response class, see ResponseClass, and a count of responses
  /// since the preceding report. The first report to a judge counts all
  /// responses since the roll-out became known.
  std::vector<std::uint32_t> counts;

  friend bool operator==(const RolloutReportMessage&,
                         const RolloutReportMessage&) = default;
  MSGPACK_DEFINE(service,
                 rollout.number,
                 incarnation,
                 sequence,
                 phase,
                 others_in_flight,
                 counts,
                 rollout.era)
};

/// Properties of a response that a roll-out is judged by.
struct ResponseClass {
  /// Number of latency classes. Each is half an octave wide, from 0.5 ms on.
  static constexpr std::uint32_t kLatencyClasses = 32;

  /// Hash of the routing rule. Two rules with the same hash are judged as one.
  std::uint16_t route = 0;
  bool is_target_version = false;
  bool failed = false;
  std::uint8_t latency = 0;

  friend bool operator==(const ResponseClass&, const ResponseClass&) = default;
};

/// The number that stands for a class in RolloutReportMessage.
constexpr std::uint32_t ToNumber(const ResponseClass& response) {
  constexpr std::uint32_t kClasses = ResponseClass::kLatencyClasses;
  return ((static_cast<std::uint32_t>(response.route) * 2 +
           (response.is_target_version ? 1U : 0U)) *
              2 +
          (response.failed ? 1U : 0U)) *
             kClasses +
         response.latency % kClasses;
}

constexpr ResponseClass ResponseClassOf(std::uint32_t number) {
  constexpr std::uint32_t kClasses = ResponseClass::kLatencyClasses;
  const std::uint32_t flags = number / kClasses;
  return {.route = static_cast<std::uint16_t>(flags / 4),
          .is_target_version = (flags / 2) % 2 != 0,
          .failed = flags % 2 != 0,
          .latency = static_cast<std::uint8_t>(number % kClasses)};
}

}  // namespace banyantrail

MSGPACK_ADD_ENUM(banyantrail::RolloutPhase)
