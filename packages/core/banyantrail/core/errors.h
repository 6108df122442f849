#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyantrail {

/// What went wrong, for callers that react to it and for counters.
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

/// Stable snake_case name of a kind, used in metrics and JSON answers.
std::string_view ToString(ErrorKind kind);

/// An error with its place and remedy. `what()` is one line that names both.
class Error : public std::runtime_error {
 public:
  struct Options {
    ErrorKind kind;
    /// What happened, and where: a file, a key, an object.
    std::string message;
    /// What the reader can do about it.
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
