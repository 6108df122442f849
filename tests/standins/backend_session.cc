#include "standins/backend_session.h"

#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/net/http_client.h"
#include "banyantrail/net/http_server.h"
#include "banyantrail/wire/mesh_headers.h"
#include "standins/sha256_stream.h"

namespace banyantrail::standins {
namespace {

using nlohmann::json;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kBufferBytes = 64U << 10U;
constexpr int kCrashExitStatus = 134;
constexpr std::string_view kControlPrefix = "/standin/";
constexpr std::string_view kRequestIdHeader = "x-test-request-id";
constexpr std::string_view kCrashHeader = "x-test-crash";
constexpr std::size_t kMaxControlBytes = 64U << 10U;
/// Maximum part of a shed upload that is read, so that the sender gets the
/// response before the connection is closed.
constexpr std::uint64_t kMaxDiscardedBytes = 256U << 10U;
constexpr milliseconds kDiscardTimeout{500};
constexpr milliseconds kDefaultNestedCallTimeout{5000};

boost::beast::string_view ToBeastView(std::string_view text) {
  return {text.data(), text.size()};
}

std::optional<milliseconds> ParseMilliseconds(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  if (text.empty() || std::from_chars(text.data(), end, value).ptr != end) {
    return std::nullopt;
  }
  return milliseconds(value);
}

/// Whether the peer has closed its side of the connection. The socket must be
/// readable.
bool IsClosedByPeer(asio::ip::tcp::socket& socket) {
  std::array<char, 1> byte{};
  boost::system::error_code error;
  socket.non_blocking(true, error);
  const std::size_t size = socket.receive(
      asio::buffer(byte), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && (error || size == 0);
}

/// A block of a generated body: repetitions of the request id and a newline.
std::string PatternBlock(const std::string& request_id) {
  const std::string unit = (request_id.empty() ? "-" : request_id) + "\n";
  std::string block;
  while (block.size() + unit.size() <= kBufferBytes) {
    block += unit;
  }
  return block;
}

/// Occupies a slot during its lifetime.
class SlotGuard {
 public:
  explicit SlotGuard(std::uint32_t& busy) : m_busy_slots(busy) {
    ++m_busy_slots;
  }
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;
  ~SlotGuard() { --m_busy_slots; }

 private:
  std::uint32_t& m_busy_slots;
};

/// The parts of a URL "http://IP:PORT/path".
struct NestedCall {
  IpEndpoint server;
  std::string path;
};

NestedCall ParseNestedCall(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::string rest =
      url.starts_with(kScheme) ? url.substr(kScheme.size()) : url;
  const std::size_t slash = rest.find('/');
  return {.server = ParseIpEndpoint(rest.substr(0, slash)),
          .path = slash == std::string::npos ? "/" : rest.substr(slash)};
}

}  // namespace

BackendSession::BackendSession(BackendServer& server, beast::tcp_stream stream)
    : m_server(server),
      m_connection_number(server.m_next_connection++),
      m_stream(std::move(stream)) {}

asio::awaitable<void> BackendSession::Run() {
  while (m_keep_alive) {
    const bool keep_open = co_await ServeRequest();
    if (!keep_open) {
      co_return;
    }
  }
}

asio::awaitable<bool> BackendSession::ServeRequest() {
  Parser parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code error;
  co_await http::async_read_header(
      m_stream, m_buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  const auto target = parser.get().target();
  m_target = ParseRequestTarget({target.data(), target.size()});
  m_request_id = Header(parser, kRequestIdHeader);
  m_deadline_text = Header(parser, kDeadlineHeader);
  m_depth = Header(parser, kDepthHeader);
  m_run = 0;
  m_keep_alive = parser.get().keep_alive() && !m_server.m_draining;

  if (m_target.path.starts_with(kControlPrefix)) {
    co_return co_await ServeControl(parser);
  }
  if (m_server.IsSilent(m_connection_number)) {
    co_await DiscardUntilClosed();
    co_return false;
  }
  if (m_target.path == "/health" || m_target.path == "/load") {
    co_await ReadBody(parser, nullptr);
    co_await SendResponse(m_target.path == "/health" ? m_server.Health()
                                                     : m_server.Load());
    co_return true;
  }
  if (m_server.m_sheds_new_requests ||
      m_server.m_busy_slots >= m_server.m_options.slots) {
    co_await Shed(parser);
    co_return m_keep_alive;
  }
  co_return co_await ExecuteInSlot(parser);
}

asio::awaitable<bool> BackendSession::ServeControl(Parser& parser) {
  std::string body;
  co_await ReadBody(parser, &body);
  if (m_target.path == "/standin/faults") {
    co_await SendResponse(m_server.SetFaults(body));
  } else {
    co_await SendResponse(m_server.CountersResponse());
  }
  co_return true;
}

asio::awaitable<void> BackendSession::Shed(Parser& parser) {
  ++m_server.m_counters.shed;
  RecordRunEvent("run_shed", parser);
  HttpResponse response = JsonResponse(http::status::service_unavailable,
                                       R"({"error":"no free slot"})");
  response.set(ToBeastView(kOutcomeHeader), ToBeastView(kOutcomeNotRun));
  const bool body_received = parser.is_done();
  m_keep_alive = m_keep_alive && body_received;
  co_await SendResponse(std::move(response));
  if (body_received) {
    co_return;
  }
  // Closing a socket with unread bytes resets the connection, and the peer
  // could lose the response.
  boost::system::error_code ignored;
  m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::vector<char> buffer(kBufferBytes);
  std::uint64_t discarded = 0;
  m_stream.expires_after(kDiscardTimeout);
  while (!ignored && discarded < kMaxDiscardedBytes) {
    discarded += co_await m_stream.async_read_some(
        asio::buffer(buffer),
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> BackendSession::DiscardUntilClosed() {
  std::vector<char> buffer(kBufferBytes);
  boost::system::error_code error;
  while (!error) {
    co_await m_stream.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<BackendSession::ReceivedBody> BackendSession::ReadBody(
    Parser& parser,
    std::string* text) {
  ReceivedBody body;
  Sha256Stream hash;
  std::vector<char> buffer(kBufferBytes);
  while (!parser.is_done()) {
    parser.get().body().data = buffer.data();
    parser.get().body().size = buffer.size();
    boost::system::error_code error;
    co_await http::async_read(m_stream, m_buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      throw boost::system::system_error(error);
    }
    const std::size_t size = buffer.size() - parser.get().body().size;
    hash.Update({buffer.data(), size});
    body.bytes += size;
    if (text != nullptr && text->size() < kMaxControlBytes) {
      text->append(buffer.data(), size);
    }
  }
  body.sha256 = hash.Finish();
  co_return body;
}

asio::awaitable<bool> BackendSession::ExecuteInSlot(Parser& parser) {
  const SlotGuard slot(m_server.m_busy_slots);
  const TimePoint arrived = SystemClock().Now();
  m_run = ++m_server.m_counters.started;
  RecordRunEvent("run_received", parser);
  if (parser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       kHttp11);
    co_await http::async_write(m_stream, continue_response,
                               asio::use_awaitable);
  }
  ReceivedBody body = co_await ReadBody(parser, nullptr);

  RecordRunEvent("run_start", parser);
  if (!Header(parser, kCrashHeader).empty()) {
    _exit(kCrashExitStatus);
  }
  const auto base_time = milliseconds(QueryNumber(
      m_target, "ms",
      static_cast<std::uint64_t>(m_server.m_options.service_time.count())));
  std::optional<milliseconds> deadline = ParseMilliseconds(m_deadline_text);
  if (deadline) {
    *deadline -=
        std::chrono::duration_cast<milliseconds>(SystemClock().Now() - arrived);
  }
  const ExecutionOutcome outcome = co_await OccupySlot(
      m_server.ServiceTime(base_time, SystemClock().Now()), deadline);
  if (outcome != ExecutionOutcome::kCompleted) {
    ++m_server.m_counters.cancelled;
    RecordRunEvent("run_cancel", parser);
  }
  if (outcome == ExecutionOutcome::kCallerDisconnected) {
    co_return false;
  }
  if (outcome == ExecutionOutcome::kDeadlineExceeded) {
    co_await SendResponse(JsonResponse(http::status::gateway_timeout,
                                       R"({"error":"deadline exceeded"})"));
    co_return true;
  }
  HttpResponse response = co_await MakeEchoResponse(parser, body);
  ++m_server.m_counters.ended;
  RecordRunEvent("run_end", parser);

  if (m_server.IsSilent(m_connection_number)) {
    co_await DiscardUntilClosed();
    co_return false;
  }
  if (m_server.m_faults.responses_to_truncate > 0) {
    --m_server.m_faults.responses_to_truncate;
    co_await SendTruncatedResponse();
    co_return false;
  }
  const std::uint64_t bytes = QueryNumber(m_target, "bytes", 0);
  if (bytes > 0 && response.result() == http::status::ok) {
    co_await SendGeneratedBody(bytes);
  } else {
    co_await SendResponse(std::move(response));
  }
  co_return true;
}

asio::awaitable<BackendSession::ExecutionOutcome> BackendSession::OccupySlot(
    milliseconds time,
    std::optional<milliseconds> deadline) {
  struct Wait {
    explicit Wait(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    bool finished = false;
    bool caller_disconnected = false;
  };
  const bool exceeds_deadline = deadline && *deadline < time;
  auto wait = std::make_shared<Wait>(m_stream.get_executor());
  wait->timer.expires_after(exceeds_deadline ? *deadline : time);
  asio::ip::tcp::socket& socket = m_stream.socket();
  socket.async_wait(asio::socket_base::wait_read,
                    [wait, &socket](const boost::system::error_code& error) {
                      if (!error && !wait->finished && IsClosedByPeer(socket)) {
                        wait->caller_disconnected = true;
                        wait->timer.cancel();
                      }
                    });
  boost::system::error_code ignored;
  co_await wait->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  wait->finished = true;
  socket.cancel(ignored);
  if (wait->caller_disconnected) {
    co_return ExecutionOutcome::kCallerDisconnected;
  }
  co_return exceeds_deadline ? ExecutionOutcome::kDeadlineExceeded
                             : ExecutionOutcome::kCompleted;
}

asio::awaitable<HttpResponse> BackendSession::MakeEchoResponse(
    const Parser& parser,
    const ReceivedBody& body) {
  const auto method = parser.get().method_string();
  json echo = {{"server", m_server.m_options.server_id},
               {"service", m_server.m_options.service},
               {"method", std::string(method)},
               {"path", m_target.path},
               {"request_id", m_request_id},
               {"body_bytes", body.bytes},
               {"body_sha256", body.sha256},
               {"run", m_run}};
  http::status status = http::status::ok;
  if (m_target.query.contains("next")) {
    const std::string nested_error = co_await CallNextServer();
    if (!nested_error.empty()) {
      status = http::status::bad_gateway;
      echo["next_error"] = nested_error;
    }
  }
  if (m_server.ShouldFailRequest()) {
    status = http::status::internal_server_error;
  }
  HttpResponse response = JsonResponse(status, echo.dump());
  response.set(ToBeastView(kRequestIdHeader), m_request_id);
  co_return response;
}

asio::awaitable<std::string> BackendSession::CallNextServer() {
  const std::string url = m_target.query.at("next");
  const NestedCall next = ParseNestedCall(url);
  const std::uint64_t hops = QueryNumber(m_target, "hops", 1);
  std::string target = next.path;
  if (hops > 1) {
    target += (target.find('?') == std::string::npos ? "?" : "&");
    target +=
        "hops=" + std::to_string(hops - 1) + "&next=" + EncodeQueryValue(url);
  }
  HttpRequest request(http::verb::get, target, kHttp11);
  request.set(ToBeastView(kRequestIdHeader), m_request_id);
  if (!m_depth.empty()) {
    request.set(ToBeastView(kDepthHeader), m_depth);
  }
  const milliseconds timeout =
      ParseMilliseconds(m_deadline_text).value_or(kDefaultNestedCallTimeout);
  request.set(ToBeastView(kDeadlineHeader), std::to_string(timeout.count()));
  HttpClient client(m_stream.get_executor(), {.server = next.server});
  try {
    const HttpResponse response =
        co_await client.Request(std::move(request), timeout);
    if (response.result() != http::status::ok) {
      co_return "status " + std::to_string(response.result_int());
    }
  } catch (const HttpClientError& error) {
    co_return error.message();
  }
  co_return "";
}

asio::awaitable<void> BackendSession::SendResponse(HttpResponse response) {
  response.keep_alive(m_keep_alive);
  response.prepare_payload();
  co_await http::async_write(m_stream, response, asio::use_awaitable);
}

asio::awaitable<void> BackendSession::SendGeneratedBody(std::uint64_t bytes) {
  http::response<http::empty_body> head(http::status::ok, kHttp11);
  head.set(http::field::content_type, "text/plain");
  head.set(ToBeastView(kRequestIdHeader), m_request_id);
  head.content_length(bytes);
  head.keep_alive(m_keep_alive);
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
  const std::string block = PatternBlock(m_request_id);
  while (bytes > 0) {
    const std::size_t size = std::min<std::uint64_t>(bytes, block.size());
    co_await asio::async_write(m_stream, asio::buffer(block.data(), size),
                               asio::use_awaitable);
    bytes -= size;
  }
}

asio::awaitable<void> BackendSession::SendTruncatedResponse() {
  constexpr std::string_view kTruncatedResponse =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 1000\r\n\r\n{\"server\":\"";
  co_await asio::async_write(
      m_stream,
      asio::buffer(kTruncatedResponse.data(), kTruncatedResponse.size()),
      asio::use_awaitable);
}

std::string BackendSession::Header(const Parser& parser,
                                   std::string_view name) const {
  return std::string(parser.get()[ToBeastView(name)]);
}

void BackendSession::RecordRunEvent(std::string_view event,
                                    const Parser& parser) {
  m_server.m_log.Write(
      {.event = event,
       .run = m_run,
       .request_id = m_request_id,
       .idempotency_key = Header(parser, kIdempotencyKeyHeader),
       .method = std::string(parser.get().method_string()),
       .path = m_target.path});
}

}  // namespace banyantrail::standins
