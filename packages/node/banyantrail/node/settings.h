#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/labels.h"
#include "banyantrail/core/logging.h"
#include "banyantrail/distribution/distribution_protocol.h"

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

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
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
  /// Orders that carry an idempotency key are claimed in the platform before
  /// they are forwarded.
  bool once_only = true;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Reads and checks a whole settings text. `place` names the file. Throws
/// Error{kInvalidSettings} whose one line names the key, the place and the
/// remedy.
NodeSettings ParseNodeSettings(std::string_view text, const std::string& place);

/// Reads a settings file. Throws Error{kInvalidSettings}.
NodeSettings LoadNodeSettings(const std::string& path);

}  // namespace banyantrail
