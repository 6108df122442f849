#include "banyantrail/ctl/submit_change.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

using banyantrail::ChangeId;
using banyantrail::ChangeProposal;
using banyantrail::Error;
using banyantrail::ErrorKind;
using banyantrail::milliseconds;
using banyantrail::PublishStatus;
using banyantrail::ctl::NodeResponse;
using banyantrail::ctl::SubmitChange;

namespace {

NodeResponse MakeResponse(unsigned http_status, const char* body) {
  return {.http_status = http_status, .body = nlohmann::json::parse(body)};
}

const NodeResponse kAccepted = MakeResponse(200, R"({"revision":3})");
const NodeResponse kNotRun = MakeResponse(503, R"({"outcome":"not-run"})");
const NodeResponse kUnknown =
    MakeResponse(503, R"({"outcome":"outcome-unknown"})");
const NodeResponse kConflict =
    MakeResponse(409, R"({"error":"others changed it"})");
/// Placeholders for a connection that failed before or after the request was
/// sent.
const NodeResponse kUnsent{.http_status = 0};
const NodeResponse kLost{.http_status = 1};

/// Returns the scripted responses in order, and repeats the last one.
struct ScriptedNode {
  std::vector<NodeResponse> responses;
  std::size_t calls = 0;
  std::set<std::string> bodies;

  NodeResponse Post(const std::string&, const std::string& body) {
    bodies.insert(body);
    NodeResponse response = responses[std::min(calls, responses.size() - 1)];
    ++calls;
    if (response.http_status <= kLost.http_status) {
      const bool is_unsent = response.http_status == kUnsent.http_status;
      throw Error({.kind = is_unsent ? ErrorKind::kNetwork
                                     : ErrorKind::kOutcomeUnknown});
    }
    return response;
  }
};

PublishStatus Submit(ScriptedNode& node) {
  const ChangeProposal proposal{.change = ChangeId("c")};
  return SubmitChange(node, proposal, {}, [](milliseconds) {}).status;
}

}  // namespace

TEST_GROUP(SubmitChange){};

TEST(SubmitChange, RetriesUnknownOutcomeWithTheSameChangeId) {
  ScriptedNode node{.responses = {kLost, kUnknown, kNotRun, kAccepted}};
  CHECK(Submit(node) == PublishStatus::kAccepted);
  LONGS_EQUAL(4, node.calls);
  LONGS_EQUAL(1, node.bodies.size());
}

TEST(SubmitChange, OutcomeStaysUnknownWhenARetryIsNotRun) {
  ScriptedNode refusing{.responses = {kLost, kNotRun}};
  CHECK(Submit(refusing) == PublishStatus::kOutcomeUnknown);
  ScriptedNode unreachable{.responses = {kLost, kUnsent}};
  CHECK(Submit(unreachable) == PublishStatus::kOutcomeUnknown);
}

TEST(SubmitChange, KnownFailureIsNotRetried) {
  ScriptedNode unreachable{.responses = {kUnsent}};
  CHECK(Submit(unreachable) == PublishStatus::kNotRun);
  ScriptedNode conflicting{.responses = {kConflict}};
  CHECK(Submit(conflicting) == PublishStatus::kConflict);
  LONGS_EQUAL(1, unreachable.calls);
  LONGS_EQUAL(1, conflicting.calls);
}
