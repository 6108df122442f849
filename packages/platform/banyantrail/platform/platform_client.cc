#include "banyantrail/platform/platform_client.h"

#include <algorithm>
#include <utility>

#include "banyantrail/config/json_object_reader.h"
#include "banyantrail/config/json_text.h"
#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxListedObjects = 100'000;
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kUnavailableRemedy =
    "check that the platform runs and can be reached";

Error Malformed(std::string message) {
  return Error({.kind = ErrorKind::kMalformedMessage,
                .message = std::move(message),
                .remedy = "check that the platform runs a compatible version"});
}

bool IsKeyCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '/' || c == '.' || c == '_' || c == '-';
}

void CheckKey(const std::string& key) {
  if (key.empty() || !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "'" + key + "' is not a key of the platform",
                 .remedy = "use letters, digits and / . _ - only"});
  }
}

HttpRequest MakeRequest(http::verb verb, const std::string& target) {
  return HttpRequest(verb, target, kHttp11);
}

HttpRequest MakeObjectRequest(http::verb verb,
                              const std::string& key,
                              std::optional<std::uint64_t> expected_version) {
  CheckKey(key);
  HttpRequest request = MakeRequest(verb, "/objects/" + key);
  if (expected_version) {
    request.set(http::field::if_match, std::to_string(*expected_version));
  }
  return request;
}

json ParseBody(const HttpResponse& response) {
  JsonTextResult result = ParseJsonText(response.body(), "platform answer");
  if (!result.faults.empty()) {
    throw Malformed(result.faults.front().place + " " +
                    result.faults.front().message);
  }
  return std::move(result.value);
}

/// Takes a field out of a JSON object, which must have it.
json TakeField(json& object, const char* key) {
  const bool found = object.is_object() && object.contains(key);
  if (!found) {
    throw Malformed(std::string("the platform's answer lacks ") + key);
  }
  return std::move(object[key]);
}

std::uint64_t TakeVersion(json& object) {
  const json version = TakeField(object, "version");
  if (!version.is_number_unsigned()) {
    throw Malformed("the platform's answer has no valid version");
  }
  return version.get<std::uint64_t>();
}

StoredObject TakeObject(json& object) {
  const json key = TakeField(object, "key");
  if (!key.is_string()) {
    throw Malformed("the platform's answer has no valid key");
  }
  StoredObject stored{.key = key.get<std::string>(),
                      .version = TakeVersion(object)};
  if (object.contains("value")) {
    stored.value = std::move(object["value"]);
  }
  return stored;
}

WatchEvent TakeEvent(json& object) {
  WatchEvent event{.object = TakeObject(object)};
  event.deleted = object.value("deleted", json(false)) == json(true);
  return event;
}

/// Takes each element of an array field with `take`.
template <typename Element, typename Take>
std::vector<Element> TakeArray(json& object, const char* key, Take take) {
  json array = TakeField(object, key);
  if (!array.is_array() || array.size() > kMaxListedObjects) {
    throw Malformed(std::string("the platform's answer has no valid ") + key);
  }
  std::vector<Element> elements;
  elements.reserve(array.size());
  for (json& element : array) {
    elements.push_back(take(element));
  }
  return elements;
}

[[noreturn]] void ThrowUnexpected(const HttpResponse& response) {
  throw Malformed("the platform answered with status " +
                  std::to_string(response.result_int()));
}

/// Turns an answer that is an error of the platform into one. 429 and 503 say
/// that the platform did nothing; after any other server error a write may
/// have taken effect.
void CheckStatus(const HttpResponse& response, bool idempotent) {
  const unsigned status = response.result_int();
  if (response.result() == http::status::too_many_requests) {
    throw Error({.kind = ErrorKind::kPlatformOverloaded,
                 .message = "the platform is over its budget",
                 .remedy = "try again later"});
  }
  constexpr unsigned kFirstServerError = 500;
  if (status < kFirstServerError) {
    return;
  }
  const bool nothing_done =
      idempotent || response.result() == http::status::service_unavailable;
  throw Error(
      {.kind = nothing_done ? ErrorKind::kPlatformUnavailable
                            : ErrorKind::kOutcomeUnknown,
       .message = "the platform answered with status " + std::to_string(status),
       .remedy = std::string(kUnavailableRemedy)});
}

