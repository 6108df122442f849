#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "banyantrail/proxy/entry_stage.h"

namespace banyantrail {

/// State of one request. This header is only for the sources of EntryStage.
struct EntryStage::RequestContext {
  InboundRequest& request;
  /// Its place in the order of the responses on the connection.
  ResponseTurn& turn;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  /// Null if the request carries no key of a team.
  const RoutedTeam* team = nullptr;
  /// The priority of the team, or that of the route.
  std::uint8_t priority = 0;
  TimePoint started;
  TimePoint deadline;
  /// Latency target: a response after this time has reduced value to the
  /// caller. Empty when none is declared.
  std::optional<TimePoint> target;
  /// The request is a nested call of a request that runs at a backend server of
  /// this node.
  bool is_nested_call = false;
  /// The request carries an idempotency key and must run at most once.
  bool needs_claim = false;
  std::optional<HeldClaim> claim;
  /// Recorded status of an earlier run under the same key; 0 if there is none.
  std::uint32_t recorded_status = 0;
  std::vector<EndpointKey> tried;
  /// Load of the endpoint that was tried last, as its owner node reported it.
  std::optional<ReportedLoad> last_load;
  /// Number of attempts that may have reached a backend server.
  std::uint32_t sends = 0;
  /// Versions of the service that the next attempt may be sent to.
  VersionChoice versions;
  /// Reason of the last attempt that may have run.
  std::optional<RefusalReason> may_have_run;
  /// The request took a token of its team's rate limit.
  bool has_quota_token = false;
  /// When the caller may expect a token, if it got none.
  Duration quota_retry_after{};
};

/// Requests on the same route have similar service times.
std::uint64_t KindOf(const Route& route);

std::uint32_t DepthOf(const http::request_header<>& head);

/// The size of the body, or the minimum size for a chunked body.
std::uint64_t BodyBytes(const InboundRequest& request);

}  // namespace banyantrail
