#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/distribution_protocol.h"
#include "banyantrail/traffic/admission.h"

namespace banyantrail {

/// Where a node listens.
struct ListenSettings {
  IpEndpoint caller;
  IpEndpoint mesh;
  IpEndpoint peer;
  IpEndpoint admin;

  friend bool operator==(const ListenSettings&,
                         const ListenSettings&) = default;
};

/// Bounds that protect a node from its callers.
struct LimitSettings {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint32_t max_caller_connections = 1024;
  std::uint32_t max_mesh_connections = 4096;
  std::uint32_t max_admin_connections = 256;
  /// Width of the VM's link; 0 when unknown.
  std::uint32_t link_mbit_per_s = 0;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

/// The planned stop of a node.
struct StopSettings {
  /// Time for the fleet to learn of the drain and for requests chosen before it
  /// to arrive. A backend server that leaves gets no new work after 2 s.
  Duration notice = seconds(2);
  /// The process ends at the latest after this time. Requests under way, long
  /// uploads included, are cut then.
  Duration limit = std::chrono::minutes(30);

  friend bool operator==(const StopSettings&, const StopSettings&) = default;
};

/// Repeats that the fleet may send to one service.
struct RetryBudgetSettings {
  /// Repeats for each request within the window.
  double ratio = 0.225;
  /// Repeats on top, over the whole fleet. 0 leaves the slack to each node.
  double slack = 0;
  Duration window = seconds(10);

  friend bool operator==(const RetryBudgetSettings&,
                         const RetryBudgetSettings&) = default;
};

/// Everything that a node learns from its settings file.
struct NodeSettings {
  NodeId node;
  RegionId region;
  DomainId domain;
  Labels labels;
  ListenSettings listen;
  std::vector<IpEndpoint> platform;
  /// Peers for first contact while the platform cannot be reached.
  std::vector<IpEndpoint> seeds;
  LogLevel log_level = LogLevel::kInfo;
  LimitSettings limits;
  DistributionMode distribution_mode = DistributionMode::kTree;
  /// A configuration that differs by more from the one before is not pushed to
  /// peers, which read it from the store.
  std::size_t max_pushed_bytes = std::numeric_limits<std::size_t>::max();
  /// Whether the first configuration that this node reads goes to its peers.
  bool push_first_release = true;
  /// Orders that carry an idempotency key are claimed in the platform before
  /// they are forwarded.
  bool once_only = true;
  /// The service of the backend server on this VM, by the operator's word.
  /// Empty when the settings do not tell it.
  ServiceName local_service;
  StopSettings stop;
  RetryBudgetSettings retry_budget;
  /// How work waits at the backend servers of this node.
  AdmissionOptions admission;
  /// How often backend servers announce themselves.
  Duration heartbeat_interval = seconds(1);

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Reads and checks a whole settings text. `place` names the file. Throws
/// Error{kInvalidSettings} whose one line names the key, the place and the
/// remedy.
NodeSettings ParseNodeSettings(std::string_view text, const std::string& place);

/// Reads a settings file. Throws Error{kInvalidSettings}.
NodeSettings LoadNodeSettings(const std::string& path);

}  // namespace banyantrail
