#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace banyantrail {

/// Log levels of the settings file.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Writes all log lines at or above `level` to standard output as one JSON
/// object per line, with `node` as a field. Lines are dropped while the reader
/// of standard output does not keep up; the number of dropped lines is logged
/// before the next line. Call once, at the start of main.
void ConfigureLogging(LogLevel level, std::string node);

/// Parses "debug", "info", "warn" or "error". Throws Error{kInvalidSettings}.
LogLevel ParseLogLevel(std::string_view text);

/// Writes the log lines of one component, with its name in the field "part".
/// Copies share the underlying log4cxx logger.
class ComponentLogger {
 public:
  /// `component` is the value of that field, for example "membership".
  explicit ComponentLogger(std::string component);

  void Debug(const std::string& message) const;
  void Info(const std::string& message) const;
  void Warn(const std::string& message) const;
  void Error(const std::string& message) const;

  /// Writes a structured line with the given fields at level info. The fields
  /// may hold any bytes; those that are not UTF-8 are replaced.
  void Event(const nlohmann::json& fields) const;

 private:
  std::string m_component;
};

}  // namespace banyantrail
