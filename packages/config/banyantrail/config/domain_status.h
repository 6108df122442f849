#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// The nodes of a failure domain that reported one revision as applied.
struct NodesAtRevision {
  Revision revision = 0;
  std::vector<NodeId> nodes;

  friend bool operator==(const NodesAtRevision&,
                         const NodesAtRevision&) = default;
};

/// A node that keeps its revision because a newer one did not compile.
struct RefusedRevision {
  NodeId node;
  Revision revision = 0;
  std::string reason;

  friend bool operator==(const RefusedRevision&,
                         const RefusedRevision&) = default;
};

/// A node that stopped reporting.
struct SilentNode {
  NodeId node;
  /// Wall-clock time of its last report, ISO 8601 in UTC.
  std::string since;

  friend bool operator==(const SilentNode&, const SilentNode&) = default;
};

/// What a relay writes under status/{domain}/{slot}: what it heard from the
/// nodes of its failure domain.
struct DomainStatus {
  DomainId domain;
  /// Who wrote it.
  NodeId relay;
  /// Wall-clock time of the write, ISO 8601 in UTC.
  std::string time;
  std::vector<NodesAtRevision> revisions;
  std::vector<RefusedRevision> refused;
  std::vector<SilentNode> silent;
  /// Labels by node id.
  std::map<std::string, Labels> labels;

  friend bool operator==(const DomainStatus&, const DomainStatus&) = default;
};

nlohmann::json ToJson(const DomainStatus& status);

/// Throws Error{kMalformedMessage} naming every fault.
DomainStatus ParseDomainStatus(const nlohmann::json& json);

}  // namespace banyantrail
