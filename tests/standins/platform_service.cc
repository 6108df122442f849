#include "standins/platform_service.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "banyantrail/net/http_server.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/objects/";
constexpr milliseconds kMaxWatchWait{60'000};

HttpResponse MakeResponse(http::status status, const json& body) {
  return JsonResponse(status, body.dump());
}

HttpResponse MakeErrorResponse(http::status status, const std::string& error) {
  return MakeResponse(status, {{"error", error}});
}

/// The version in the If-Match header, if the request has one. Throws
/// std::invalid_argument if it is not a number.
std::optional<std::uint64_t> ParseIfMatch(const HttpRequest& request) {
  const auto header = request.find(http::field::if_match);
  if (header == request.end()) {
    return std::nullopt;
  }
  const auto text = header->value();
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, version).ptr != end || text.empty()) {
    throw std::invalid_argument("If-Match is not a version number");
  }
  return version;
}

json ToJson(const StoredObject& object) {
  return {{"key", object.key},
          {"version", object.version},
          {"value", json::parse(object.value)}};
}

json ToEvent(const StoredObject& object) {
  json event = {{"key", object.key},
                {"version", object.version},
                {"deleted", object.deleted}};
  event["value"] = object.deleted ? json(nullptr) : json::parse(object.value);
  return event;
}

HttpResponse ToResponse(const WriteResult& result) {
  switch (result.status) {
    case WriteStatus::kDone:
      return MakeResponse(http::status::ok, {{"version", result.version}});
    case WriteStatus::kVersionMismatch:
      return MakeResponse(http::status::precondition_failed,
                          {{"version", result.version}});
    case WriteStatus::kNotFound:
      return MakeErrorResponse(http::status::not_found, "no such object");
    case WriteStatus::kTooLarge:
      return MakeErrorResponse(http::status::payload_too_large,
                               "value larger than 1 MB");
  }
  return MakeErrorResponse(http::status::internal_server_error,
                           "invalid write status");
}

/// The "value" member of a PUT body, as JSON text.
std::string ParseValue(const HttpRequest& request) {
  return json::parse(request.body()).at("value").dump();
}

}  // namespace

PlatformService::PlatformService(asio::any_io_executor executor,
                                 Options options)
    : m_executor(std::move(executor)),
      m_write_limiter(options.writes_per_second, SystemClock().Now()),
      m_read_limiter(options.reads_per_second, SystemClock().Now()) {}

asio::awaitable<std::optional<HttpResponse>> PlatformService::Handle(
    HttpRequest request) {
  std::string failure;
  try {
    if (request.target() == "/standin/faults") {
      co_return SetFaults(request.body());
    }
    if (request.target() == "/standin/counters") {
      co_return Counters();
    }
    co_return co_await HandleObjectApi(std::move(request));
  } catch (const std::exception& error) {
    failure = error.what();
  }
  co_return MakeErrorResponse(http::status::bad_request, failure);
}

asio::awaitable<std::optional<HttpResponse>> PlatformService::HandleObjectApi(
    HttpRequest request) {
  if (m_faults.outage) {
    co_return std::nullopt;
  }
  const RequestTarget target =
      ParseRequestTarget({request.target().data(), request.target().size()});
  const bool is_object = target.path.starts_with(kObjectsPath);
  const std::string key =
      is_object
          ? target.path.substr(kObjectsPath.size())
          : (target.query.contains("prefix") ? target.query.at("prefix") : "");
  if (!key.empty() && !IsValidKey(key)) {
    co_return MakeErrorResponse(
        http::status::bad_request,
        "key contains characters other than letters, digits and /._-");
  }
  const bool is_write = is_object && request.method() != http::verb::get;
  if (!TryTakeToken(is_write, key)) {
    co_return MakeErrorResponse(http::status::too_many_requests,
                                "rate limit exceeded");
  }
  if (m_faults.delay.count() > 0) {
    asio::steady_timer delay(m_executor);
    delay.expires_after(m_faults.delay);
    co_await delay.async_wait(asio::use_awaitable);
  }
  if (m_faults.outage) {
    co_return std::nullopt;
  }
  if (is_write) {
    co_return HandleWrite(request, key);
  }
  if (is_object) {
    co_return HandleRead(key);
  }
  if (target.path == "/list") {
    co_return HandleList(target);
  }
  if (target.path == "/watch") {
    co_return co_await HandleWatch(target);
  }
  co_return MakeErrorResponse(http::status::not_found, "unknown path");
}

