#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "banyantrail/core/random.h"
#include "banyantrail/net/asio.h"
#include "standins/call_client.h"
#include "standins/load_plan.h"
#include "standins/load_report.h"

namespace banyantrail::standins {

/// Sends the requests of a plan as open-loop load, at rates that do not depend
/// on the responses, and checks each response against its request.
class LoadGenerator {
 public:
  struct Options {
    LoadPlan plan;
    /// File to which the history is appended as JSON lines, see
    /// docs/HISTORY.md. Empty for no history.
    std::string history_file;
  };

  LoadGenerator(asio::io_context& io, Options options);

  /// Starts the load. The io_context runs out of work once all requests have
  /// ended.
  void Start();

  /// The results by class name.
  nlohmann::json Report() const;

 private:
  /// A request of the plan, which may take several attempts.
  struct LogicalRequest {
    const RequestClass* request_class = nullptr;
    std::string id;
    std::string key;
    TimePoint scheduled_at{};
  };

  asio::awaitable<void> GenerateClass(const RequestClass& request_class);
  asio::awaitable<void> SendWithRetries(LogicalRequest logical_request);
  asio::awaitable<CallOutcome> SendAttempt(
      const LogicalRequest& logical_request,
      std::uint32_t attempt);
  Call MakeCall(const LogicalRequest& logical_request,
                const std::string& request_id) const;
  void RecordStart(const LogicalRequest& logical_request,
                   const std::string& request_id,
                   const IpEndpoint& target,
                   std::uint32_t attempt);
  void RecordEnd(const std::string& request_id,
                 CallOutcome outcome,
                 const std::string& reason,
                 const CallResult& result);

  asio::io_context& m_io;
  LoadPlan m_plan;
  CallClient m_client;
  Rng m_rng;
  std::ofstream m_history;
  std::size_t m_next_target = 0;
  std::map<std::string, ClassReport> m_reports;
  std::map<std::string, std::uint32_t> m_in_flight;
};

}  // namespace banyantrail::standins
