#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyantrail/core/clock.h"
#include "banyantrail/core/ids.h"

namespace banyantrail {

/// Version of the messages between nodes on the mesh listener that this build
/// understands, announced in the member record. From version 1 on, forwarded
/// requests carry their metadata in one header; version 0 is a build from
/// before that, which needs a header for each field.
inline constexpr std::uint32_t kMeshVersion = 2;

/// The first version that understands QuotaRequestMessage. An earlier node
/// closes the connection on which it gets one.
inline constexpr std::uint32_t kQuotaMeshVersion = 2;

/// What an entry node tells the owner node about a forwarded request.
struct RequestMetadata {
  /// How long the sender will still wait.
  milliseconds time_left{};
  /// Time left of the target latency, 0 when it has passed; empty when no
  /// target is declared.
  std::optional<milliseconds> target_left;
  /// Number of nodes that a chain of nested calls has passed.
  std::uint32_t depth = 0;
  /// Priority of the declared rank, 0 for the most urgent.
  std::uint8_t priority = 0;
  bool is_idempotent = false;
  /// Made by a backend server while it runs another request.
  bool is_nested_call = false;
  /// Requests of the same kind have similar service times; 0 if unknown.
  std::uint64_t kind = 0;
  ServiceName service;
  /// The backend server that the entry node chose.
  BackendServerId server;
  /// The service on the entry node's VM, where the request originated.
  ServiceName caller_service;
  /// A hash of a large body, which the owner node does not read before it
  /// admits the request.
  std::string body_hash;

  friend bool operator==(const RequestMetadata&,
                         const RequestMetadata&) = default;
};

/// The value of kMetadataHeader on a request.
std::string FormatRequestMetadata(const RequestMetadata& metadata);

/// Empty if the text is malformed.
std::optional<RequestMetadata> ParseRequestMetadata(std::string_view text);

}  // namespace banyantrail
