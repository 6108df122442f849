#include "banyantrail/config/publish_outcome.h"

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpConflict = 409;
constexpr unsigned kHttpUnprocessable = 422;
constexpr unsigned kHttpInternalError = 500;
constexpr unsigned kHttpUnavailable = 503;
constexpr const char* kNotRunText = "not-run";
constexpr const char* kOutcomeUnknownText = "outcome-unknown";

bool IsAnyText(std::string_view) {
  return true;
}

constexpr TextRule kAnyTextRule{IsAnyText, "a string"};

json ConflictsJson(const std::vector<ChangeConflict>& conflicts) {
  json array = json::array();
  for (const ChangeConflict& conflict : conflicts) {
    array.push_back({{"object", conflict.object}, {"detail", conflict.detail}});
  }
  return array;
}

json ErrorJson(const PublishOutcome& outcome) {
  return {{"error", outcome.message}, {"remedy", outcome.remedy}};
}

ChangeResponse ServiceUnavailable(const PublishOutcome& outcome,
                                  const char* outcome_text) {
  ChangeResponse response{.http_status = kHttpUnavailable,
                          .body = ErrorJson(outcome)};
  response.body["outcome"] = outcome_text;
  return response;
}

ChangeConflict ReadConflict(JsonObjectReader reader) {
  return {.object = reader.RequiredString("object", kAnyTextRule),
          .detail = reader.OptionalString("detail", kAnyTextRule, "")};
}

Fault ReadFault(JsonObjectReader reader) {
  return {.place = reader.RequiredString("place", kAnyTextRule),
          .message = reader.OptionalString("message", kAnyTextRule, ""),
          .remedy = reader.OptionalString("remedy", kAnyTextRule, "")};
}

template <typename T>
std::vector<T> ReadArray(JsonObjectReader& reader,
                         const char* key,
                         T (*read)(JsonObjectReader),
                         std::vector<Fault>& faults) {
  std::vector<T> values;
  for (const json& element : reader.OptionalArray(key, SIZE_MAX)) {
    values.push_back(
        read(JsonObjectReader(element, reader.PlaceOf(key), faults)));
  }
  return values;
}

PublishStatus ToPublishStatus(unsigned http_status,
                              const std::string& outcome) {
  if (http_status == kHttpConflict) {
    return PublishStatus::kConflict;
  }
  if (http_status == kHttpUnprocessable) {
    return PublishStatus::kInvalid;
  }
  if (http_status < kHttpInternalError || outcome == kNotRunText) {
    return PublishStatus::kNotRun;
  }
  return PublishStatus::kOutcomeUnknown;
}

}  // namespace

ChangeResponse ToChangeResponse(const PublishOutcome& outcome) {
  ChangeResponse response;
  switch (outcome.status) {
    case PublishStatus::kAccepted:
      return {.http_status = kHttpOk, .body = {{"revision", outcome.revision}}};
    case PublishStatus::kConflict:
      response = {.http_status = kHttpConflict, .body = ErrorJson(outcome)};
      response.body["conflicts"] = ConflictsJson(outcome.conflicts);
      return response;
    case PublishStatus::kInvalid:
      response = {.http_status = kHttpUnprocessable,
                  .body = ErrorJson(outcome)};
      response.body["faults"] = ToJson(outcome.faults);
      return response;
    case PublishStatus::kNotRun:
      return ServiceUnavailable(outcome, kNotRunText);
    case PublishStatus::kOutcomeUnknown:
      return ServiceUnavailable(outcome, kOutcomeUnknownText);
  }
  return ServiceUnavailable(outcome, kOutcomeUnknownText);
}

PublishOutcome ParseChangeResponse(const ChangeResponse& response) {
  std::vector<Fault> faults;
  JsonObjectReader reader(response.body, "response to the change", faults);
  if (response.http_status == kHttpOk) {
    PublishOutcome accepted{.status = PublishStatus::kAccepted,
                            .revision = reader.RequiredInteger("revision", {})};
    ThrowIfInvalid(faults,
                   "use a banyantrailctl of the same version as the nodes");
    return accepted;
  }
  PublishOutcome outcome;
  outcome.message = reader.OptionalString(
      "error", kAnyTextRule,
      "the node returned HTTP status " + std::to_string(response.http_status));
  outcome.remedy =
      reader.OptionalString("remedy", kAnyTextRule, "see the log of the node");
  outcome.conflicts = ReadArray(reader, "conflicts", &ReadConflict, faults);
  outcome.faults = ReadArray(reader, "faults", &ReadFault, faults);
  outcome.status = ToPublishStatus(
      response.http_status, reader.OptionalString("outcome", kAnyTextRule, ""));
  return outcome;
}

json ToJson(const Fault& fault) {
  return {{"place", fault.place},
          {"message", fault.message},
          {"remedy", fault.remedy}};
}

json ToJson(const std::vector<Fault>& faults) {
  json array = json::array();
  for (const Fault& fault : faults) {
    array.push_back(ToJson(fault));
  }
  return array;
}

}  // namespace banyantrail
