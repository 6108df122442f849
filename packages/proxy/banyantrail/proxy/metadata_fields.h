#pragma once

#include <cstdint>
#include <optional>

#include "banyantrail/net/http_types.h"
#include "banyantrail/traffic/load_table.h"
#include "banyantrail/traffic/refusal_reason.h"
#include "banyantrail/wire/request_metadata.h"

namespace banyantrail {

/// Sets the metadata of a forwarded request, in the format that an owner node
/// of the given mesh version understands.
void SetRequestMetadata(http::fields& fields,
                        const RequestMetadata& metadata,
                        std::uint32_t mesh_version);

/// The metadata of a forwarded request of any mesh version. Missing fields have
/// the values of a request without a deadline and of the least urgent rank.
RequestMetadata RequestMetadataOf(const http::fields& fields);

/// Whether the request was sent by a node of mesh version 1 or later.
bool HasCompactMetadata(const http::fields& fields);

/// Removes the metadata of a forwarded request.
void StripRequestMetadata(http::fields& fields);

/// What an owner node tells the entry node with a response.
struct ResponseMetadata {
  std::optional<ReportedLoad> load;
  /// Set if the owner node refused the request itself.
  std::optional<RefusalReason> refusal;

  friend bool operator==(const ResponseMetadata&,
                         const ResponseMetadata&) = default;
};

/// The value of kMetadataHeader on a response: the load, followed by a
/// semicolon and the reason of a refusal.
std::string FormatResponseMetadata(const ResponseMetadata& metadata);

/// The metadata of a response of an owner node of any mesh version.
ResponseMetadata ResponseMetadataOf(const http::fields& fields);

}  // namespace banyantrail
