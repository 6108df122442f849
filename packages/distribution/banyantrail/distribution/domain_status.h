#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// Wall-clock time in milliseconds, the form in which status objects carry it.
/// For people only: no decision rests on it.
using UnixMillis = std::chrono::sys_time<std::chrono::milliseconds>;

/// Nodes that applied the same revision.
struct RevisionHolders {
  Revision revision = 0;
  std::vector<NodeId> nodes;

  friend bool operator==(const RevisionHolders&,
                         const RevisionHolders&) = default;
};

/// A node that refused a revision and keeps an older one in force.
struct RefusingNode {
  NodeId node;
  Revision revision = 0;
  std::string reason;

  friend bool operator==(const RefusingNode&, const RefusingNode&) = default;
};

/// A node that has not been heard from: nothing is claimed of it.
struct SilentNode {
  NodeId node;
  UnixMillis since;

  friend bool operator==(const SilentNode&, const SilentNode&) = default;
};

/// What the nodes of one failure domain have in force, as one relay sees it.
/// The value of `status/{domain}/{slot}` in the platform.
struct DomainStatus {
  DomainId domain;
  NodeId relay;
  UnixMillis time;
  /// Nodes heard from, by applied revision, greatest first.
  std::vector<RevisionHolders> revisions;
  std::vector<RefusingNode> refused;
  std::vector<SilentNode> silent;
  /// Labels of the nodes heard from, which decide the rules they use.
  std::map<NodeId, Labels> labels;

  friend bool operator==(const DomainStatus&, const DomainStatus&) = default;
};

nlohmann::json ToJson(const DomainStatus& status);

/// The inverse of ToJson. Throws Error{kMalformedMessage} that names the first
/// field that is missing, unknown or of the wrong type.
DomainStatus DomainStatusFromJson(const nlohmann::json& json);

}  // namespace banyantrail