bool IsWorthRetrying(ErrorKind kind) {
  return kind == ErrorKind::kPlatformUnavailable ||
         kind == ErrorKind::kPlatformOverloaded;
}

}  // namespace

PlatformClient::PlatformClient(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor)),
      m_options(std::move(options)),
      m_rate(m_options.rate, SystemClock().Now()),
      m_rng(m_options.seed) {
  for (const IpEndpoint& server : m_options.servers) {
    // A connection that the platform may have closed for idleness costs a
    // write its certainty, so idle ones are not kept for long.
    constexpr Duration kMaxIdleTime = seconds(5);
    m_clients.push_back(std::make_unique<HttpClient>(
        m_executor,
        HttpClient::Options{.server = server,
                            .max_body_bytes = m_options.max_answer_bytes,
                            .max_idle_time = kMaxIdleTime}));
  }
}

asio::awaitable<std::optional<StoredObject>> PlatformClient::Get(
    std::string key) {
  CheckKey(key);
  ++m_counters.reads;
  const HttpResponse response =
      co_await Read("/objects/" + key, m_options.attempt_timeout);
  if (response.result() == http::status::not_found) {
    co_return std::nullopt;
  }
  if (response.result() != http::status::ok) {
    ThrowUnexpected(response);
  }
  json body = ParseBody(response);
  std::optional<StoredObject> object = TakeObject(body);
  co_return object;
}

asio::awaitable<PutResult> PlatformClient::Put(
    std::string key,
    json value,
    std::optional<std::uint64_t> expected_version) {
  HttpRequest request =
      MakeObjectRequest(http::verb::put, key, expected_version);
  request.set(http::field::content_type, "application/json");
  request.body() = json{{"value", std::move(value)}}.dump();
  if (request.body().size() > kMaxValueBytes) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "the value of " + key + " is above 1 MB",
                 .remedy = "split it over several objects"});
  }
  ++m_counters.writes;
  const HttpResponse response = co_await Write(std::move(request));
  const bool written = response.result() == http::status::ok;
  if (!written && response.result() != http::status::precondition_failed) {
    ThrowUnexpected(response);
  }
  json body = ParseBody(response);
  co_return PutResult{
      .status = written ? PutStatus::kWritten : PutStatus::kVersionMismatch,
      .version = TakeVersion(body)};
}

asio::awaitable<DeleteStatus> PlatformClient::Delete(
    std::string key,
    std::optional<std::uint64_t> expected_version) {
  HttpRequest request =
      MakeObjectRequest(http::verb::delete_, key, expected_version);
  ++m_counters.writes;
  const HttpResponse response = co_await Write(std::move(request));
  switch (response.result()) {
    case http::status::ok:
      co_return DeleteStatus::kDeleted;
    case http::status::not_found:
      co_return DeleteStatus::kAbsent;
    case http::status::precondition_failed:
      co_return DeleteStatus::kVersionMismatch;
    default:
      ThrowUnexpected(response);
  }
}

asio::awaitable<ListResult> PlatformClient::List(std::string prefix) {
  CheckKey(prefix);
  ++m_counters.reads;
  const HttpResponse response =
      co_await Read("/list?prefix=" + prefix, m_options.attempt_timeout);
  if (response.result() != http::status::ok) {
    ThrowUnexpected(response);
  }
  json body = ParseBody(response);
  ListResult result{.version = TakeVersion(body)};
  result.objects = TakeArray<StoredObject>(body, "objects", TakeObject);
  co_return result;
}

