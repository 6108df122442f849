#include "banyantrail/node/admin_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

#include "banyantrail/config/change.h"
#include "banyantrail/config/compile.h"
#include "banyantrail/config/domain_status.h"
#include "banyantrail/config/explain.h"
#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/publish_outcome.h"
#include "banyantrail/config/release_json.h"
#include "banyantrail/config/release_loader.h"
#include "banyantrail/config/release_publisher.h"
#include "banyantrail/core/text.h"
#include "banyantrail/core/wall_time.h"
#include "banyantrail/net/http_server.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::string_view kBackendServersPath = "/v1/backend-servers/";
constexpr std::string_view kReleasesPath = "/v1/releases/";

HttpResponse MakeResponse(http::status status, const json& body) {
  return JsonResponse(status, ToJsonText(body));
}

HttpResponse ErrorResponse(http::status status,
                           std::string_view error,
                           std::string_view remedy) {
  return MakeResponse(status, {{"error", error}, {"remedy", remedy}});
}

HttpResponse FaultsResponse(std::string_view error,
                            const std::vector<Fault>& faults) {
  return MakeResponse(http::status::unprocessable_entity,
                      {{"error", error}, {"faults", ToJson(faults)}});
}

std::string_view ToText(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view ToText(BackendServerState state) {
  switch (state) {
    case BackendServerState::kServing:
      return "serving";
    case BackendServerState::kDraining:
      return "draining";
    case BackendServerState::kDown:
      return "down";
  }
  return "unknown";
}

json BackendServerJson(const BackendServerRecord& server) {
  return {{"id", server.id.str()},   {"service", server.service.str()},
          {"labels", server.labels}, {"address", ToString(server.address)},
          {"slots", server.slots},   {"state", ToText(server.state)}};
}

json MemberJson(const MemberRecord& member) {
  json servers = json::array();
  for (const BackendServerRecord& server : member.backend_servers) {
    servers.push_back(BackendServerJson(server));
  }
  return {{"node", member.node.str()},
          {"region", member.region.str()},
          {"domain", member.domain.str()},
          {"incarnation", member.incarnation},
          {"sequence", member.sequence},
          {"state", ToText(member.state)},
          {"draining", member.draining},
          {"labels", member.labels},
          {"applied_revision", member.applied_revision.number},
          {"backend_servers", servers}};
}

BackendServerState ParseServerState(JsonObjectReader& reader) {
  const std::string state =
      reader.OptionalString("state", kFreeTextRule, "serving");
  if (state == "draining") {
    return BackendServerState::kDraining;
  }
  if (state != "serving") {
    reader.AddFault("state", "unknown state '" + state + "'",
                    "use serving or draining");
  }
  return BackendServerState::kServing;
}

IpEndpoint ParseServerAddress(JsonObjectReader& reader) {
  const std::string address = reader.RequiredString("address", kFreeTextRule);
  try {
    return ParseIpEndpoint(address);
  } catch (const Error& error) {
    reader.AddFault("address", error.message(), error.remedy());
    return {};
  }
}

BackendServerRecord ParseServer(const std::string& id,
                                const json& body,
                                std::vector<Fault>& faults) {
  constexpr std::size_t kMaxLabels = 64;
  constexpr std::uint64_t kMaxSlots = 100'000;
  JsonObjectReader reader(body, "backend server " + id, faults);
  BackendServerRecord record{
      .id = BackendServerId(id),
      .service = ServiceName(reader.RequiredString("service", kNameRule)),
      .labels = reader.OptionalStringMap("labels", kLabelKeyRule,
                                         kLabelValueRule, kMaxLabels),
      .address = ParseServerAddress(reader),
      .slots = static_cast<std::uint32_t>(
          reader.RequiredInteger("slots", {.min = 1, .max = kMaxSlots})),
      .state = ParseServerState(reader)};
  reader.Finish();
  return record;
}

/// A route together with one of the services that it targets.
json RouteJson(const Route& route, const RoutedService& service) {
  json servers = json::array();
  for (const ServiceEndpoint& endpoint : service.endpoints) {
    servers.push_back({{"id", endpoint.id.str()},
                       {"node", endpoint.owner.str()},
                       {"domain", endpoint.domain.str()}});
  }
  return {{"rule", route.rule.str()},
          {"host", route.host},
          {"path_prefix", route.path_prefix},
          {"service", service.name.str()},
          {"priority", route.priority},
          {"published", !service.endpoints.empty()},
          {"backend_servers", servers}};
}

json TeamQuotaJson(const TeamQuotaStatus& status) {
  json holders = json::array();
  for (const NodeId& holder : status.holders) {
    holders.push_back(holder.str());
  }
  return {{"team", status.team.str()},
          {"requests_per_s", status.limit.requests_per_s},
          {"burst", status.limit.burst},
          {"granted_per_s", status.granted_per_s},
          {"granted", status.granted},
          {"given_back", status.given_back},
          {"refused",
           {{"limit", status.refused_limit},
            {"no_response", status.refused_no_response}}},
          {"silences", status.silences},
          {"holders", holders}};
}

/// The teams with a rate limit, as known at this node.
json TeamsJson(const TeamQuotaGate& quotas) {
  json teams = json::array();
  for (const TeamQuotaStatus& status : quotas.Status()) {
    teams.push_back(TeamQuotaJson(status));
  }
  return teams;
}

/// The fields that identify a configuration. `version` and `era` are empty and
/// 0 where releases come from the project's own store.
json RevisionJson(const Revision& revision) {
  return {{"revision", revision.number},
          {"version", VersionText(revision)},
          {"era", revision.era}};
}

/// What the store shows; null if this node does not read it itself.
json ShownJson(const ControlPlane& control) {
  const std::optional<Revision>& shown = control.store_view().shown();
  return shown ? RevisionJson(*shown) : json();
}

/// The newest revision that this node has refused and has not replaced by a
/// later one; null if there is none.
json RefusedJson(const ControlPlane& control) {
  const StatusReportMessage& report = control.distribution_status().report;
  if (!report.refused_revision.exists()) {
    return nullptr;
  }
  json refused = RevisionJson(report.refused_revision);
  refused["reason"] = report.refusal_reason;
  return refused;
}

HttpResponse PublishResponse(const PublishOutcome& outcome) {
  const ChangeResponse answer = ToChangeResponse(outcome);
  return MakeResponse(http::int_to_status(answer.http_status), answer.body);
}

/// The numeric value of a query parameter, or `fallback` if the parameter is
/// absent or not a number.
std::size_t ParseQueryNumber(const std::string& query,
                             std::string_view name,
                             std::size_t fallback) {
  const std::string key = std::string(name) + "=";
  const std::size_t start = query.find(key);
  if (start == std::string::npos) {
    return fallback;
  }
  std::size_t number = fallback;
  const char* begin = query.data() + start + key.size();
  std::from_chars(begin, query.data() + query.size(), number);
  return number;
}

}  // namespace

