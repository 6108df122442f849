#include "banyantrail/config/objects.h"

namespace banyantrail {
namespace {

std::string_view KindOf(const ServiceObject&) {
  return "service";
}
std::string_view KindOf(const SelectorObject&) {
  return "selector";
}
std::string_view KindOf(const RankObject&) {
  return "rank";
}
std::string_view KindOf(const RoutingRuleObject&) {
  return "routing_rule";
}
std::string_view KindOf(const AlertRuleObject&) {
  return "alert_rule";
}
std::string_view KindOf(const CallerLimitsObject&) {
  return "caller_limits";
}
std::string_view KindOf(const TeamObject&) {
  return "team";
}

}  // namespace

std::string ToString(const ObjectKey& key) {
  return key.kind + "/" + key.name;
}

ObjectKey KeyOf(const ConfigObject& object) {
  return std::visit(
      [](const auto& value) {
        return ObjectKey{.kind = std::string(KindOf(value)),
                         .name = value.name.str()};
      },
      object);
}

}  // namespace banyantrail
