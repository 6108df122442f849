#include "standins/run_log.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/core/clock.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

/// Microseconds on the monotonic clock, which all processes of a VM share.
std::int64_t NowMicros() {
  const auto since_boot = SystemClock().Now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(since_boot).count();
}

}  // namespace

RunLog::RunLog(Options options) : m_options(std::move(options)) {
  if (!m_options.file.empty()) {
    m_out.open(m_options.file, std::ios::app);
  }
}

void RunLog::Write(const RunRecord& record) {
  if (!m_out.is_open()) {
    return;
  }
  const json line = {{"t_us", NowMicros()},
                     {"event", record.event},
                     {"server", m_options.server_id},
                     {"service", m_options.service},
                     {"run", record.run},
                     {"request", record.request_id},
                     {"key", record.idempotency_key},
                     {"method", record.method},
                     {"path", record.path}};
  m_out << line.dump() << std::endl;
}

void RunLog::WriteServerEvent(std::string_view event) {
  if (!m_out.is_open()) {
    return;
  }
  const json line = {{"t_us", NowMicros()},
                     {"event", event},
                     {"server", m_options.server_id},
                     {"service", m_options.service}};
  m_out << line.dump() << std::endl;
}

}  // namespace banyantrail::standins
