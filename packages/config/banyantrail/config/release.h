#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "banyantrail/config/objects.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Object key ("kind/name") to canonical JSON of the object.
using ObjectTexts = std::map<std::string, std::string>;

/// One accepted configuration as it is stored and sent: whole and immutable.
struct Release {
  Revision revision = 0;
  /// Digest of the objects' canonical text, see DigestOf in release_digest.h.
  std::string digest;
  ChangeId change;
  ObjectTexts objects;

  friend bool operator==(const Release&, const Release&) = default;
};

/// A revision compiled for use: typed objects with every reference resolved.
struct CompiledConfig {
  Revision revision = 0;
  std::vector<ServiceObject> services;
  std::vector<SelectorObject> selectors;
  std::vector<RankObject> ranks;
  std::vector<RoutingRuleObject> routing_rules;
  std::vector<AlertRuleObject> alert_rules;
  /// At most one.
  std::vector<CallerLimitsObject> caller_limits;

  friend bool operator==(const CompiledConfig&,
                         const CompiledConfig&) = default;
};

/// One fault found in declarations.
struct Fault {
  /// File or object, and the place in it, for example
  /// "routing_rule/orders: service".
  std::string place;
  std::string message;
  std::string remedy;

  friend bool operator==(const Fault&, const Fault&) = default;
};

}  // namespace banyantrail
