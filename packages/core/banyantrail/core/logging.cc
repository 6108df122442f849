#include "banyantrail/core/logging.h"

#include <limits.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyantrail/core/errors.h"
#include "banyantrail/core/text.h"
#include "banyantrail/core/wall_time.h"

namespace banyantrail {
namespace {

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// Writes each event to standard output as one line of JSON. Never blocks:
/// drops the line if standard output is not writable.
class JsonLineAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit JsonLineAppender(std::string node) : m_node(std::move(node)) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    const std::string line = FormatLine(*event) + "\n";
    if (m_dropped_lines > 0) {
      const nlohmann::json notice = {{"event", "log_lines_lost"},
                                     {"count", m_dropped_lines}};
      if (!Write(ToJsonText(notice) + "\n")) {
        ++m_dropped_lines;
        return;
      }
      m_dropped_lines = 0;
    }
    m_dropped_lines += Write(line) ? 0 : 1;
  }

 private:
  std::string FormatLine(const log4cxx::spi::LoggingEvent& event) const {
    std::string level;
    event.getLevel()->toString(level);
    nlohmann::json line = {
        {"time", FormatWallTimeMs(std::chrono::system_clock::now())},
        {"level", level},
        {"node", m_node},
        {"part", event.getLoggerName()}};
    const std::string& message = event.getMessage();
    const nlohmann::json fields =
        message.starts_with('{')
            ? nlohmann::json::parse(message, nullptr, false)
            : nlohmann::json();
    if (fields.is_object()) {
      line.update(fields);
    } else {
      line["message"] = message;
    }
    return ToJsonText(line);
  }

  /// A pipe that polls as writable accepts PIPE_BUF bytes without blocking;
  /// longer lines are truncated.
  static bool Write(std::string line) {
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF - 1);
      line += '\n';
    }
    pollfd stdout_poll{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&stdout_poll, 1, 0) != 1 || (stdout_poll.revents & POLLOUT) == 0) {
      return false;
    }
    return write(STDOUT_FILENO, line.data(), line.size()) > 0;
  }

  std::string m_node;
  std::uint64_t m_dropped_lines = 0;
};

}  // namespace

void ConfigureLogging(LogLevel level, std::string node) {
  const auto appender = std::make_shared<JsonLineAppender>(std::move(node));
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxxLevel(level));
}

LogLevel ParseLogLevel(std::string_view text) {
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "info") {
    return LogLevel::kInfo;
  }
  if (text == "warn") {
    return LogLevel::kWarn;
  }
  if (text == "error") {
    return LogLevel::kError;
  }
  throw banyantrail::Error(
      {.kind = ErrorKind::kInvalidSettings,
       .message = "'" + std::string(text) + "' is not a log level",
       .remedy = "use debug, info, warn or error"});
}

ComponentLogger::ComponentLogger(std::string component)
    : m_component(std::move(component)) {}

void ComponentLogger::Debug(const std::string& message) const {
  LOG4CXX_DEBUG(log4cxx::Logger::getLogger(m_component), message);
}

void ComponentLogger::Info(const std::string& message) const {
  LOG4CXX_INFO(log4cxx::Logger::getLogger(m_component), message);
}

void ComponentLogger::Warn(const std::string& message) const {
  LOG4CXX_WARN(log4cxx::Logger::getLogger(m_component), message);
}

void ComponentLogger::Error(const std::string& message) const {
  LOG4CXX_ERROR(log4cxx::Logger::getLogger(m_component), message);
}

void ComponentLogger::Event(const nlohmann::json& fields) const {
  LOG4CXX_INFO(log4cxx::Logger::getLogger(m_component), ToJsonText(fields));
}

}  // namespace banyantrail
