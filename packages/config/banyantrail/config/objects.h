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

/// One of the services that a routing rule divides its requests among.
struct WeightedService {
  ServiceName service;
  /// Its part of the requests, relative to the sum of all weights.
  std::uint32_t weight = 0;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// Sends matching requests to a service.
struct RoutingRuleObject {
  RuleName name;
  SelectorName selector;
  /// In lower case, without a port. Empty for every host; a rule with a host
  /// goes before one without.
  std::string host;
  /// Matches whole path segments: "/orders" matches "/orders/7", not
  /// "/orders2"; "/orders/" matches only paths below. The longest matching
  /// prefix wins.
  std::string path_prefix;
  /// Empty for every method.
  std::vector<std::string> methods;
  /// Empty when `split` names the services.
  ServiceName service;
  /// Divides the requests by weight. Empty when `service` takes all.
  std::vector<WeightedService> split;
  RankName rank;
  /// Whether a request may run more than once without harm.
  bool idempotent = false;
  /// How long a caller waits at most; it may ask for less.
  std::chrono::milliseconds deadline{0};
  /// The time within which an answer is of full use. 0 when not declared.
  std::chrono::milliseconds target_latency{0};
  /// Backend servers that may get one request, the first included. 0 leaves
  /// it to the retry policy.
  std::uint32_t max_attempts = 0;

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

/// What callers may send, and how long they may take.
struct CallerLimitsObject {
  CallerLimitsName name;
  std::uint32_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  /// Bounds the arrival of a request's head.
  std::chrono::milliseconds header_timeout{0};
  /// How long a connection may idle between requests.
  std::chrono::milliseconds idle_timeout{0};

  friend bool operator==(const CallerLimitsObject&,
                         const CallerLimitsObject&) = default;
};

using ConfigObject = std::variant<ServiceObject,
                                  SelectorObject,
                                  RankObject,
                                  RoutingRuleObject,
                                  AlertRuleObject,
                                  CallerLimitsObject>;

/// The kind and name of a declared object; its place in the configuration.
struct ObjectKey {
  /// "service", "selector", "rank", "routing_rule", "alert_rule" or
  /// "caller_limits".
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
