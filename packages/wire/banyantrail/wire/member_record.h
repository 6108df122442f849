#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "banyantrail/core/ids.h"
#include "banyantrail/core/ip_endpoint.h"
#include "banyantrail/core/labels.h"

namespace banyantrail {

/// The state of a backend server, as reported by itself or determined by its
/// node.
enum class BackendServerState : std::uint8_t {
  kServing = 0,
  /// Finishes its requests and gets no new ones.
  kDraining = 1,
  /// Its heartbeat stopped or its connections fail.
  kDown = 2,
};

/// A backend server as its own node advertises it to the fleet.
struct BackendServerRecord {
  BackendServerId id;
  ServiceName service;
  Labels labels;
  IpEndpoint address;
  /// Number of requests that it runs concurrently, as reported by itself.
  std::uint32_t slots = 0;
  BackendServerState state = BackendServerState::kServing;
  /// Version of the service that it runs; empty if unknown. Builds from before
  /// this field do not send it.
  std::string version;

  friend bool operator==(const BackendServerRecord&,
                         const BackendServerRecord&) = default;

  MSGPACK_DEFINE(id, service, labels, address, slots, state, version)
};

/// The state of a node, as other members see it. The order matters: at equal
/// incarnation the greater value wins.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,
  kDead = 2,
  /// Announced its departure at the end of a graceful shutdown.
  kLeft = 3,
};

/// The record of one node. Only that node raises `incarnation` and `sequence`;
/// others may only raise `state` within an incarnation, and the node refutes
/// them with a greater incarnation. A record with sequence 0 is a state notice:
/// it carries a state and no content.
struct MemberRecord {
  NodeId node;
  RegionId region;
  DomainId domain;
  Incarnation incarnation = 0;
  /// Counts the node's own changes to its record within an incarnation.
  std::uint64_t sequence = 0;
  MemberState state = MemberState::kAlive;
  /// The node drains: it takes no new requests but still answers its peers.
  bool draining = false;
  Labels labels;
  IpEndpoint peer_address;
  IpEndpoint mesh_address;
  IpEndpoint admin_address;
  /// The greatest revision that the node is known to have applied. It never
  /// decreases, even when the node restarts, and changes without a new
  /// sequence.
  Revision applied_revision;
  std::vector<BackendServerRecord> backend_servers;
  /// See kMeshVersion. Builds from before that field do not send it.
  std::uint32_t mesh_version = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;

  MSGPACK_DEFINE(node,
                 region,
                 domain,
                 incarnation,
                 sequence,
                 state,
                 draining,
                 labels,
                 peer_address,
                 mesh_address,
                 admin_address,
                 applied_revision.number,
                 backend_servers,
                 mesh_version,
                 applied_revision.version,
                 applied_revision.era)
};

/// The version of a member's record, without its content.
struct MemberVersion {
  NodeId node;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberVersion&, const MemberVersion&) = default;

  MSGPACK_DEFINE(node, incarnation, sequence, state)
};

}  // namespace banyantrail

MSGPACK_ADD_ENUM(banyantrail::BackendServerState)
MSGPACK_ADD_ENUM(banyantrail::MemberState)
