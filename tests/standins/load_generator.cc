#include "standins/load_generator.h"

#include <random>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/wire/mesh_headers.h"
#include "standins/request_target.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

constexpr const char* kRequestIdHeader = "x-test-request-id";
/// Time after the deadline in which the response to a timed-out request may
/// still arrive.
constexpr milliseconds kResponseGracePeriod{500};

std::int64_t NowMicros() {
  const auto since_boot = SystemClock().Now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(since_boot).count();
}

std::string HeaderValue(const HttpResponse& response, std::string_view name) {
  return std::string(response[{name.data(), name.size()}]);
}

/// Whether a generated body repeats the request id, see PatternBlock in
/// backend_session.cc.
bool MatchesPattern(const std::string& body, const std::string& request_id) {
  const std::string unit = request_id + "\n";
  for (std::size_t i = 0; i < body.size(); ++i) {
    if (body[i] != unit[i % unit.size()]) {
      return false;
    }
  }
  return true;
}

/// Whether a 200 response is complete and belongs to the call. A retry may get
/// the response to an earlier attempt of the same logical request.
bool IsCorrectResponse(const Call& call,
                       const std::string& logical_request_id,
                       const HttpResponse& response) {
  const std::string request_id = HeaderValue(response, kRequestIdHeader);
  if (!request_id.starts_with(logical_request_id + ".")) {
    return false;
  }
  const RequestTarget target = ParseRequestTarget(call.target);
  const std::uint64_t bytes = QueryNumber(target, "bytes", 0);
  if (bytes > 0) {
    return response.body().size() == bytes &&
           MatchesPattern(response.body(), request_id);
  }
  const json echo = json::parse(response.body(), nullptr, false);
  return echo.is_object() && echo.value("request_id", "") == request_id &&
         echo.value("method", "") == call.method &&
         echo.value("path", "") == target.path &&
         echo.value("body_sha256", "") == Sha256Hex(call.body);
}

CallOutcome OutcomeOf(const Call& call,
                      const std::string& logical_request_id,
                      const CallResult& result) {
  if (result.status == CallStatus::kNotSent) {
    return CallOutcome::kNotRun;
  }
  if (result.status != CallStatus::kCompleted) {
    return CallOutcome::kUnknown;
  }
  const std::string declared = HeaderValue(result.response, kOutcomeHeader);
  if (declared == kOutcomeNotRun) {
    return CallOutcome::kNotRun;
  }
  if (declared == kOutcomeUnknown) {
    return CallOutcome::kUnknown;
  }
  if (result.response.result() != http::status::ok) {
    return CallOutcome::kFailed;
  }
  return IsCorrectResponse(call, logical_request_id, result.response)
             ? CallOutcome::kOk
             : CallOutcome::kWrong;
}

std::string FailureReason(const CallResult& result) {
  switch (result.status) {
    case CallStatus::kNotSent:
      return "not_connected";
    case CallStatus::kConnectionLost:
      return "connection_broken";
    case CallStatus::kTimeout:
      return "no_answer";
    case CallStatus::kCompleted:
      break;
  }
  const std::string reason = HeaderValue(result.response, kReasonHeader);
  return reason.empty() ? std::to_string(result.response.result_int()) : reason;
}

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& io, Options options)
    : m_io(io),
      m_plan(std::move(options.plan)),
      m_client(io.get_executor()),
      m_rng(m_plan.seed) {
  if (!options.history_file.empty()) {
    m_history.open(options.history_file, std::ios::app);
  }
}

void LoadGenerator::Start() {
  for (const RequestClass& request_class : m_plan.classes) {
    asio::co_spawn(m_io, GenerateClass(request_class), asio::detached);
  }
}

asio::awaitable<void> LoadGenerator::GenerateClass(
    const RequestClass& request_class) {
  ClassReport& report = m_reports[request_class.name];
  std::uint32_t& in_flight = m_in_flight[request_class.name];
  std::exponential_distribution<double> interarrival_seconds(
      request_class.per_second);
  asio::steady_timer timer(m_io);
  const TimePoint end = SystemClock().Now() + m_plan.duration;
  TimePoint scheduled_at = SystemClock().Now();
  for (std::uint64_t number = 1;; ++number) {
    const std::chrono::duration<double> next_interval(
        interarrival_seconds(m_rng));
    scheduled_at += std::chrono::duration_cast<Duration>(next_interval);
    if (scheduled_at >= end) {
      co_return;
    }
    timer.expires_at(scheduled_at);
    co_await timer.async_wait(asio::use_awaitable);
    if (in_flight >= request_class.max_in_flight) {
      ++report.skipped;
      continue;
    }
    const std::string id =
        m_plan.caller + "-" + request_class.name + "-" + std::to_string(number);
    asio::co_spawn(
        m_io,
        SendWithRetries(
            {.request_class = &request_class,
             .id = id,
             .key = request_class.idempotency_keys ? "key-" + id : "",
             .scheduled_at = scheduled_at}),
        asio::detached);
  }
}

