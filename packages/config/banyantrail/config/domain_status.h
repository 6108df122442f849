#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// The nodes of a failure domain that reported `revision` as applied.
struct NodesAtRevision {
  ReleaseNumber revision = 0;
  std::vector<NodeId> nodes;

  friend bool operator==(const NodesAtRevision&,
                         const NodesAtRevision&) = default;
};

/// A node that refused `revision` because it did not compile, and keeps the
/// one it had applied before.
struct RefusedRevision {
  NodeId node;
  ReleaseNumber revision = 0;
  std::string reason;

  friend bool operator==(const RefusedRevision&,
                         const RefusedRevision&) = default;
};

/// A node whose reports have stopped.
struct SilentNode {
  NodeId node;
  /// Wall-clock time of its last report, ISO 8601 in UTC.
  std::string since;

  friend bool operator==(const SilentNode&, const SilentNode&) = default;
};

/// The state that the nodes of a failure domain reported to its relay. The
/// relay writes it under status/{domain}/{slot}.
struct DomainStatus {
  DomainId domain;
  /// The node that wrote this status.
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

/// Throws Error{kMalformedMessage} listing every fault.
DomainStatus ParseDomainStatus(const nlohmann::json& json);

}  // namespace banyantrail