asio::awaitable<HttpResponse> AdminApi::Handle(HttpRequest request) {
  const std::string target(request.target());
  const std::size_t query = target.find('?');
  ParsedRequest parsed{
      .method = request.method(),
      .path = target.substr(0, query),
      .query = query == std::string::npos ? "" : target.substr(query + 1),
      .body = std::move(request.body())};
  std::string failure;
  try {
    co_return co_await Dispatch(std::move(parsed));
  } catch (const json::exception& error) {
    failure = error.what();
  } catch (const Error& error) {
    co_return ErrorResponse(http::status::service_unavailable, error.message(),
                            error.remedy());
  }
  co_return ErrorResponse(http::status::bad_request, failure,
                          "send JSON in the format of docs/PROTOCOLS.md");
}

asio::awaitable<HttpResponse> AdminApi::Dispatch(ParsedRequest request) {
  if (request.method == http::verb::get) {
    if (request.path == "/v1/head") {
      co_return co_await NewestRelease();
    }
    if (request.path.starts_with(kReleasesPath)) {
      co_return co_await ReleaseAt(std::move(request));
    }
    if (request.path == "/v1/history") {
      co_return co_await History(std::move(request));
    }
    if (request.path == "/v1/status") {
      co_return co_await Status();
    }
    co_return DispatchRead(request);
  }
  if (request.path.starts_with(kBackendServersPath)) {
    if (request.method == http::verb::put) {
      co_return AnnounceBackendServer(request);
    }
    if (request.method == http::verb::delete_) {
      co_return DeregisterBackendServer(request);
    }
  }
  if (request.method == http::verb::post && request.path == "/v1/changes") {
    co_return co_await ProposeChange(std::move(request));
  }
  if (request.method == http::verb::post && request.path == "/v1/drain") {
    co_return StartDrain();
  }
  co_return ErrorResponse(http::status::not_found, "no such resource",
                          "see docs/PROTOCOLS.md");
}

