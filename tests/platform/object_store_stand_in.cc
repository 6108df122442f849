#include "platform/object_store_stand_in.h"

#include <utility>

#include "net/http_exchange.h"

namespace banyantrail::test {
namespace {

using nlohmann::json;

constexpr std::string_view kObjects = "/-/objects/";

HttpResponse MakeResponse(unsigned status, const json& body) {
  return JsonResponse(static_cast<http::status>(status), body.dump());
}

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string key = name + "=";
  const std::size_t start = query.find(key);
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + key.size();
  return query.substr(value, query.find('&', value) - value);
}

}  // namespace

ObjectStoreStandIn::ObjectStoreStandIn(asio::io_context& io)
    : m_io(io), m_address(FreeEndpoint(io)) {
  m_server = std::make_unique<HttpServer>(
      io, HttpServer::Options{.endpoint = m_address,
                              .handler = [this](HttpRequest request) {
                                return Respond(std::move(request));
                              }});
}

std::uint64_t ObjectStoreStandIn::Write(const std::string& kind,
                                        const std::string& name,
                                        json specification) {
  json object = {{"metadata", {{"name", name}, {"revision", ++m_revision}}},
                 {"specification", std::move(specification)},
                 {"status", nullptr}};
  m_changes.push_back({.revision = m_revision, .kind = kind, .object = object});
  m_objects[{kind, name}] = std::move(object);
  return m_revision;
}

void ObjectStoreStandIn::Remove(const std::string& kind,
                                const std::string& name) {
  const auto found = m_objects.find({kind, name});
  if (found == m_objects.end()) {
    return;
  }
  m_changes.push_back({.revision = ++m_revision,
                       .kind = kind,
                       .object = found->second,
                       .deleted = true});
  m_objects.erase(found);
}

ObjectStoreStandIn::Copy ObjectStoreStandIn::TakeCopy() const {
  Copy copy;
  copy.m_revision = m_revision;
  copy.m_objects = m_objects;
  copy.m_changes = m_changes;
  return copy;
}

void ObjectStoreStandIn::ComeBack(const Copy& copy) {
  m_revision = copy.m_revision;
  m_objects = copy.m_objects;
  m_changes = copy.m_changes;
  if (era) {
    ++*era;
  }
}

asio::awaitable<HttpResponse> ObjectStoreStandIn::Respond(HttpRequest request) {
  const std::string target(request.target());
  const std::string call = std::string(request.method_string()) + " " +
                           target.substr(0, target.find('?'));
  HttpResponse response = co_await Handle(std::move(request));
  if (era) {
    response.set("Store-Era", era_text.value_or(std::to_string(*era)));
  }
  asio::steady_timer timer(m_io);
  while (held_call == call) {
    timer.expires_after(milliseconds(2));
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return response;
}

asio::awaitable<HttpResponse> ObjectStoreStandIn::Handle(HttpRequest request) {
  const std::string target(request.target());
  const std::size_t query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  ++calls[std::string(request.method_string()) + " " + path];
  const bool may_be_stale = QueryValue(query, "stale_ok") == "1";
  full_calls += may_be_stale ? 0 : 1;
  if (unresponsive) {
    co_await NeverRespond();
  }
  if (error_status != 0) {
    co_return MakeResponse(error_status, json::object());
  }
  const std::string rest = path.substr(kObjects.size());
  const std::size_t slash = rest.find('/');
  const Key key{rest.substr(0, slash),
                slash == std::string::npos ? "" : rest.substr(slash + 1)};
  if (request.method() != http::verb::get) {
    co_return ApplyChange(request, key);
  }
  const std::string watch = QueryValue(query, "watch");
  if (!watch.empty()) {
    co_return co_await Watch(
        key.first, std::stoull(watch),
        milliseconds(std::stoull(QueryValue(query, "wait_ms"))));
  }
  if (may_be_stale && stale_copy_lags) {
    co_return MakeResponse(404, json::object());
  }
  if (key.second.empty()) {
    co_return List(key.first, QueryValue(query, "after"));
  }
  const auto found = m_objects.find(key);
  co_return found == m_objects.end() ? MakeResponse(404, json::object())
                                     : MakeResponse(200, found->second);
}

asio::awaitable<void> ObjectStoreStandIn::NeverRespond() {
  asio::steady_timer timer(m_io, TimePoint::max());
  co_await timer.async_wait(asio::use_awaitable);
}

HttpResponse ObjectStoreStandIn::ApplyChange(const HttpRequest& request,
                                             const Key& key) {
  const json body = json::parse(request.body(), nullptr, false);
  constexpr std::string_view kStatus = "/status";
  if (key.second.ends_with(kStatus)) {
    return WriteStatus(
        {key.first, key.second.substr(0, key.second.size() - kStatus.size())},
        body);
  }
  Key written = key;
  if (request.method() == http::verb::post) {
    written.second = body["metadata"]["name"].get<std::string>();
    if (m_objects.contains(written)) {
      return MakeResponse(409, m_objects[written]);
    }
  } else if (!m_objects.contains(key)) {
    return MakeResponse(404, json::object());
  }
  if (request.method() == http::verb::delete_) {
    Remove(written.first, written.second);
  } else {
    Write(written.first, written.second, body["specification"]);
  }
  if (lose_responses > 0) {
    --lose_responses;
    return MakeResponse(500, json::object());
  }
  return MakeResponse(200, json::object());
}

/// Replaces the status of an object that has the revision in `body`.
HttpResponse ObjectStoreStandIn::WriteStatus(const Key& key, const json& body) {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    return MakeResponse(404, json::object());
  }
  json& object = found->second;
  if (body["metadata"]["revision"] != object["metadata"]["revision"]) {
    return MakeResponse(409, object);
  }
  object["status"] = body["status"];
  object["metadata"]["revision"] = ++m_revision;
  m_changes.push_back(
      {.revision = m_revision, .kind = key.first, .object = object});
  return MakeResponse(200, object);
}

