#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace banyantrail {

/// Log levels as they stand in the settings.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Writes all log lines at or above `level` to standard output, one JSON object
/// a line, which names `node`. A reader that does not keep up loses lines; the
/// next one that goes out says how many. Call it once, at the start of main.
void ConfigureLogging(LogLevel level, std::string node);

/// Parses "debug", "info", "warn" or "error". Throws Error{kInvalidSettings}.
LogLevel ParseLogLevel(std::string_view text);

/// Writes log lines of one part of the system, each with the part's prefix.
/// Copies share the underlying log4cxx logger.
class PartLogger {
 public:
  /// `part` names the part, for example "membership".
  explicit PartLogger(std::string part);

  void Debug(const std::string& sentence) const;
  void Info(const std::string& sentence) const;
  void Warn(const std::string& sentence) const;
  void Error(const std::string& sentence) const;

  /// Writes a line with fields of its own, for programs to read.
  void Event(const nlohmann::json& fields) const;

 private:
  std::string m_part;
};

}  // namespace banyantrail