std::optional<HttpResponse> PlatformService::HandleRead(
    const std::string& key) {
  const auto object = m_store.Get(key);
  if (!object) {
    return MakeErrorResponse(http::status::not_found, "no such object");
  }
  return MakeResponse(http::status::ok, ToJson(*object));
}

std::optional<HttpResponse> PlatformService::HandleWrite(
    const HttpRequest& request,
    const std::string& key) {
  WriteResult result;
  if (request.method() == http::verb::put) {
    result = m_store.Put(key, ParseValue(request), ParseIfMatch(request));
  } else if (request.method() == http::verb::delete_) {
    result = m_store.Delete(key, ParseIfMatch(request));
  } else {
    return MakeErrorResponse(http::status::method_not_allowed,
                             "use GET, PUT or DELETE");
  }
  if (result.status != WriteStatus::kDone) {
    return ToResponse(result);
  }
  WakeMatchingWatches(key);
  if (m_faults.responses_to_drop > 0) {
    --m_faults.responses_to_drop;
    return std::nullopt;
  }
  return ToResponse(result);
}

HttpResponse PlatformService::HandleList(const RequestTarget& target) {
  json objects = json::array();
  for (const StoredObject& object : m_store.List(target.query.at("prefix"))) {
    objects.push_back(ToJson(object));
  }
  return MakeResponse(http::status::ok, {{"version", m_store.version()},
                                         {"objects", std::move(objects)}});
}

asio::awaitable<std::optional<HttpResponse>> PlatformService::HandleWatch(
    RequestTarget target) {
  ++m_counters.watches;
  const std::string prefix = target.query.at("prefix");
  const std::uint64_t after = QueryNumber(target, "after", 0);
  const auto requested_wait = milliseconds(QueryNumber(target, "wait_ms", 0));
  const TimePoint deadline =
      SystemClock().Now() + std::min(requested_wait, kMaxWatchWait);

  std::vector<StoredObject> changes = m_store.ChangesAfter(prefix, after);
  while (changes.empty() && SystemClock().Now() < deadline) {
    const auto remaining =
        std::chrono::ceil<milliseconds>(deadline - SystemClock().Now());
    co_await WaitForChange(prefix, remaining);
    if (m_faults.outage) {
      co_return std::nullopt;
    }
    changes = m_store.ChangesAfter(prefix, after);
  }
  json events = json::array();
  for (const StoredObject& object : changes) {
    events.push_back(ToEvent(object));
  }
  co_return MakeResponse(http::status::ok, {{"version", m_store.version()},
                                            {"events", std::move(events)}});
}

asio::awaitable<void> PlatformService::WaitForChange(std::string prefix,
                                                     milliseconds wait) {
  const std::uint64_t id = m_next_watch++;
  const auto [entry, inserted] = m_watches.emplace(
      id, Watch{std::move(prefix), asio::steady_timer(m_executor)});
  entry->second.timer.expires_after(wait);
  boost::system::error_code ignored;
  co_await entry->second.timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  m_watches.erase(id);
}

void PlatformService::WakeMatchingWatches(const std::string& key) {
  for (auto& [id, watch] : m_watches) {
    if (key.starts_with(watch.prefix)) {
      watch.timer.cancel();
    }
  }
}

bool PlatformService::TryTakeToken(bool is_write, const std::string& key) {
  const TimePoint now = SystemClock().Now();
  const bool granted =
      is_write ? m_write_limiter.TryTake(now) : m_read_limiter.TryTake(now);
  if (!granted) {
    ++m_counters.rejected;
    return false;
  }
  ++(is_write ? m_counters.writes : m_counters.reads);
  ++m_counters.by_prefix[key.substr(0, key.find('/'))];
  return true;
}

HttpResponse PlatformService::SetFaults(const std::string& body) {
  const json faults = json::parse(body);
  m_faults.outage = faults.value("outage", m_faults.outage);
  m_faults.delay =
      milliseconds(faults.value("delay_ms", m_faults.delay.count()));
  m_faults.responses_to_drop =
      faults.value("lose_answers", m_faults.responses_to_drop);
  if (m_faults.outage) {
    for (auto& [id, watch] : m_watches) {
      watch.timer.cancel();
    }
  }
  return MakeResponse(http::status::ok, json::object());
}

HttpResponse PlatformService::Counters() const {
  return MakeResponse(http::status::ok, {{"reads", m_counters.reads},
                                         {"writes", m_counters.writes},
                                         {"watches", m_counters.watches},
                                         {"waiting", m_watches.size()},
                                         {"rejected", m_counters.rejected},
                                         {"by_prefix", m_counters.by_prefix}});
}

}  // namespace banyantrail::standins
