#include "banyantrail/store/store_transport.h"

#include <utility>

#include "banyantrail/core/errors.h"

namespace banyantrail {
namespace {

constexpr std::string_view kUnavailableRemedy =
    "check that the platform is running and reachable";

/// Throws the Error for a response with status 429 or 5xx. 429 and 503 mean
/// that the platform did not execute the request; after any other server error
/// a write may have taken effect.
void CheckStatus(const HttpResponse& response,
                 StoreTransport::RequestType type) {
  const unsigned status = response.result_int();
  if (response.result() == http::status::too_many_requests) {
    throw Error({.kind = ErrorKind::kPlatformOverloaded,
                 .message = "the platform is overloaded (status 429)",
                 .remedy = "try again later"});
  }
  constexpr unsigned kMinServerErrorStatus = 500;
  if (status < kMinServerErrorStatus) {
    return;
  }
  const bool had_no_effect =
      type == StoreTransport::RequestType::kRead ||
      response.result() == http::status::service_unavailable;
  throw Error({.kind = had_no_effect ? ErrorKind::kPlatformUnavailable
                                     : ErrorKind::kOutcomeUnknown,
               .message = "the platform responded with status " +
                          std::to_string(status),
               .remedy = std::string(kUnavailableRemedy)});
}

bool IsRetryable(ErrorKind kind) {
  return kind == ErrorKind::kPlatformUnavailable ||
         kind == ErrorKind::kPlatformOverloaded;
}

}  // namespace

StoreTransport::StoreTransport(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor)),
      m_options(std::move(options)),
      m_rate_limiter(m_options.rate_limit, SystemClock().Now()),
      m_rng(m_options.seed) {
  for (const IpEndpoint& server : m_options.servers) {
    // When the platform closes an idle connection just as a write is sent, the
    // outcome of the write is unknown; a short idle time makes that unlikely.
    constexpr Duration kMaxIdleTime = seconds(5);
    m_clients.push_back(std::make_unique<HttpClient>(
        m_executor,
        HttpClient::Options{.server = server,
                            .max_body_bytes = m_options.max_response_bytes,
                            .max_idle_time = kMaxIdleTime}));
  }
}

asio::awaitable<HttpResponse> StoreTransport::Call(HttpRequest request,
                                                   Duration timeout,
                                                   RequestType type) {
  if (m_clients.empty()) {
    throw Error({.kind = ErrorKind::kPlatformUnavailable,
                 .message = "the settings contain no store address",
                 .remedy = "add the address of a store to the settings"});
  }
  Backoff backoff(m_options.backoff);
  std::optional<Error> failure;
  for (std::uint32_t i = 0; i < m_options.max_attempts; ++i) {
    if (i > 0) {
      ++m_counters.retries;
      co_await Sleep(backoff.Next(m_rng));
    }
    co_await WaitForRateLimit();
    try {
      HttpResponse response = co_await Attempt(request, timeout, type);
      m_reachable = true;
      co_return response;
    } catch (const Error& error) {
      failure = error;
    }
    m_next_client = (m_next_client + 1) % m_clients.size();
    if (!IsRetryable(failure->kind())) {
      break;
    }
  }
  m_reachable = failure->kind() == ErrorKind::kPlatformOverloaded;
  CountFailure(*failure);
  throw *failure;
}

asio::awaitable<HttpResponse> StoreTransport::Attempt(HttpRequest request,
                                                      Duration timeout,
                                                      RequestType type) {
  HttpClient& client = *m_clients[m_next_client];
  std::optional<Error> failure;
  try {
    HttpResponse response =
        co_await client.Request(std::move(request), timeout);
    CheckStatus(response, type);
    co_return response;
  } catch (const HttpClientError& error) {
    const bool is_unknown = error.request_sent() && type == RequestType::kWrite;
    failure = Error({.kind = is_unknown ? ErrorKind::kOutcomeUnknown
                                        : ErrorKind::kPlatformUnavailable,
                     .message = error.message(),
                     .remedy = std::string(kUnavailableRemedy)});
  }
  throw *failure;
}

asio::awaitable<void> StoreTransport::Sleep(Duration duration) {
  asio::steady_timer timer(m_executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> StoreTransport::WaitForRateLimit() {
  const TimePoint now = SystemClock().Now();
  const Duration expected = m_rate_limiter.ExpectedWait(now);
  if (expected > Duration::zero()) {
    ++m_counters.rate_limited;
  }
  if (expected > m_options.max_rate_limit_wait) {
    throw Error(
        {.kind = ErrorKind::kPlatformOverloaded,
         .message = "this node's rate limit for platform requests is exceeded",
         .remedy = "try again later"});
  }
  const Duration wait = m_rate_limiter.Reserve(now);
  if (wait > Duration::zero()) {
    co_await Sleep(wait);
  }
}

void StoreTransport::CountFailure(const Error& error) {
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
