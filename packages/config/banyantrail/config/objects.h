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

/// Declares a service that backend servers can register for.
struct ServiceObject {
  ServiceName name;
  Labels labels;

  friend bool operator==(const ServiceObject&, const ServiceObject&) = default;
};

/// Comparison operator of a label requirement.
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

/// Selects proxies by their labels. All requirements must hold; a selector
/// without requirements matches every proxy.
struct SelectorObject {
  SelectorName name;
  std::vector<LabelRequirement> requirements;

  friend bool operator==(const SelectorObject&,
                         const SelectorObject&) = default;
};

/// A priority class of requests. Priority 0 is the most urgent.
struct RankObject {
  RankName name;
  std::uint8_t priority = 0;
  /// Percentage of a backend server's capacity that is reserved for this rank
  /// regardless of the load from other ranks. The shares of all ranks sum to at
  /// most 100.
  std::uint8_t share_percent = 0;

  friend bool operator==(const RankObject&, const RankObject&) = default;
};

/// One target of a weighted traffic split.
struct WeightedService {
  ServiceName service;
  /// Share of the requests, relative to the sum of all weights of the split.
  std::uint32_t weight = 0;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// Routes matching requests to a service or a weighted split of services.
struct RoutingRuleObject {
  RuleName name;
  SelectorName selector;
  /// In lower case, without a port. Empty matches every host; a rule with a
  /// host takes precedence over one without.
  std::string host;
  /// Matches whole path segments: "/orders" matches "/orders/7", not
  /// "/orders2"; "/orders/" matches only paths below. The longest matching
  /// prefix wins.
  std::string path_prefix;
  /// Empty matches every method.
  std::vector<std::string> methods;
  /// Empty if `split` is used.
  ServiceName service;
  /// Weighted traffic split. Empty if `service` gets all requests.
  std::vector<WeightedService> split;
  RankName rank;
  /// Whether executing a request more than once has the same effect as once.
  bool idempotent = false;
  /// Maximum time for a request; a caller may ask for less.
  std::chrono::milliseconds deadline{0};
  /// Response time up to which a response has its full value to the caller. 0
  /// when not declared.
  std::chrono::milliseconds target_latency{0};
  /// Maximum number of backend servers tried for one request, the first
  /// included. 0 leaves it to the retry policy.
  std::uint32_t max_attempts = 0;
  /// Whether requests without a team's key are accepted. Has no effect if no
  /// teams are declared.
  bool allow_anonymous = false;
  /// If true, matching requests are refused. Shorter prefixes do not match them
  /// instead, so they cannot reach another service.
  bool disabled = false;

  friend bool operator==(const RoutingRuleObject&,
                         const RoutingRuleObject&) = default;
};

/// An alert rule imported from an existing deployment. It is distributed and
/// returned as declared, and evaluated by the users' own monitoring.
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

/// Size limits and timeouts for requests from callers.
struct CallerLimitsObject {
  CallerLimitsName name;
  std::uint32_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  /// Maximum time to receive a request's head.
  std::chrono::milliseconds header_timeout{0};
  /// Maximum idle time of a connection between requests.
  std::chrono::milliseconds idle_timeout{0};
  /// Maximum number of requests of a connection that run at the same time; 1
  /// disables pipelining. 0 leaves it to the settings of the node.
  std::uint32_t max_pipelined_requests = 0;
  /// Maximum bytes of such requests and of responses that wait for their turn.
  /// 0 leaves it to the settings of the node.
  std::uint64_t max_pipelined_bytes = 0;

  friend bool operator==(const CallerLimitsObject&,
                         const CallerLimitsObject&) = default;
};

/// A team that sends requests, identified by the key that each request carries.
struct TeamObject {
  TeamName name;
  /// SHA-256 of each key, in lower-case hexadecimal. The keys themselves are
  /// not part of the configuration.
  std::vector<std::string> key_digests;
  /// Takes precedence over the rank of the routing rule. Empty if not declared.
  RankName rank;
  /// Requests per second that the team may send through all nodes together,
  /// also fractions of one. 0 is no limit.
  double requests_per_s = 0;
  /// Number of requests that the team may send at once above that rate.
  std::uint32_t burst = 0;
  /// If true, requests with a key of the team are refused.
  bool disabled = false;

  friend bool operator==(const TeamObject&, const TeamObject&) = default;
};

using ConfigObject = std::variant<ServiceObject,
                                  SelectorObject,
                                  RankObject,
                                  RoutingRuleObject,
                                  AlertRuleObject,
                                  CallerLimitsObject,
                                  TeamObject>;

/// Kind and name, which identify an object in the configuration.
struct ObjectKey {
  /// "service", "selector", "rank", "routing_rule", "alert_rule",
  /// "caller_limits" or "team".
  std::string kind;
  std::string name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
  friend bool operator==(const ObjectKey&, const ObjectKey&) = default;
};

/// "kind/name".
std::string ToString(const ObjectKey& key);

ObjectKey KeyOf(const ConfigObject& object);

}  // namespace banyantrail
