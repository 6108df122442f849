#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "banyantrail/net/asio.h"
#include "banyantrail/net/http_types.h"
#include "standins/backend_server.h"
#include "standins/request_target.h"

namespace banyantrail::standins {

/// One connection to the backend server. Query parameters of a request select
/// its service time ("ms"), a generated response body ("bytes") and a nested
/// call ("next", "hops").
class BackendSession {
 public:
  BackendSession(BackendServer& server, beast::tcp_stream stream);

  asio::awaitable<void> Run();

 private:
  using Parser = http::request_parser<http::buffer_body>;

  /// Size and hash of a request body.
  struct ReceivedBody {
    std::uint64_t bytes = 0;
    std::string sha256;
  };

  /// How the execution of a request ended.
  enum class ExecutionOutcome {
    kCompleted,
    kCallerDisconnected,
    kDeadlineExceeded
  };

  asio::awaitable<bool> ServeRequest();
  asio::awaitable<bool> ServeControl(Parser& parser);
  asio::awaitable<void> Shed(Parser& parser);
  asio::awaitable<void> DiscardUntilClosed();
  asio::awaitable<ReceivedBody> ReadBody(Parser& parser, std::string* text);
  asio::awaitable<ExecutionOutcome> OccupySlot(
      milliseconds time,
      std::optional<milliseconds> deadline);
  asio::awaitable<bool> ExecuteInSlot(Parser& parser);
  asio::awaitable<HttpResponse> MakeEchoResponse(const Parser& parser,
                                                 const ReceivedBody& body);
  asio::awaitable<std::string> CallNextServer();
  asio::awaitable<void> SendResponse(HttpResponse response);
  asio::awaitable<void> SendGeneratedBody(std::uint64_t bytes);
  asio::awaitable<void> SendTruncatedResponse();
  std::string Header(const Parser& parser, std::string_view name) const;
  void RecordRunEvent(std::string_view event, const Parser& parser);

  BackendServer& m_server;
  std::uint64_t m_connection_number;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  RequestTarget m_target;
  std::string m_request_id;
  std::string m_deadline_text;
  std::string m_depth;
  std::uint64_t m_run = 0;
  bool m_keep_alive = true;
};

}  // namespace banyantrail::standins