asio::awaitable<void> LoadGenerator::SendWithRetries(
    LogicalRequest logical_request) {
  const RequestClass& request_class = *logical_request.request_class;
  ClassReport& report = m_reports[request_class.name];
  std::uint32_t& in_flight = m_in_flight[request_class.name];
  ++in_flight;
  ++report.sent;
  CallOutcome outcome = co_await SendAttempt(logical_request, 1);
  for (std::uint32_t retry = 1; retry <= request_class.max_retries; ++retry) {
    if (outcome == CallOutcome::kOk || outcome == CallOutcome::kWrong) {
      break;
    }
    asio::steady_timer pause(m_io);
    pause.expires_after(request_class.retry_pause);
    co_await pause.async_wait(asio::use_awaitable);
    ++report.retries;
    outcome = co_await SendAttempt(logical_request, 1 + retry);
  }
  const Duration latency = SystemClock().Now() - logical_request.scheduled_at;
  ++report.outcomes[ToString(outcome)];
  if (outcome == CallOutcome::kOk) {
    report.latency.Add(latency);
    report.ok_within_deadline += latency <= request_class.deadline ? 1 : 0;
  }
  --in_flight;
}

asio::awaitable<CallOutcome> LoadGenerator::SendAttempt(
    const LogicalRequest& logical_request,
    std::uint32_t attempt) {
  const RequestClass& request_class = *logical_request.request_class;
  const IpEndpoint target =
      m_plan.targets[m_next_target++ % m_plan.targets.size()];
  const std::string request_id =
      logical_request.id + "." + std::to_string(attempt);
  const Call call = MakeCall(logical_request, request_id);
  RecordStart(logical_request, request_id, target, attempt);
  const CallResult result = co_await m_client.Exchange(
      target, call,
      request_class.deadline + request_class.body_duration +
          kResponseGracePeriod);
  const CallOutcome outcome = OutcomeOf(call, logical_request.id, result);
  const std::string reason =
      outcome == CallOutcome::kOk ? "" : FailureReason(result);
  if (!reason.empty()) {
    ++m_reports[request_class.name].reasons[reason];
  }
  RecordEnd(request_id, outcome, reason, result);
  co_return outcome;
}

Call LoadGenerator::MakeCall(const LogicalRequest& logical_request,
                             const std::string& request_id) const {
  const RequestClass& request_class = *logical_request.request_class;
  Call call{.method = request_class.method,
            .target = request_class.path,
            .body_duration = request_class.body_duration};
  call.headers = {
      {kRequestIdHeader, request_id},
      {std::string(kDeadlineHeader),
       std::to_string(
           (request_class.deadline + request_class.body_duration).count())}};
  if (!logical_request.key.empty()) {
    call.headers.emplace_back(std::string(kIdempotencyKeyHeader),
                              logical_request.key);
  }
  for (const std::string& header : request_class.headers) {
    const std::size_t colon = header.find(": ");
    call.headers.emplace_back(header.substr(0, colon),
                              header.substr(colon + 2));
  }
  if (request_class.body_bytes > 0) {
    // All attempts of a logical request have the same body.
    call.body = logical_request.id + "\n";
    call.body.resize(request_class.body_bytes, 'x');
  }
  return call;
}

void LoadGenerator::RecordStart(const LogicalRequest& logical_request,
                                const std::string& request_id,
                                const IpEndpoint& target,
                                std::uint32_t attempt) {
  if (!m_history.is_open()) {
    return;
  }
  const json line = {{"t_us", NowMicros()},
                     {"event", "call_start"},
                     {"request", request_id},
                     {"key", logical_request.key},
                     {"class", logical_request.request_class->name},
                     {"method", logical_request.request_class->method},
                     {"path", logical_request.request_class->path},
                     {"target", ToString(target)},
                     {"attempt", attempt}};
  m_history << line.dump() << "\n";
}

void LoadGenerator::RecordEnd(const std::string& request_id,
                              CallOutcome outcome,
                              const std::string& reason,
                              const CallResult& result) {
  if (!m_history.is_open()) {
    return;
  }
  const json line = {
      {"t_us", NowMicros()},
      {"event", "call_end"},
      {"request", request_id},
      {"outcome", ToString(outcome)},
      {"reason", reason},
      {"status", result.response.result_int()},
      {"answer_to", HeaderValue(result.response, kRequestIdHeader)}};
  m_history << line.dump() << std::endl;
}

json LoadGenerator::Report() const {
  json out = json::object();
  for (const auto& [name, report] : m_reports) {
    out[name] = ToJson(report, m_plan.duration);
  }
  return out;
}

}  // namespace banyantrail::standins
