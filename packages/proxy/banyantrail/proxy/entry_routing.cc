#include <algorithm>

#include "banyantrail/proxy/caller_team.h"
#include "banyantrail/proxy/entry_request_context.h"
#include "banyantrail/proxy/metadata_fields.h"

namespace banyantrail {
namespace {

std::string_view PathOf(const http::request_header<>& head) {
  const std::string_view target(head.target().data(), head.target().size());
  return target.substr(0, target.find('?'));
}

std::string_view MethodOf(const http::request_header<>& head) {
  return {head.method_string().data(), head.method_string().size()};
}

RefusalReason ReasonOf(LookupFailure failure) {
  switch (failure) {
    case LookupFailure::kNoBackendServer:
      return RefusalReason::kNoBackendServer;
    case LookupFailure::kRouteDisabled:
      return RefusalReason::kRouteDisabled;
    default:
      return RefusalReason::kNoRoute;
  }
}

}  // namespace

/// Whether the request may run beside others of its connection.
bool EntryStage::IsIdempotent(const http::request_header<>& head,
                              const RoutingSnapshot& snapshot) {
  const RouteLookup lookup =
      snapshot.FindRoute({.method = MethodOf(head),
                          .path = PathOf(head),
                          .host = FieldValue(head, "host")});
  return lookup.route != nullptr && lookup.route->idempotent;
}

/// Determines the route, service, deadline and latency target of a request.
/// Returns a reason if it cannot be routed.
std::optional<RefusalReason> EntryStage::ResolveRoute(RequestContext& context) {
  if (!context.snapshot) {
    return RefusalReason::kNoConfiguration;
  }
  const http::request_header<>& head = context.request.head();
  const RouteLookup lookup =
      context.snapshot->FindRoute({.method = MethodOf(head),
                                   .path = PathOf(head),
                                   .host = FieldValue(head, "host")});
  context.route = lookup.route;
  if (lookup.route != nullptr) {
    const std::optional<RefusalReason> refusal = ResolveTeam(context);
    if (refusal) {
      return refusal;
    }
  }
  if (lookup.failure != LookupFailure::kNone) {
    return ReasonOf(lookup.failure);
  }
  const std::size_t service = m_splitter.Next(*lookup.route);
  context.service = &context.snapshot->services()[service];
  SetDeadlineAndTarget(context);
  return std::nullopt;
}

/// Whether a backend server of this node sends the request for one that it
/// runs. The id is the caller's choice. Where teams are declared a nested call
/// carries no key, so that a caller does not spare its team's rate limit by ids
/// that follow that of its running request.
bool EntryStage::IsNestedCall(const RequestContext& context) const {
  const http::request_header<>& head = context.request.head();
  const std::string& request_id = m_options.dialect.request_id;
  const bool has_team_key = !context.snapshot->teams().empty() &&
                            head.count(http::field::authorization) > 0;
  return !request_id.empty() && !has_team_key &&
         m_running.IsNestedCall(FieldValue(head, request_id));
}

/// Determines the team and the priority of a request. Returns a reason if it
/// lacks a team's key.
std::optional<RefusalReason> EntryStage::ResolveTeam(RequestContext& context) {
  context.priority = context.route->priority;
  context.is_nested_call = IsNestedCall(context);
  if (LacksKeyLease(context.request.head(), context.snapshot->revision())) {
    return RefusalReason::kKeyLeaseExpired;
  }
  if (context.snapshot->teams().empty()) {
    return std::nullopt;
  }
  const CallerTeam caller =
      FindCallerTeam(context.request.head(), *context.snapshot);
  if (caller.has_unknown_key ||
      IsKeyMissing(caller, *context.route, context.is_nested_call)) {
    return RefusalReason::kUnknownKey;
  }
  context.team = caller.team;
  if (context.team != nullptr && context.team->disabled) {
    return RefusalReason::kTeamDisabled;
  }
  if (context.team != nullptr) {
    context.priority = context.team->priority.value_or(context.priority);
  }
  return std::nullopt;
}

/// Whether a request carries a key that this node must not accept now. This
/// includes unknown keys, and all keys if no team is declared: a newer
/// configuration may declare teams.
bool EntryStage::LacksKeyLease(const http::fields& fields,
                               Revision applied) const {
  return fields.count(http::field::authorization) > 0 &&
         !m_options.hooks.may_accept_keys(applied);
}

/// Checks the key again, before a request is sent again, by the configuration
/// that is applied now. Returns a reason if it must not be sent.
std::optional<RefusalReason> EntryStage::RecheckKey(
    const RequestContext& context) const {
  if (context.team == nullptr) {
    return std::nullopt;
  }
  const http::request_header<>& head = context.request.head();
  if (LacksKeyLease(head, m_snapshot->revision())) {
    return RefusalReason::kKeyLeaseExpired;
  }
  const bool is_removed = !m_snapshot->teams().empty() &&
                          FindCallerTeam(head, *m_snapshot).has_unknown_key;
  return is_removed ? std::optional(RefusalReason::kUnknownKey) : std::nullopt;
}

/// The deadline is that of the routing rule, or the caller's if that is
/// earlier. The latency target counts from the time when the caller first sent
/// the request.
void EntryStage::SetDeadlineAndTarget(RequestContext& context) {
  const EdgeDialect& dialect = m_options.dialect;
  const http::request_header<>& head = context.request.head();
  const Route& route = *context.route;
  const auto caller_timeout = NumberField(head, dialect.deadline);
  const Duration timeout =
      caller_timeout
          ? std::min<Duration>(milliseconds(*caller_timeout), route.deadline)
          : route.deadline;
  context.deadline = std::min(context.started + timeout, m_drain_end);
  if (route.target_latency > Duration::zero()) {
    const Duration already_waited =
        caller_timeout && !context.is_nested_call
            ? m_caller_timeouts.RecordDeadline(
                  route.rule, milliseconds(*caller_timeout), context.started)
            : Duration{};
    context.target = context.started + route.target_latency - already_waited;
  }
}

}  // namespace banyantrail
