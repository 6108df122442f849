#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyantrail {

/// Category of an error, for error handling and metrics.
enum class ErrorKind {
  kInvalidSettings,
  kInvalidDeclaration,
  kConflict,
  kMalformedMessage,
  kDigestMismatch,
  kPlatformUnavailable,
  kPlatformOverloaded,
  kOutcomeUnknown,
  kNotFound,
  kNetwork,
};

/// Stable snake_case name of a kind, used in metrics and JSON responses.
std::string_view ToString(ErrorKind kind);

/// An error with a remedy. `what()` contains the message and the remedy.
class Error : public std::runtime_error {
 public:
  struct Options {
    ErrorKind kind;
    /// What failed, and on which file, key or object.
    std::string message;
    /// What the operator can do about it.
    std::string remedy;
  };

  explicit Error(Options options);

  ErrorKind kind() const { return m_kind; }
  const std::string& message() const { return m_message; }
  const std::string& remedy() const { return m_remedy; }

 private:
  ErrorKind m_kind;
  std::string m_message;
  std::string m_remedy;
};

}  // namespace banyantrail
