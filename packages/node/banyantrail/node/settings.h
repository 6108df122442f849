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
#include "banyantrail/traffic/quota_share.h"

namespace banyantrail {

/// Listen addresses of a node.
struct ListenSettings {
  IpEndpoint caller;
  IpEndpoint mesh;
  IpEndpoint peer;
  IpEndpoint admin;

  friend bool operator==(const ListenSettings&,
                         const ListenSettings&) = default;
};

/// Resource limits of a node.
struct LimitSettings {
  std::uint32_t max_header_bytes = 16U << 10U;
  /// Maximum number of requests of a caller connection that run at the same
  /// time; 1 disables pipelining.
  std::uint32_t max_pipelined_requests = 8;
  /// Maximum bytes of such requests and of responses that wait for their turn.
  std::uint32_t max_pipelined_bytes = 64U << 10U;
  std::uint32_t max_caller_connections = 1024;
  std::uint32_t max_mesh_connections = 4096;
  std::uint32_t max_admin_connections = 256;
  /// Memory that the node may use, in MB; 0 if unknown.
  std::uint32_t memory_mb = 0;
  /// Bandwidth of the VM's network link; 0 if unknown.
  std::uint32_t link_mbit_per_s = 0;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

/// Timing of a graceful shutdown.
struct ShutdownSettings {
  /// Time between the start of the drain and the close of the listeners. In
  /// this time the fleet learns of the drain, and requests that were routed
  /// here before arrive. A draining backend server must get no new requests
  /// after 2 s.
  Duration drain_delay = seconds(2);
  /// Maximum duration of the shutdown. Requests that are still in progress
  /// then, including long uploads, are aborted.
  Duration grace_period = std::chrono::minutes(30);
  /// How long after a backend server has announced its departure a request that
  /// was admitted before may still be sent to it. Half of the time for which a
  /// draining backend server may get requests.
  Duration max_send_after_departure = seconds(1);

  friend bool operator==(const ShutdownSettings&,
                         const ShutdownSettings&) = default;
};

/// Retries that the fleet may send to one service.
struct RetryBudgetSettings {
  /// Retries per request within the window.
  double ratio = 0.225;
  /// Additional retries within the window, for the whole fleet. 0 selects the
  /// default per node.
  double burst = 0;
  Duration window = seconds(10);

  friend bool operator==(const RetryBudgetSettings&,
                         const RetryBudgetSettings&) = default;
};

/// Strict revocation of keys, see KeyLease.
struct RevocationSettings {
  /// Whether keys are accepted only while the node knows that its configuration
  /// is recent enough.
  bool strict = false;
  /// How long after the store acknowledged a configuration a key that it
  /// removed may still be accepted.
  Duration time = seconds(5);

  friend bool operator==(const RevocationSettings&,
                         const RevocationSettings&) = default;
};

/// Limits on the requests to a new version of a service during its roll-out.
struct RolloutSettings {
  /// Share of the service's requests that a bad version may get. 0 disables
  /// roll-outs; versions are then ignored.
  double exposure_share = 0;
  /// Requests that it may get in addition.
  double exposure_slack = 0;
  /// Time after the 50th bad response within which a bad version must no longer
  /// get requests.
  Duration rollback = seconds(5);

  friend bool operator==(const RolloutSettings&,
                         const RolloutSettings&) = default;
};

/// The settings of a node.
struct NodeSettings {
  NodeId node;
  RegionId region;
  DomainId domain;
  Labels labels;
  ListenSettings listen;
  std::vector<IpEndpoint> platform;
  /// Peers to join through when the platform is unreachable.
  std::vector<IpEndpoint> seeds;
  LogLevel log_level = LogLevel::kInfo;
  LimitSettings limits;
  DistributionMode distribution_mode = DistributionMode::kTree;
  /// A configuration whose change from the preceding one is larger is not
  /// pushed to peers; they read it from the store.
  std::size_t max_pushed_bytes = std::numeric_limits<std::size_t>::max();
  /// Time within which a change of the configuration has to be in force
  /// everywhere.
  Duration configuration_bound = seconds(2);
  /// Whether the first configuration that this node reads is pushed to peers.
  bool push_first_release = true;
  /// Whether requests with an idempotency key are claimed on the platform
  /// before they are forwarded.
  bool claim_idempotency_keys = true;
  /// The service of the backend server on this VM. Empty if the settings do not
  /// name it.
  ServiceName local_service;
  ShutdownSettings shutdown;
  RetryBudgetSettings retry_budget;
  RevocationSettings revocation;
  /// Bound on the requests of teams with a rate limit.
  QuotaBound quota_bound;
  RolloutSettings rollouts;
  /// Admission control for the backend servers of this node.
  AdmissionOptions admission;
  /// Whether the pace at which a backend server gets requests after a start or
  /// a failure follows its responses instead of time.
  bool response_based_slow_start = false;
  /// Interval at which backend servers send heartbeats.
  Duration heartbeat_interval = seconds(1);

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Parses and validates the text of a settings file. `place` is the name of the
/// file, for error messages. Throws Error{kInvalidSettings} with a single-line
/// message that names the file, the key and the remedy.
NodeSettings ParseNodeSettings(std::string_view text, const std::string& place);

/// Loads a settings file. Throws Error{kInvalidSettings}.
NodeSettings LoadNodeSettings(const std::string& path);

}  // namespace banyantrail
