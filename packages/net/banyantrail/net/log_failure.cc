#include "banyantrail/net/log_failure.h"

#include "banyantrail/core/logging.h"

namespace banyantrail {
namespace {

const ComponentLogger kLog("net");

}  // namespace

void LogFailure::operator()(const std::exception_ptr& failure) const {
  if (!failure) {
    return;
  }
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    kLog.Error("The task " + m_task +
               " ended by an unexpected error: " + error.what() + ".");
  }
}

void RunLoggingFailures(boost::asio::io_context& io) {
  bool is_done = false;
  while (!is_done) {
    try {
      io.run();
      is_done = true;
    } catch (const std::exception& error) {
      kLog.Error("A handler failed with an unexpected error: " +
                 std::string(error.what()) + ".");
    }
  }
}

}  // namespace banyantrail
