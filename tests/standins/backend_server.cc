#include "standins/backend_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/core/digest.h"
#include "banyantrail/net/http_server.h"
#include "standins/backend_session.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

/// Factor on the service time right after the start. It falls to 1 linearly
/// during the cold start.
constexpr double kColdStartFactor = 5;
constexpr std::size_t kPercent = 100;

}  // namespace

BackendServer::BackendServer(TimePoint now, Options options)
    : m_options(std::move(options)),
      m_log({.file = m_options.run_log_file,
             .server_id = m_options.server_id,
             .service = m_options.service}),
      m_started_at(now),
      m_rng(Hash64(m_options.server_id)) {
  m_log.WriteServerEvent("server_up");
}

asio::awaitable<void> BackendServer::ServeConnection(beast::tcp_stream stream) {
  BackendSession session(*this, std::move(stream));
  co_await session.Run();
}

void BackendServer::StartDrain() {
  m_draining = true;
  m_log.WriteServerEvent("server_draining");
}

HttpResponse BackendServer::Health() const {
  const bool healthy = !m_faults.misleading;
  return JsonResponse(
      healthy ? http::status::ok : http::status::service_unavailable,
      json{{"status", healthy ? "ok" : "failing"}}.dump());
}

HttpResponse BackendServer::Load() const {
  const std::uint32_t load =
      m_faults.misleading
          ? m_options.slots - std::min(m_options.slots, m_busy_slots)
          : m_busy_slots;
  return JsonResponse(http::status::ok,
                      json{{"busy", load}, {"slots", m_options.slots}}.dump());
}

HttpResponse BackendServer::CountersResponse() const {
  const json body = {{"started", m_counters.started},
                     {"ended", m_counters.ended},
                     {"cancelled", m_counters.cancelled},
                     {"shed", m_counters.shed},
                     {"busy", m_busy_slots}};
  return JsonResponse(http::status::ok, body.dump());
}

HttpResponse BackendServer::SetFaults(const std::string& body) {
  const json faults = json::parse(body, nullptr, false);
  if (!faults.is_object()) {
    return JsonResponse(http::status::bad_request,
                        R"({"error":"send a JSON object"})");
  }
  m_faults.silent = faults.value("silent", m_faults.silent);
  m_faults.misleading = faults.value("misleading", m_faults.misleading);
  m_faults.responses_to_truncate =
      faults.value("cut_answers", m_faults.responses_to_truncate);
  m_faults.fail_percent = faults.value("fail_percent", m_faults.fail_percent);
  if (faults.value("silence_open", false)) {
    m_silent_below = m_next_connection;
  }
  return JsonResponse(http::status::ok, "{}");
}

bool BackendServer::IsSilent(std::uint64_t connection) const {
  return m_faults.silent || connection < m_silent_below;
}

bool BackendServer::ShouldFailRequest() {
  return UniformIndex(m_rng, kPercent) < m_faults.fail_percent;
}

milliseconds BackendServer::ServiceTime(milliseconds base_time,
                                        TimePoint now) const {
  const TimePoint warm_at = m_started_at + m_options.cold_start;
  if (now >= warm_at) {
    return base_time;
  }
  const std::chrono::duration<double> remaining = warm_at - now;
  const std::chrono::duration<double> total = m_options.cold_start;
  const double factor = 1 + (kColdStartFactor - 1) * (remaining / total);
  return std::chrono::duration_cast<milliseconds>(base_time * factor);
}

}  // namespace banyantrail::standins
