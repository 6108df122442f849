#include "banyantrail/proxy/local_reply.h"

#include <boost/beast/http/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "banyantrail/wire/mesh_headers.h"

namespace banyantrail {
namespace {

std::string_view ToHeaderValue(ExecutionOutcome outcome) {
  return outcome == ExecutionOutcome::kNotRun ? kOutcomeNotRun
                                              : kOutcomeUnknown;
}

void SetField(HttpResponse& response,
              std::string_view name,
              std::string_view value) {
  response.set(beast::string_view(name.data(), name.size()),
               beast::string_view(value.data(), value.size()));
}

std::string RetryAfterText(const LocalReply& reply) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::int64_t ms =
      std::chrono::duration_cast<milliseconds>(reply.retry_after).count();
  if (!reply.fractional_retry_after) {
    return std::to_string((ms + kMsPerSecond - 1) / kMsPerSecond);
  }
  std::string fraction = std::to_string(ms % kMsPerSecond);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / kMsPerSecond) + "." + fraction;
}

}  // namespace

HttpResponse BuildLocalReply(const LocalReply& reply) {
  constexpr unsigned kHttp11 = 11;
  const std::string_view outcome = ToHeaderValue(reply.outcome);
  HttpResponse response(reply.status, kHttp11);
  if (!reply.metadata.empty()) {
    SetField(response, kMetadataHeader, reply.metadata);
    return response;
  }
  response.set(http::field::content_type, "application/json");
  SetField(response, kOutcomeHeader, outcome);
  SetField(response, kReasonHeader, reply.reason);
  if (!reply.load.empty()) {
    SetField(response, kLoadHeader, reply.load);
  }
  if (reply.status == http::status::unauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  if (reply.retry_after > Duration::zero()) {
    response.set(http::field::retry_after, RetryAfterText(reply));
  }
  nlohmann::json body = {{"error", "the request was not served"},
                         {"reason", reply.reason},
                         {"outcome", outcome},
                         {"remedy", reply.remedy}};
  if (reply.recorded_status != 0) {
    body["recorded_status"] = reply.recorded_status;
  }
  response.body() = body.dump();
  return response;
}

asio::awaitable<void> SendLocalReply(Downstream& downstream,
                                     LocalReply reply,
                                     bool keep_alive) {
  constexpr Duration kWriteTimeout = seconds(5);
  HttpResponse response = BuildLocalReply(reply);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  downstream.stream.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await http::async_write(downstream.stream, response,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    downstream.must_close = true;
  }
}

}  // namespace banyantrail
