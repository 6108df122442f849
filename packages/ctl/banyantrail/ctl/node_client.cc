#include "banyantrail/ctl/node_client.h"

#include <exception>
#include <optional>
#include <utility>

#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_client.h"
#include "banyantrail/net/http_types.h"

namespace banyantrail::ctl {
namespace {

/// Fits the largest release in its JSON envelope.
constexpr std::uint64_t kMaxResponseBytes = 64U << 20U;

/// Runs one exchange on an event loop of its own, so that the call blocks.
HttpResponse Exchange(const NodeClient::Options& options, HttpRequest request) {
  asio::io_context io;
  HttpClient client(io.get_executor(), {.server = options.node,
                                        .max_body_bytes = kMaxResponseBytes});
  std::optional<HttpResponse> response;
  std::exception_ptr failure;
  asio::co_spawn(io, client.Request(std::move(request), options.timeout),
                 [&](std::exception_ptr error, HttpResponse result) {
                   failure = std::move(error);
                   response = std::move(result);
                 });
  io.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(*response);
}

NodeResponse ToNodeResponse(const HttpResponse& response) {
  constexpr bool kAllowExceptions = false;
  auto body = nlohmann::json::parse(response.body(), nullptr, kAllowExceptions);
  return {.http_status = response.result_int(),
          .body = body.is_discarded() ? nlohmann::json() : std::move(body)};
}

HttpRequest MakeRequest(http::verb method, const std::string& target) {
  constexpr unsigned kHttp11 = 11;
  return {method, target, kHttp11};
}

}  // namespace

NodeResponse NodeClient::Get(const std::string& target) {
  return ToNodeResponse(
      Exchange(m_options, MakeRequest(http::verb::get, target)));
}

NodeResponse NodeClient::Post(const std::string& target,
                              const std::string& body) {
  HttpRequest request = MakeRequest(http::verb::post, target);
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  return ToNodeResponse(Exchange(m_options, std::move(request)));
}

}  // namespace banyantrail::ctl
