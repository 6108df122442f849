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
#include "banyantrail/core/wall_time.h"
#include "banyantrail/net/http_server.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::string_view kBackendServersPath = "/v1/backend-servers/";
constexpr std::string_view kReleasesPath = "/v1/releases/";

HttpResponse Answer(http::status status, const json& body) {
  return JsonResponse(status, body.dump());
}

HttpResponse ErrorAnswer(http::status status,
                         std::string_view error,
                         std::string_view remedy) {
  return Answer(status, {{"error", error}, {"remedy", remedy}});
}

HttpResponse FaultsAnswer(std::string_view error,
                          const std::vector<Fault>& faults) {
  return Answer(http::status::unprocessable_entity,
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
          {"applied_revision", member.applied_revision},
          {"backend_servers", servers}};
}

BackendServerState ParseServerState(JsonObjectReader& reader) {
  const std::string state =
      reader.OptionalString("state", kFreeTextRule, "serving");
  if (state == "draining") {
    return BackendServerState::kDraining;
  }
  if (state != "serving") {
    reader.AddFault("state", "'" + state + "' is not a state",
                    "write serving or draining");
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

/// A route towards one of its services.
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

HttpResponse PublishAnswer(const PublishOutcome& outcome) {
  const ChangeResponse answer = ToChangeResponse(outcome);
  return Answer(http::int_to_status(answer.http_status), answer.body);
}

/// The value of a query parameter as a number, or the fallback.
std::size_t QueryNumber(const std::string& query,
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
  Call call{.method = request.method(),
            .path = target.substr(0, query),
            .query = query == std::string::npos ? "" : target.substr(query + 1),
            .body = std::move(request.body())};
  std::string failure;
  try {
    co_return co_await Dispatch(std::move(call));
  } catch (const json::exception& error) {
    failure = error.what();
  } catch (const Error& error) {
    co_return ErrorAnswer(http::status::service_unavailable, error.message(),
                          error.remedy());
  }
  co_return ErrorAnswer(http::status::bad_request, failure,
                        "send JSON as docs/PROTOCOLS.md describes it");
}

asio::awaitable<HttpResponse> AdminApi::Dispatch(Call call) {
  if (call.method == http::verb::get) {
    if (call.path == "/v1/head") {
      co_return co_await PlatformHead();
    }
    if (call.path.starts_with(kReleasesPath)) {
      co_return co_await ReleaseAt(std::move(call));
    }
    if (call.path == "/v1/history") {
      co_return co_await History(std::move(call));
    }
    if (call.path == "/v1/status") {
      co_return co_await Status();
    }
    co_return Read(call);
  }
  if (call.path.starts_with(kBackendServersPath)) {
    if (call.method == http::verb::put) {
      co_return Announce(call);
    }
    if (call.method == http::verb::delete_) {
      co_return LeaveBackendServer(call);
    }
  }
  if (call.method == http::verb::post && call.path == "/v1/changes") {
    co_return co_await ProposeChange(std::move(call));
  }
  if (call.method == http::verb::post && call.path == "/v1/drain") {
    co_return StartDrain();
  }
  co_return ErrorAnswer(http::status::not_found, "no such resource",
                        "see docs/PROTOCOLS.md");
}

HttpResponse AdminApi::Read(const Call& call) const {
  if (call.path == "/healthz") {
    return Answer(http::status::ok, {{"status", "ok"}});
  }
  if (call.path == "/readyz") {
    return Readiness();
  }
  if (call.path == "/metrics") {
    HttpResponse response =
        JsonResponse(http::status::ok, m_options.metrics.Text());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
  }
  if (call.path == "/v1/release") {
    return AppliedRelease();
  }
  if (call.path == "/v1/members") {
    return Members();
  }
  if (call.path == "/v1/explain") {
    return Explain();
  }
  if (call.path == "/v1/routes") {
    return Routes();
  }
  return ErrorAnswer(http::status::not_found, "no such resource",
                     "see docs/PROTOCOLS.md");
}

bool AdminApi::IsReady() const {
  return !m_options.is_draining() && m_options.data.snapshot() &&
         m_options.control.distribution().serving != ServingState::kLearning;
}

HttpResponse AdminApi::Readiness() const {
  const DistributionStatus& distribution = m_options.control.distribution();
  json body = {{"revision", m_options.control.release()->revision},
               {"known_revision", distribution.known_revision}};
  if (m_options.is_draining()) {
    body["reason"] = "draining";
  } else if (distribution.serving == ServingState::kLearning) {
    body["reason"] = "learning which revision is the newest";
  } else if (!m_options.data.snapshot()) {
    body["reason"] = "no configuration is applied";
  }
  if (body.contains("reason")) {
    return Answer(http::status::service_unavailable, body);
  }
  body["degraded"] = distribution.serving == ServingState::kDegraded;
  return Answer(http::status::ok, body);
}

HttpResponse AdminApi::AppliedRelease() const {
  return Answer(http::status::ok, ToJson(*m_options.control.release()));
}

HttpResponse AdminApi::Members() const {
  const MembershipView& view = *m_options.control.members();
  json members = json::array();
  for (const MemberRecord& member : view.members) {
    members.push_back(MemberJson(member));
  }
  return Answer(http::status::ok, {{"node", m_options.settings.node.str()},
                                   {"isolated", view.isolated},
                                   {"members", members}});
}

HttpResponse AdminApi::Explain() const {
  json rules = json::array();
  const std::optional<CompiledConfig> config =
      CompileRelease(*m_options.control.release()).config;
  if (config) {
    for (const RuleExplanation& entry :
         ExplainRules(*config, m_options.settings.labels)) {
      rules.push_back(ToJson(entry));
    }
  }
  return Answer(http::status::ok,
                {{"node", m_options.settings.node.str()},
                 {"labels", m_options.settings.labels},
                 {"revision", m_options.control.release()->revision},
                 {"rules", rules}});
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
  return Answer(
      http::status::ok,
      {{"revision", snapshot ? snapshot->revision() : 0}, {"routes", routes}});
}

HttpResponse AdminApi::Announce(const Call& call) {
  const std::string id = call.path.substr(kBackendServersPath.size());
  std::vector<Fault> faults;
  if (!kNameRule.accepts(id)) {
    faults.push_back({.place = "id",
                      .message = "'" + id + "' is not a name",
                      .remedy = "write " + std::string(kNameRule.allowed)});
  }
  BackendServerRecord record = ParseServer(id, json::parse(call.body), faults);
  if (!faults.empty()) {
    return FaultsAnswer("the announcement is not valid", faults);
  }
  m_options.data.Announce({.record = std::move(record)});
  return Answer(http::status::ok, {{"id", id}});
}

HttpResponse AdminApi::LeaveBackendServer(const Call& call) {
  const std::string id = call.path.substr(kBackendServersPath.size());
  if (!m_options.data.Leave({.id = BackendServerId(id)})) {
    return ErrorAnswer(http::status::not_found, "unknown backend server " + id,
                       "nothing is left to do");
  }
  return Answer(http::status::ok, {{"id", id}});
}

HttpResponse AdminApi::StartDrain() {
  m_options.start_drain();
  return Answer(http::status::accepted, {{"status", "draining"}});
}

asio::awaitable<HttpResponse> AdminApi::PlatformHead() {
  const std::optional<VersionedHead> head =
      co_await LoadHead(m_options.platform);
  if (!head) {
    co_return Answer(http::status::ok, ToJson(Release{}));
  }
  const Release release = co_await LoadRelease(m_options.platform, head->head,
                                               m_options.control.release());
  co_return Answer(http::status::ok, ToJson(release));
}

asio::awaitable<HttpResponse> AdminApi::ReleaseAt(Call call) {
  const std::string text = call.path.substr(kReleasesPath.size());
  Revision revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  const std::optional<ReleaseHead> head =
      co_await LoadHeadAt(m_options.platform, revision);
  if (!head) {
    co_return ErrorAnswer(http::status::not_found,
                          "there is no revision " + text,
                          "read /v1/history for the revisions that exist");
  }
  const Release release = co_await LoadRelease(m_options.platform, *head,
                                               m_options.control.release());
  co_return Answer(http::status::ok, ToJson(release));
}

asio::awaitable<HttpResponse> AdminApi::History(Call call) {
  constexpr std::size_t kDefaultEntries = 20;
  constexpr std::size_t kMaxEntries = 200;
  const std::size_t limit =
      std::min(QueryNumber(call.query, "limit", kDefaultEntries), kMaxEntries);
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
  co_return Answer(http::status::ok, {{"history", list}});
}

asio::awaitable<HttpResponse> AdminApi::ProposeChange(Call call) {
  const ChangeParseResult parsed = ParseChangeProposal(json::parse(call.body));
  if (!parsed.proposal) {
    co_return FaultsAnswer("the change is not valid", parsed.faults);
  }
  PublishOptions options{
      .time = FormatWallTime(std::chrono::system_clock::now()),
      .known_release = m_options.control.release()};
  const PublishOutcome outcome =
      co_await Publish(m_options.platform, *parsed.proposal, options);
  if (outcome.release) {
    m_options.control.OnReleaseRead(
        std::make_shared<const Release>(*outcome.release));
  }
  co_return PublishAnswer(outcome);
}

asio::awaitable<HttpResponse> AdminApi::Status() {
  constexpr std::string_view kStatusPrefix = "status/";
  json body = {{"revision", m_options.control.release()->revision},
               {"platform", "reachable"},
               {"domains", json::array()}};
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
  co_return Answer(http::status::ok, body);
}

}  // namespace banyantrail
