#include "banyantrail/core/errors.h"

#include <utility>

namespace banyantrail {

std::string_view ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidSettings:
      return "invalid_settings";
    case ErrorKind::kInvalidDeclaration:
      return "invalid_declaration";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kDigestMismatch:
      return "digest_mismatch";
    case ErrorKind::kPlatformUnavailable:
      return "platform_unavailable";
    case ErrorKind::kPlatformOverloaded:
      return "platform_overloaded";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kNetwork:
      return "network";
  }
  return "unknown";
}

Error::Error(Options options)
    : std::runtime_error(options.message + "; " + options.remedy),
      m_kind(options.kind),
      m_message(std::move(options.message)),
      m_remedy(std::move(options.remedy)) {}

}  // namespace banyantrail