HttpResponse AdminApi::DispatchRead(const ParsedRequest& request) const {
  if (request.path == "/healthz") {
    return MakeResponse(http::status::ok, {{"status", "ok"}});
  }
  if (request.path == "/readyz") {
    return Readiness();
  }
  if (request.path == "/metrics") {
    HttpResponse response =
        JsonResponse(http::status::ok, m_options.metrics.Serialize());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
  }
  if (request.path == "/v1/release") {
    return AppliedRelease();
  }
  if (request.path == "/v1/members") {
    return Members();
  }
  if (request.path == "/v1/explain") {
    return Explain();
  }
  if (request.path == "/v1/routes") {
    return Routes();
  }
  return ErrorResponse(http::status::not_found, "no such resource",
                       "see docs/PROTOCOLS.md");
}

bool AdminApi::IsReady() const {
  return !m_options.is_draining() && m_options.data.snapshot() &&
         m_options.control.distribution_status().serving !=
             ServingState::kLearning;
}

HttpResponse AdminApi::Readiness() const {
  const DistributionStatus& distribution =
      m_options.control.distribution_status();
  json body = RevisionJson(m_options.control.applied_release()->revision);
  body["known_revision"] = distribution.known_revision.number;
  if (m_options.is_draining()) {
    body["reason"] = "draining";
  } else if (distribution.serving == ServingState::kLearning) {
    body["reason"] = "learning which revision is the newest";
  } else if (!m_options.data.snapshot()) {
    body["reason"] = "no configuration is applied";
  }
  if (body.contains("reason")) {
    return MakeResponse(http::status::service_unavailable, body);
  }
  body["degraded"] = distribution.serving == ServingState::kDegraded;
  return MakeResponse(http::status::ok, body);
}

HttpResponse AdminApi::AppliedRelease() const {
  return MakeResponse(http::status::ok,
                      ToJson(*m_options.control.applied_release()));
}

HttpResponse AdminApi::Members() const {
  const MembershipView& view = *m_options.control.membership();
  json members = json::array();
  for (const auto& member : view.members) {
    members.push_back(MemberJson(*member));
  }
  return MakeResponse(http::status::ok,
                      {{"node", m_options.settings.node.str()},
                       {"isolated", view.isolated},
                       {"members", members}});
}

HttpResponse AdminApi::Explain() const {
  json rules = json::array();
  const std::optional<CompiledConfig> config =
      CompileRelease(*m_options.control.applied_release(),
                     {.checks = ValueChecks::kAccepted})
          .config;
  if (config) {
    for (const RuleExplanation& entry :
         ExplainRules(*config, m_options.settings.labels)) {
      rules.push_back(ToJson(entry));
    }
  }
  return MakeResponse(
      http::status::ok,
      {{"node", m_options.settings.node.str()},
       {"labels", m_options.settings.labels},
       {"revision", m_options.control.applied_release()->revision.number},
       {"rules", rules},
       {"teams", TeamsJson(m_options.quotas)}});
}

HttpResponse AdminApi::Routes() const {
  json routes = json::array();
  const auto& snapshot = m_options.data.snapshot();
  if (snapshot) {
    for (const Route& route : snapshot->routes()) {
      for (const RouteTarget& target : route.targets) {
        routes.push_back(
            RouteJson(route, snapshot->services()[target.service]));
      }
    }
  }
  return MakeResponse(http::status::ok,
                      {{"revision", snapshot ? snapshot->revision().number : 0},
                       {"routes", routes}});
}

HttpResponse AdminApi::AnnounceBackendServer(const ParsedRequest& request) {
  const std::string id = request.path.substr(kBackendServersPath.size());
  std::vector<Fault> faults;
  if (!kNameRule.accepts(id)) {
    faults.push_back({.place = "id",
                      .message = "invalid name '" + id + "'",
                      .remedy = "use " + std::string(kNameRule.allowed)});
  }
  BackendServerRecord record =
      ParseServer(id, json::parse(request.body), faults);
  if (!faults.empty()) {
    return FaultsResponse("invalid announcement", faults);
  }
  m_options.data.Announce({.record = std::move(record)});
  return MakeResponse(http::status::ok, {{"id", id}});
}

HttpResponse AdminApi::DeregisterBackendServer(const ParsedRequest& request) {
  const std::string id = request.path.substr(kBackendServersPath.size());
  if (!m_options.data.Deregister({.id = BackendServerId(id)})) {
    return ErrorResponse(http::status::not_found,
                         "unknown backend server " + id,
                         "no action needed: it is not registered at this node");
  }
  return MakeResponse(http::status::ok, {{"id", id}});
}

