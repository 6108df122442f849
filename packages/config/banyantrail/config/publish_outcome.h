#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/release.h"

namespace banyantrail {

enum class PublishStatus {
  /// The change is part of `revision`.
  kAccepted,
  /// Other changes modified the same objects; nothing was changed.
  kConflict,
  /// The result would not be a valid configuration; nothing was changed.
  kInvalid,
  /// The change could not be completed, for example because the platform was
  /// unavailable; nothing was changed.
  kNotRun,
  /// The change may or may not have been accepted. Resending it under the same
  /// id resolves this.
  kOutcomeUnknown,
};

/// The result of publishing a change.
struct PublishOutcome {
  PublishStatus status = PublishStatus::kNotRun;
  /// Set with kAccepted.
  ReleaseNumber revision = 0;
  /// Set with kAccepted if this call created the revision.
  std::optional<Release> release;
  /// Set with kConflict.
  std::vector<ChangeConflict> conflicts;
  /// Set with kInvalid.
  std::vector<Fault> faults;
  /// The reason and what to do about it; empty with kAccepted.
  std::string message;
  std::string remedy;

  friend bool operator==(const PublishOutcome&,
                         const PublishOutcome&) = default;
};

/// The HTTP response to POST /v1/changes.
struct ChangeResponse {
  unsigned http_status = 0;
  nlohmann::json body;
};

ChangeResponse ToChangeResponse(const PublishOutcome& outcome);

/// The inverse of ToChangeResponse, except that `release` is not restored. Any
/// other response maps to kNotRun for a status below 500, since the request was
/// rejected before it ran, and to kOutcomeUnknown from 500 on.
PublishOutcome ParseChangeResponse(const ChangeResponse& response);

nlohmann::json ToJson(const Fault& fault);
nlohmann::json ToJson(const std::vector<Fault>& faults);

}  // namespace banyantrail
