#include "banyantrail/core/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <utility>

#include "banyantrail/core/errors.h"

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

}  // namespace

void ConfigureLogging(LogLevel level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{ISO8601} %-5p [%c] %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
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

PartLogger::PartLogger(std::string part) : m_part(std::move(part)) {}

void PartLogger::Debug(const std::string& sentence) const {
  LOG4CXX_DEBUG(log4cxx::Logger::getLogger(m_part), sentence);
}

void PartLogger::Info(const std::string& sentence) const {
  LOG4CXX_INFO(log4cxx::Logger::getLogger(m_part), sentence);
}

void PartLogger::Warn(const std::string& sentence) const {
  LOG4CXX_WARN(log4cxx::Logger::getLogger(m_part), sentence);
}

void PartLogger::Error(const std::string& sentence) const {
  LOG4CXX_ERROR(log4cxx::Logger::getLogger(m_part), sentence);
}

}  // namespace banyantrail