HttpResponse AdminApi::StartDrain() {
  m_options.start_drain();
  return MakeResponse(http::status::accepted, {{"status", "draining"}});
}

asio::awaitable<HttpResponse> AdminApi::NewestRelease() {
  const std::optional<VersionedHead> head =
      co_await LoadHead(m_options.platform);
  if (!head) {
    co_return MakeResponse(http::status::ok, ToJson(Release{}));
  }
  const Release release = co_await LoadRelease(
      m_options.platform, head->head, m_options.control.applied_release());
  co_return MakeResponse(http::status::ok, ToJson(release));
}

asio::awaitable<HttpResponse> AdminApi::ReleaseAt(ParsedRequest request) {
  const std::string text = request.path.substr(kReleasesPath.size());
  ReleaseNumber revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  const std::optional<ReleaseHead> head =
      co_await LoadHeadAt(m_options.platform, revision);
  if (!head) {
    co_return ErrorResponse(http::status::not_found, "unknown revision " + text,
                            "see /v1/history for existing revisions");
  }
  const Release release = co_await LoadRelease(
      m_options.platform, *head, m_options.control.applied_release());
  co_return MakeResponse(http::status::ok, ToJson(release));
}

asio::awaitable<HttpResponse> AdminApi::History(ParsedRequest request) {
  constexpr std::size_t kDefaultEntries = 20;
  constexpr std::size_t kMaxEntries = 200;
  const std::size_t limit = std::min(
      ParseQueryNumber(request.query, "limit", kDefaultEntries), kMaxEntries);
  const std::vector<HistoryEntry> history =
      co_await LoadHistory(m_options.platform, limit);
  json list = json::array();
  for (const HistoryEntry& entry : history) {
    list.push_back({{"revision", entry.revision},
                    {"change", entry.change.str()},
                    {"author", entry.author},
                    {"time", entry.time},
                    {"summary", entry.summary}});
  }
  co_return MakeResponse(http::status::ok, {{"history", list}});
}

asio::awaitable<HttpResponse> AdminApi::ProposeChange(ParsedRequest request) {
  const ChangeParseResult parsed =
      ParseChangeProposal(json::parse(request.body));
  if (!parsed.proposal) {
    co_return FaultsResponse("invalid change", parsed.faults);
  }
  PublishOptions options{
      .time = FormatWallTime(std::chrono::system_clock::now()),
      .known_release = m_options.control.applied_release()};
  const PublishOutcome outcome =
      co_await Publish(m_options.platform, *parsed.proposal, options);
  if (outcome.release) {
    m_options.control.OnReleaseRead(
        std::make_shared<const Release>(*outcome.release));
  }
  co_return PublishResponse(outcome);
}

/// The part of the status that needs no call of the platform.
json AdminApi::OwnStatus() const {
  const ControlPlane& control = m_options.control;
  const Revision& applied = control.applied_release()->revision;
  json body = RevisionJson(applied);
  // The status of the distribution arrives a moment after what it applied.
  body["known"] = RevisionJson(
      std::max(applied, control.distribution_status().known_revision));
  body["refused"] = RefusedJson(control);
  body["store"] = ShownJson(control);
  body["store_is_behind"] = control.store_is_behind();
  body["platform"] = "reachable";
  body["domains"] = json::array();
  body["teams"] = TeamsJson(m_options.quotas);
  return body;
}

asio::awaitable<HttpResponse> AdminApi::Status() {
  constexpr std::string_view kStatusPrefix = "status/";
  json body = OwnStatus();
  try {
    const std::string prefix(kStatusPrefix);
    const auto listed = co_await m_options.platform.List(prefix);
    const WallTime now = std::chrono::system_clock::now();
    for (const StoredObject& object : listed.objects) {
      const DomainStatus status = ParseDomainStatus(object.value);
      const Duration age = now - ParseWallTime(status.time);
      json summary = ToJson(status);
      summary["age_ms"] = std::max<std::int64_t>(
          std::chrono::duration_cast<milliseconds>(age).count(), 0);
      body["domains"].push_back(std::move(summary));
    }
  } catch (const Error&) {
    body["platform"] = "unreachable";
  }
  co_return MakeResponse(http::status::ok, body);
}

}  // namespace banyantrail
