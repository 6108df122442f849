#include "banyantrail/net/log_failure.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace asio = boost::asio;

TEST_GROUP(LogFailure){};

// An exception that left a handler ended the process, with all requests that it
// was serving.
TEST(LogFailure, AHandlerThatThrowsDoesNotEndTheOthers) {
  asio::io_context io;
  int handled = 0;
  asio::post(io, [] { throw std::runtime_error("odd message"); });
  asio::post(io, [&handled] { ++handled; });
  banyantrail::RunLoggingFailures(io);
  LONGS_EQUAL(1, handled);
}

TEST(LogFailure, TakesTheResultOfACoroutine) {
  const banyantrail::LogFailure log("test");
  log(nullptr);
  log(std::make_exception_ptr(std::runtime_error("odd message")));
}
