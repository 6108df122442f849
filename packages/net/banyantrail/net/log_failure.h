#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>
#include <string>

namespace banyantrail {

/// Completion handler for a coroutine that nothing waits for. Logs the
/// exception that ended it; `asio::detached` would lose it.
class LogFailure {
 public:
  /// `task` names the coroutine in the log, for example "housekeeping".
  explicit LogFailure(std::string task) : m_task(std::move(task)) {}

  void operator()(const std::exception_ptr& failure) const;

 private:
  std::string m_task;
};

/// Runs the context until it is stopped or out of work. An exception that a
/// handler lets out is logged, and the other handlers go on.
void RunLoggingFailures(boost::asio::io_context& io);

}  // namespace banyantrail