json ObjectStoreStandIn::EventsAfter(const std::string& kind,
                                     std::uint64_t after) const {
  json events = json::array();
  for (const Change& change : m_changes) {
    if (change.kind == kind && change.revision > after) {
      events.push_back(
          {{"object", change.object}, {"deleted", change.deleted}});
    }
  }
  return events;
}

asio::awaitable<HttpResponse> ObjectStoreStandIn::Watch(std::string kind,
                                                        std::uint64_t after,
                                                        milliseconds wait) {
  if (keeps_no_history || after < m_history_from) {
    co_return MakeResponse(410, json::object());
  }
  const auto is_ahead = [this, after] { return after > m_revision; };
  const TimePoint end = SystemClock().Now() + wait;
  asio::steady_timer timer(m_io);
  json events = EventsAfter(kind, after);
  while (!is_ahead() && events.empty() && SystemClock().Now() < end) {
    if (unresponsive) {
      co_await NeverRespond();
    }
    timer.expires_after(milliseconds(2));
    co_await timer.async_wait(asio::use_awaitable);
    events = EventsAfter(kind, after);
  }
  if (is_ahead()) {
    co_return MakeResponse(410, json::object());
  }
  co_return WithRawItems({{"as_of", m_revision}}, "events", events);
}

HttpResponse ObjectStoreStandIn::List(const std::string& kind,
                                      const std::string& after) const {
  json items = json::array();
  bool has_more = false;
  for (const auto& [key, object] : m_objects) {
    if (key.first != kind || key.second <= after) {
      continue;
    }
    if (items.size() == page_size) {
      has_more = true;
      break;
    }
    items.push_back(object);
  }
  json response = {{"has_more", has_more}, {"as_of", m_revision}};
  if (odd_paging) {
    response["has_more"] = "perhaps";
  }
  return WithRawItems(response, "items", items);
}

/// A response with the fields and the array `name`, to which `raw_items` are
/// added.
HttpResponse ObjectStoreStandIn::WithRawItems(const json& fields,
                                              const std::string& name,
                                              const json& items) const {
  std::string array = items.dump();
  if (!raw_items.empty()) {
    array.pop_back();
    array += (items.empty() ? "" : ",") + raw_items + "]";
  }
  std::string text = fields.dump();
  text.pop_back();
  text += ",\"" + name + "\":" + array + "}";
  return JsonResponse(http::status::ok, text);
}

}  // namespace banyantrail::test
