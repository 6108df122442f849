#include "banyantrail/store/store_client.h"

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

Error MalformedError(std::string message) {
  return Error(
      {.kind = ErrorKind::kMalformedMessage,
       .message = std::move(message),
       .remedy =
           "check that the versions of node and platform are compatible"});
}

bool IsKeyCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '/' || c == '.' || c == '_' || c == '-';
}

void CheckKey(const std::string& key) {
  if (key.empty() || !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "invalid object key '" + key + "'",
                 .remedy = "use only letters, digits and / . _ -"});
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
  JsonTextResult result = ParseJsonText(response.body(), "platform response");
  if (!result.faults.empty()) {
    throw MalformedError(result.faults.front().place + " " +
                         result.faults.front().message);
  }
  return std::move(result.value);
}

/// Moves a required field out of a JSON object.
json ExtractField(json& object, const char* key) {
  const bool found = object.is_object() && object.contains(key);
  if (!found) {
    throw MalformedError(std::string("the platform's response lacks ") + key);
  }
  return std::move(object[key]);
}

std::uint64_t ExtractVersion(json& object) {
  const json version = ExtractField(object, "version");
  if (!version.is_number_unsigned()) {
    throw MalformedError("the platform's response has no valid version");
  }
  return version.get<std::uint64_t>();
}

StoredObject ParseStoredObject(json& object) {
  const json key = ExtractField(object, "key");
  if (!key.is_string()) {
    throw MalformedError("the platform's response has no valid key");
  }
  StoredObject stored{.key = key.get<std::string>(),
                      .version = ExtractVersion(object)};
  if (object.contains("value")) {
    stored.value = std::move(object["value"]);
  }
  return stored;
}

WatchEvent ParseWatchEvent(json& object) {
  WatchEvent event{.object = ParseStoredObject(object)};
  event.deleted = object.value("deleted", json(false)) == json(true);
  return event;
}

/// Converts each element of a required array field with `parse`.
template <typename Element, typename Parse>
std::vector<Element> ParseArray(json& object, const char* key, Parse parse) {
  json array = ExtractField(object, key);
  if (!array.is_array() || array.size() > kMaxListedObjects) {
    throw MalformedError(std::string("the platform's response has no valid ") +
                         key);
  }
  std::vector<Element> elements;
  elements.reserve(array.size());
  for (json& element : array) {
    elements.push_back(parse(element));
  }
  return elements;
}

[[noreturn]] void ThrowUnexpectedStatus(const HttpResponse& response) {
  throw MalformedError("the platform responded with unexpected status " +
                       std::to_string(response.result_int()));
}

}  // namespace

StoreClient::StoreClient(asio::any_io_executor executor, Options options)
    : m_options(options),
      m_transport(std::move(executor), std::move(options)) {}

asio::awaitable<std::optional<StoredObject>> StoreClient::Get(std::string key) {
  CheckKey(key);
  ++m_transport.counters().reads;
  const HttpResponse response =
      co_await Read("/objects/" + key, m_options.attempt_timeout);
  if (response.result() == http::status::not_found) {
    co_return std::nullopt;
  }
  if (response.result() != http::status::ok) {
    ThrowUnexpectedStatus(response);
  }
  json body = ParseBody(response);
  std::optional<StoredObject> object = ParseStoredObject(body);
  co_return object;
}

asio::awaitable<PutResult> StoreClient::Put(
    std::string key,
    json value,
    std::optional<std::uint64_t> expected_version) {
  HttpRequest request =
      MakeObjectRequest(http::verb::put, key, expected_version);
  request.set(http::field::content_type, "application/json");
  request.body() = json{{"value", std::move(value)}}.dump();
  if (request.body().size() > kMaxValueBytes) {
    throw Error({.kind = ErrorKind::kMalformedMessage,
                 .message = "the value of " + key + " is larger than 1 MiB",
                 .remedy = "split it into several objects"});
  }
  ++m_transport.counters().writes;
  const HttpResponse response = co_await Write(std::move(request));
  const bool written = response.result() == http::status::ok;
  if (!written && response.result() != http::status::precondition_failed) {
    ThrowUnexpectedStatus(response);
  }
  json body = ParseBody(response);
  co_return PutResult{
      .status = written ? PutStatus::kWritten : PutStatus::kVersionMismatch,
      .version = ExtractVersion(body)};
}

asio::awaitable<DeleteStatus> StoreClient::Delete(
    std::string key,
    std::optional<std::uint64_t> expected_version) {
  HttpRequest request =
      MakeObjectRequest(http::verb::delete_, key, expected_version);
  ++m_transport.counters().writes;
  const HttpResponse response = co_await Write(std::move(request));
  switch (response.result()) {
    case http::status::ok:
      co_return DeleteStatus::kDeleted;
    case http::status::not_found:
      co_return DeleteStatus::kAbsent;
    case http::status::precondition_failed:
      co_return DeleteStatus::kVersionMismatch;
    default:
      ThrowUnexpectedStatus(response);
  }
}

asio::awaitable<ListResult> StoreClient::List(std::string prefix) {
  CheckKey(prefix);
  ++m_transport.counters().reads;
  const HttpResponse response =
      co_await Read("/list?prefix=" + prefix, m_options.attempt_timeout);
  if (response.result() != http::status::ok) {
    ThrowUnexpectedStatus(response);
  }
  json body = ParseBody(response);
  ListResult result{.version = ExtractVersion(body)};
  result.objects = ParseArray<StoredObject>(body, "objects", ParseStoredObject);
  co_return result;
}

asio::awaitable<WatchResult> StoreClient::Watch(std::string prefix,
                                                std::uint64_t after,
                                                milliseconds wait) {
  CheckKey(prefix);
  ++m_transport.counters().watches;
  const std::string target = "/watch?prefix=" + prefix +
                             "&after=" + std::to_string(after) +
                             "&wait_ms=" + std::to_string(wait.count());
  const HttpResponse response =
      co_await Read(target, m_options.attempt_timeout + wait);
  if (response.result() != http::status::ok) {
    ThrowUnexpectedStatus(response);
  }
  json body = ParseBody(response);
  WatchResult result{.version = ExtractVersion(body)};
  result.events = ParseArray<WatchEvent>(body, "events", ParseWatchEvent);
  co_return result;
}

asio::awaitable<HttpResponse> StoreClient::Read(std::string target,
                                                Duration timeout) {
  HttpRequest request = MakeRequest(http::verb::get, target);
  co_return co_await m_transport.Call(std::move(request), timeout,
                                      StoreTransport::RequestType::kRead);
}

asio::awaitable<HttpResponse> StoreClient::Write(HttpRequest request) {
  co_return co_await m_transport.Call(std::move(request),
                                      m_options.attempt_timeout,
                                      StoreTransport::RequestType::kWrite);
}

}  // namespace banyantrail
