#include "banyantrail/proxy/caller_team.h"

#include <boost/beast/core/string.hpp>

#include "banyantrail/core/digest.h"
#include "banyantrail/proxy/header_rules.h"

namespace banyantrail {
namespace {

/// The key in a value such as "Bearer KEY"; empty for another scheme.
std::string_view KeyOf(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view scheme = authorization.substr(0, kScheme.size());
  if (!boost::beast::iequals({scheme.data(), scheme.size()},
                             {kScheme.data(), kScheme.size()})) {
    return {};
  }
  const std::string_view key = authorization.substr(kScheme.size());
  const std::size_t begin = key.find_first_not_of(' ');
  return begin == std::string_view::npos ? std::string_view{}
                                         : key.substr(begin);
}

}  // namespace

CallerTeam FindCallerTeam(const http::fields& fields,
                          const RoutingSnapshot& snapshot) {
  const std::size_t count = fields.count(http::field::authorization);
  if (count == 0) {
    return {};
  }
  const std::string_view key = KeyOf(FieldValue(fields, "Authorization"));
  const RoutedTeam* team = nullptr;
  if (count == 1 && !key.empty()) {
    team = snapshot.FindTeam(Sha256Hex(key));
  }
  return {.team = team, .has_unknown_key = team == nullptr};
}

bool IsKeyMissing(const CallerTeam& caller,
                  const Route& route,
                  bool is_nested_call) {
  return caller.team == nullptr && !route.allow_anonymous && !is_nested_call;
}

}  // namespace banyantrail
