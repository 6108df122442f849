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
  /// Others changed the same objects; nothing was changed.
  kConflict,
  /// The result would not be a valid configuration; nothing was changed.
  kFaults,
  /// The platform could not be used; nothing was changed.
  kNotRun,
  /// The change may or may not have been accepted. Sending it again under the
  /// same id settles it.
  kOutcomeUnknown,
};

/// What became of a proposed change.
struct PublishOutcome {
  PublishStatus status = PublishStatus::kNotRun;
  /// With kAccepted.
  Revision revision = 0;
  /// With kAccepted when this very call made the revision: the whole of it.
  std::optional<Release> release;
  /// With kConflict.
  std::vector<ChangeConflict> conflicts;
  /// With kFaults.
  std::vector<Fault> faults;
  /// Why, and what to do; empty with kAccepted.
  std::string message;
  std::string remedy;

  friend bool operator==(const PublishOutcome&,
                         const PublishOutcome&) = default;
};

/// The answer to POST /v1/changes.
struct ChangeAnswer {
  unsigned http_status = 0;
  nlohmann::json body;
};

ChangeAnswer AnswerOf(const PublishOutcome& outcome);

/// The inverse of AnswerOf, but for `release`. An answer that AnswerOf does not
/// give is kNotRun below 500, since the request was refused before it ran, and
/// kOutcomeUnknown from 500 on.
PublishOutcome ParseChangeAnswer(const ChangeAnswer& answer);

nlohmann::json ToJson(const Fault& fault);
nlohmann::json ToJson(const std::vector<Fault>& faults);

}  // namespace banyantrail
