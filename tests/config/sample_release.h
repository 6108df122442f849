#pragma once

#include <string>

#include "banyantrail/config/object_json.h"
#include "banyantrail/config/release.h"
#include "banyantrail/config/release_digest.h"

namespace banyantrail::testing {

inline const SelectorObject kEveryProxy{.name = SelectorName("every-proxy")};
inline const ServiceObject kOrderDesk{.name = ServiceName("order-desk")};
inline const RankObject kOrders{.name = RankName("orders"),
                                .priority = 0,
                                .share_percent = 60};
inline const RoutingRuleObject kOrdersRule{
    .name = RuleName("orders"),
    .selector = SelectorName("every-proxy"),
    .path_prefix = "/orders",
    .methods = {"POST"},
    .service = ServiceName("order-desk"),
    .rank = RankName("orders"),
    .deadline = milliseconds(2000)};

inline void Put(const ConfigObject& object, ObjectTexts& objects) {
  objects[ToString(KeyOf(object))] = CanonicalJson(object);
}

/// A valid configuration: a routing rule and the objects that it refers to.
inline ObjectTexts SampleObjects() {
  ObjectTexts objects;
  Put(kEveryProxy, objects);
  Put(kOrderDesk, objects);
  Put(kOrders, objects);
  Put(kOrdersRule, objects);
  return objects;
}

inline Release SampleRelease() {
  return {.revision = {.number = 1},
          .digest = DigestOf(SampleObjects()),
          .objects = SampleObjects()};
}

}  // namespace banyantrail::testing
