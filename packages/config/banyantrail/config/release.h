#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyantrail/config/objects.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Maps object keys ("kind/name") to the canonical JSON of the objects.
using ObjectTexts = std::map<std::string, std::string>;

/// A complete, immutable accepted configuration in the form in which it is
/// stored and distributed.
struct Release {
  Revision revision;
  /// DigestOf(objects), see release_digest.h.
  std::string digest;
  ChangeId change;
  ObjectTexts objects;

  friend bool operator==(const Release&, const Release&) = default;
};

/// A compiled release: typed objects in which every reference is known to
/// resolve.
struct CompiledConfig {
  Revision revision;
  std::vector<ServiceObject> services;
  std::vector<SelectorObject> selectors;
  std::vector<RankObject> ranks;
  std::vector<RoutingRuleObject> routing_rules;
  std::vector<AlertRuleObject> alert_rules;
  /// At most one.
  std::vector<CallerLimitsObject> caller_limits;
  std::vector<TeamObject> teams;

  friend bool operator==(const CompiledConfig&,
                         const CompiledConfig&) = default;
};

/// A validation error in declarations, messages or stored values.
struct Fault {
  /// Location of the fault: a file or object and the field in it, for example
  /// "routing_rule/orders: service".
  std::string place;
  std::string message;
  std::string remedy;

  friend bool operator==(const Fault&, const Fault&) = default;
};

}  // namespace banyantrail