asio::awaitable<WatchResult> PlatformClient::Watch(std::string prefix,
                                                   std::uint64_t after,
                                                   milliseconds wait) {
  CheckKey(prefix);
  ++m_counters.watches;
  const std::string target = "/watch?prefix=" + prefix +
                             "&after=" + std::to_string(after) +
                             "&wait_ms=" + std::to_string(wait.count());
  const HttpResponse response =
      co_await Read(target, m_options.attempt_timeout + wait);
  if (response.result() != http::status::ok) {
    ThrowUnexpected(response);
  }
  json body = ParseBody(response);
  WatchResult result{.version = TakeVersion(body)};
  result.events = TakeArray<WatchEvent>(body, "events", TakeEvent);
  co_return result;
}

asio::awaitable<HttpResponse> PlatformClient::Read(std::string target,
                                                   Duration timeout) {
  co_return co_await Call(MakeRequest(http::verb::get, target), timeout, true);
}

asio::awaitable<HttpResponse> PlatformClient::Write(HttpRequest request) {
  co_return co_await Call(std::move(request), m_options.attempt_timeout, false);
}

asio::awaitable<HttpResponse> PlatformClient::Call(HttpRequest request,
                                                   Duration timeout,
                                                   bool idempotent) {
  Backoff backoff(m_options.backoff);
  std::optional<Error> failure;
  for (std::uint32_t i = 0; i < m_options.max_attempts; ++i) {
    if (i > 0) {
      ++m_counters.retries;
      co_await Sleep(backoff.Next(m_rng));
    }
    co_await WaitForRate();
    try {
      HttpResponse response = co_await Attempt(request, timeout, idempotent);
      m_reachable = true;
      co_return response;
    } catch (const Error& error) {
      failure = error;
    }
    m_next_client = (m_next_client + 1) % m_clients.size();
    if (!IsWorthRetrying(failure->kind())) {
      break;
    }
  }
  m_reachable = failure->kind() == ErrorKind::kPlatformOverloaded;
  Count(*failure);
  throw *failure;
}

asio::awaitable<HttpResponse> PlatformClient::Attempt(HttpRequest request,
                                                      Duration timeout,
                                                      bool idempotent) {
  HttpClient& client = *m_clients[m_next_client];
  std::optional<Error> failure;
  try {
    HttpResponse response =
        co_await client.Request(std::move(request), timeout);
    CheckStatus(response, idempotent);
    co_return response;
  } catch (const HttpClientError& error) {
    const bool unknown = error.request_sent() && !idempotent;
    failure = Error({.kind = unknown ? ErrorKind::kOutcomeUnknown
                                     : ErrorKind::kPlatformUnavailable,
                     .message = error.message(),
                     .remedy = std::string(kUnavailableRemedy)});
  }
  throw *failure;
}

asio::awaitable<void> PlatformClient::Sleep(Duration duration) {
  asio::steady_timer timer(m_executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> PlatformClient::WaitForRate() {
  const TimePoint now = SystemClock().Now();
  const Duration expected = m_rate.ExpectedWait(now);
  if (expected > Duration::zero()) {
    ++m_counters.rate_limited;
  }
  if (expected > m_options.max_rate_wait) {
    throw Error(
        {.kind = ErrorKind::kPlatformOverloaded,
         .message = "this node's rate limit for the platform is used up",
         .remedy = "try again later"});
  }
  const Duration wait = m_rate.Reserve(now);
  if (wait > Duration::zero()) {
    co_await Sleep(wait);
  }
}

void PlatformClient::Count(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kPlatformOverloaded:
      ++m_counters.overloaded;
      return;
    case ErrorKind::kOutcomeUnknown:
      ++m_counters.outcome_unknown;
      return;
    case ErrorKind::kMalformedMessage:
      ++m_counters.malformed;
      return;
    default:
      ++m_counters.unavailable;
      return;
  }
}

}  // namespace banyantrail
