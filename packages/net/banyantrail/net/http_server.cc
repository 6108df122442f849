#include "banyantrail/net/http_server.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

namespace banyantrail {
namespace {

/// The response status and reason for a request that could not be read.
struct RequestRefusal {
  http::status status;
  std::string_view reason;
};

RequestRefusal RefusalFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return {http::status::request_header_fields_too_large, "head_too_large"};
  }
  if (error == http::error::body_limit) {
    return {http::status::payload_too_large, "body_too_large"};
  }
  return {http::status::bad_request, "malformed_request"};
}

bool IsProtocolError(const boost::system::error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

HttpResponse ErrorResponse(http::status status, std::string_view reason) {
  HttpResponse response = JsonResponse(
      status, R"({"error":")" + std::string(reason) +
                  R"(","remedy":"send a well-formed HTTP/1.1 request within )"
                  R"(the limits of this listener"})");
  response.keep_alive(false);
  return response;
}

asio::awaitable<HttpResponse> CallHandler(const HttpServer::Handler& handler,
                                          HttpRequest request) {
  std::string failure;
  try {
    co_return co_await handler(std::move(request));
  } catch (const std::exception& error) {
    failure = error.what();
  }
  co_return ErrorResponse(http::status::internal_server_error, failure);
}

asio::awaitable<void> ServeConnection(const HttpServer::Options& options,
                                      beast::tcp_stream stream) {
  beast::flat_buffer buffer{options.max_header_bytes + kMaxUnparsedBytes};
  bool keep_alive = true;
  while (keep_alive) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(options.max_header_bytes);
    parser.body_limit(options.max_body_bytes);
    stream.expires_after(options.read_timeout);
    boost::system::error_code error;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error && !IsProtocolError(error)) {
      co_return;
    }
    HttpResponse response;
    if (error) {
      const RequestRefusal refusal = RefusalFor(error);
      options.on_refused(refusal.reason);
      response = ErrorResponse(refusal.status, refusal.reason);
    } else {
      keep_alive = parser.get().keep_alive();
      stream.expires_never();
      response = co_await CallHandler(options.handler, parser.release());
      response.keep_alive(keep_alive);
    }
    keep_alive = keep_alive && !error;
    response.prepare_payload();
    stream.expires_after(options.read_timeout);
    co_await http::async_write(stream, response, asio::use_awaitable);
  }
}

}  // namespace

HttpServer::HttpServer(asio::io_context& io, Options options) {
  const auto shared_options =
      std::make_shared<const Options>(std::move(options));
  TcpListener::Options listener{
      .endpoint = shared_options->endpoint,
      .max_connections = shared_options->max_connections,
      .session =
          [shared_options](beast::tcp_stream stream) {
            return ServeConnection(*shared_options, std::move(stream));
          },
      .on_refused =
          [shared_options] {
            shared_options->on_refused("too_many_connections");
          },
  };
  m_listener = std::make_unique<TcpListener>(io, std::move(listener));
}

HttpResponse JsonResponse(http::status status, std::string body) {
  constexpr unsigned kHttp11 = 11;
  HttpResponse response(status, kHttp11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

}  // namespace banyantrail
