#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// Declares a service that backend servers can announce themselves for.
struct ServiceObject {
  ServiceName name;
  Labels labels;

  friend bool operator==(const ServiceObject&, const ServiceObject&) = default;
};

/// How one label is compared.
enum class LabelOperator { kIn, kNotIn, kExists, kAbsent };

/// One condition of a selector.
struct LabelRequirement {
  std::string key;
  LabelOperator op = LabelOperator::kExists;
  /// For kIn and kNotIn only.
  std::vector<std::string> values;

  friend bool operator==(const LabelRequirement&,
                         const LabelRequirement&) = default;
};

/// Chooses proxies by their labels. All requirements must hold; a selector
/// without any chooses every proxy.
struct SelectorObject {
  SelectorName name;
  std::vector<LabelRequirement> requirements;

  friend bool operator==(const SelectorObject&,
                         const SelectorObject&) = default;
};

/// A class of work. Priority 0 is the most urgent.
struct RankObject {
  RankName name;
  std::uint8_t priority = 0;
  /// Percentage of a backend server's capacity that this rank keeps whatever
  /// floods in from other ranks. The shares of all ranks sum to at most 100.
  std::uint8_t share_percent = 0;

  friend bool operator==(const RankObject&, const RankObject&) = default;
};

/// Sends matching requests to a service.
struct RoutingRuleObject {
  RuleName name;
  SelectorName selector;
  /// Matches whole path segments: "/orders" matches "/orders/7", not
  /// "/orders2". The longest matching prefix wins.
  std::string path_prefix;
  /// Empty for every method.
  std::vector<std::string> methods;
  ServiceName service;
  RankName rank;
  /// Whether a request may run more than once without harm.
  bool idempotent = false;
  /// How long a caller waits at most; it may ask for less.
  std::chrono::milliseconds deadline{0};

  friend bool operator==(const RoutingRuleObject&,
                         const RoutingRuleObject&) = default;
};

/// An alert rule that operators carry along from an older setup. The system
/// distributes it and reads it back; the users' monitoring evaluates it.
struct AlertRuleObject {
  RuleName name;
  SelectorName selector;
  std::string expression;
  std::chrono::seconds hold_for{0};
  std::string severity;
  Labels annotations;

  friend bool operator==(const AlertRuleObject&,
                         const AlertRuleObject&) = default;
};

using ConfigObject = std::variant<ServiceObject,
                                  SelectorObject,
                                  RankObject,
                                  RoutingRuleObject,
                                  AlertRuleObject>;

/// The kind and name of a declared object; its place in the configuration.
struct ObjectKey {
  /// "service", "selector", "rank", "routing_rule" or "alert_rule".
  std::string kind;
  std::string name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
  friend bool operator==(const ObjectKey&, const ObjectKey&) = default;
};

/// "kind/name".
std::string ToString(const ObjectKey& key);

/// The key of an object.
ObjectKey KeyOf(const ConfigObject& object);

}  // namespace banyantrail
