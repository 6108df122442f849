#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/domain_status.h"
#include "banyantrail/config/release.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

/// Computes on which proxies each rule is in force, from the relays' reports.
namespace banyantrail::ctl {

/// A relay's summary of its failure domain, and its age.
struct ReportedDomain {
  DomainStatus status;
  milliseconds age{0};

  friend bool operator==(const ReportedDomain&,
                         const ReportedDomain&) = default;
};

/// A proxy in the membership table of the queried node.
struct MemberProxy {
  NodeId proxy;
  DomainId domain;

  friend bool operator==(const MemberProxy&, const MemberProxy&) = default;
};

/// What the store shows as its newest configuration.
struct ShownConfiguration {
  /// 0 if the store has no configuration.
  ReleaseNumber revision = 0;
  /// The operator's version in hexadecimal; empty if there is none.
  std::string version;
  std::uint64_t era = 0;

  friend bool operator==(const ShownConfiguration&,
                         const ShownConfiguration&) = default;
};

/// The response to GET /v1/status, and the proxies that it should cover.
struct FleetStatus {
  /// The newest revision that the queried node knows.
  ReleaseNumber revision = 0;
  /// The operator's version of that revision in hexadecimal; empty if it has
  /// none, or if the node is of a build that does not report it.
  std::string version;
  std::uint64_t era = 0;
  /// Empty if the queried node does not read the store itself.
  std::optional<ShownConfiguration> store;
  /// The store shows something older than what is in force at the node.
  bool store_is_behind = false;
  bool platform_reachable = false;
  std::vector<ReportedDomain> domains;
  /// Members that no relay reports get the state kUnknown.
  std::vector<MemberProxy> members;

  friend bool operator==(const FleetStatus&, const FleetStatus&) = default;
};

enum class RuleState {
  /// A fresh report says that the proxy applied the rule as declared.
  kInForce,
  /// A fresh report says that the proxy did not apply the rule as declared.
  kNotInForce,
  /// The rule's selector does not choose the proxy.
  kNotChosen,
  /// There is no fresh report of the proxy, or it lacks the labels, or the
  /// content of the reported revision cannot be read.
  kUnknown,
};

/// Returns the name of a state in JSON output, which must not change.
std::string_view ToString(RuleState state);

/// The state of one rule on one proxy.
struct ProxyRuleStatus {
  NodeId proxy;
  DomainId domain;
  RuleState state = RuleState::kUnknown;
  /// The reason for the state.
  std::string why;
  /// With kUnknown: wall-clock time of the last report; empty if there is none.
  std::string since;

  friend bool operator==(const ProxyRuleStatus&,
                         const ProxyRuleStatus&) = default;
};

/// The state of one rule on every proxy.
struct RuleStatus {
  /// Object key, such as "routing_rule/orders".
  std::string rule;
  std::vector<ProxyRuleStatus> proxies;

  friend bool operator==(const RuleStatus&, const RuleStatus&) = default;
};

struct RuleStatusOptions {
  /// Proxies in an older summary are unknown. Relays write a summary every 10 s
  /// when nothing changes.
  milliseconds max_report_age{15'000};
};

/// Computes the status of each rule in `declared`. `releases` holds the objects
/// of the revisions that proxies reported, as far as they could be read; a rule
/// is unknown on a proxy whose revision is missing.
std::vector<RuleStatus> ComputeRuleStatus(
    const FleetStatus& fleet,
    const Release& declared,
    const std::map<ReleaseNumber, ObjectTexts>& releases,
    RuleStatusOptions options = {});

/// Returns the revisions that proxies reported, whose objects ComputeRuleStatus
/// needs.
std::vector<ReleaseNumber> ReportedRevisions(const FleetStatus& fleet);

}  // namespace banyantrail::ctl
