#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "banyantrail/config/domain_status.h"
#include "banyantrail/config/release.h"
#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

/// Works out where each rule is in force from what the relays reported.
namespace banyantrail::ctl {

/// A relay's summary and how old it is.
struct ReportedDomain {
  DomainStatus status;
  milliseconds age{0};

  friend bool operator==(const ReportedDomain&,
                         const ReportedDomain&) = default;
};

/// A proxy that the answering node knows of by membership.
struct KnownProxy {
  NodeId proxy;
  DomainId domain;

  friend bool operator==(const KnownProxy&, const KnownProxy&) = default;
};

/// What GET /v1/status says, and the proxies that it ought to speak of.
struct FleetStatus {
  /// The newest revision that the answering node knows of.
  Revision revision = 0;
  bool platform_reachable = false;
  std::vector<ReportedDomain> domains;
  /// Those that no relay reports are unknown.
  std::vector<KnownProxy> members;

  friend bool operator==(const FleetStatus&, const FleetStatus&) = default;
};

enum class RuleState {
  /// The proxy reported lately that it applied these very objects.
  kInForce,
  /// The proxy reported lately that it applied something else.
  kNotInForce,
  /// The rule's selector does not choose the proxy.
  kNotChosen,
  /// There is no report to go by.
  kUnknown,
};

/// Stable name of a state, used in JSON output.
std::string_view ToString(RuleState state);

/// The state of one rule on one proxy.
struct RuleOnProxy {
  NodeId proxy;
  DomainId domain;
  RuleState state = RuleState::kUnknown;
  std::string why;
  /// With kUnknown: wall-clock time of the last report; empty if there is none.
  std::string since;

  friend bool operator==(const RuleOnProxy&, const RuleOnProxy&) = default;
};

/// The state of one rule on every proxy.
struct RuleStatus {
  /// "routing_rule/orders".
  std::string rule;
  std::vector<RuleOnProxy> proxies;

  friend bool operator==(const RuleStatus&, const RuleStatus&) = default;
};

struct RuleStatusOptions {
  /// A summary above this age says nothing about the present. Relays write one
  /// every 10 s at rest.
  milliseconds max_report_age{15'000};
};

/// `declared` holds the rules asked about. `releases` holds the objects of
/// revisions that proxies reported, as far as they could be read; a proxy at
/// another revision is unknown rather than guessed.
std::vector<RuleStatus> ComputeRuleStatus(
    const FleetStatus& fleet,
    const Release& declared,
    const std::map<Revision, ObjectTexts>& releases,
    RuleStatusOptions options = {});

/// The revisions that some proxy reported, the ones to read for
/// ComputeRuleStatus.
std::vector<Revision> ReportedRevisions(const FleetStatus& fleet);

}  // namespace banyantrail::ctl
