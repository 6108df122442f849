#include "banyantrail/traffic/routing_snapshot.h"

#include <CppUTest/TestHarness.h>

using banyantrail::BackendServerId;
using banyantrail::BackendServerState;
using banyantrail::CompiledConfig;
using banyantrail::LabelOperator;
using banyantrail::LookupFailure;
using banyantrail::MemberRecord;
using banyantrail::MemberState;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ProxyIdentity;
using banyantrail::RankName;
using banyantrail::RouteLookup;
using banyantrail::RoutingSnapshot;
using banyantrail::RuleName;
using banyantrail::SelectorName;
using banyantrail::ServiceName;

namespace {

CompiledConfig MakeConfig() {
  return {.revision = {.number = 4},
          .services = {{.name = ServiceName("catalogue")},
                       {.name = ServiceName("order-desk")}},
          .selectors = {{.name = SelectorName("all")},
                        {.name = SelectorName("north"),
                         .requirements = {{.key = "side",
                                           .op = LabelOperator::kIn,
                                           .values = {"north"}}}}},
          .ranks = {{.name = RankName("urgent"), .priority = 1}},
          .routing_rules = {{.name = RuleName("root"),
                             .selector = SelectorName("all"),
                             .path_prefix = "/",
                             .service = ServiceName("catalogue"),
                             .rank = RankName("urgent")},
                            {.name = RuleName("orders"),
                             .selector = SelectorName("north"),
                             .path_prefix = "/orders",
                             .methods = {"POST"},
                             .service = ServiceName("order-desk"),
                             .rank = RankName("urgent"),
                             .deadline = milliseconds(800)}}};
}

MemberRecord MakeMember(const char* service) {
  return {.node = NodeId("n1"),
          .incarnation = 1,
          .backend_servers = {{.id = BackendServerId("s1"),
                               .service = ServiceName(service),
                               .slots = 20}}};
}

const ProxyIdentity kNorth{.labels = {{"side", "north"}}};

}  // namespace

TEST_GROUP(RoutingSnapshot) {
  CompiledConfig config = MakeConfig();
  std::vector<MemberRecord> members{MakeMember("order-desk")};

  RoutingSnapshot Compile() {
    return {config, kNorth, members};
  }

  LookupFailure OrderLookupFailure() {
    return Compile().FindRoute({.method = "POST", .path = "/orders/7"}).failure;
  }
};

TEST(RoutingSnapshot, TakesTheLongestPrefixOfWholeSegments) {
  members.push_back(MakeMember("catalogue"));
  const RoutingSnapshot snapshot = Compile();
  const RouteLookup order =
      snapshot.FindRoute({.method = "POST", .path = "/orders/7"});
  STRCMP_EQUAL("orders", order.route->rule.str().c_str());
  const auto& service = snapshot.services()[order.route->targets[0].service];
  STRCMP_EQUAL("s1", service.endpoints.front().id.str().c_str());
  STRCMP_EQUAL("root",
               snapshot.FindRoute({.method = "POST", .path = "/orders2"})
                   .route->rule.str()
                   .c_str());
}

TEST(RoutingSnapshot, FallsBackToAShorterPrefixThatMatchesTheMethod) {
  members.push_back(MakeMember("catalogue"));
  const RoutingSnapshot snapshot = Compile();
  STRCMP_EQUAL("root",
               snapshot.FindRoute({.method = "GET", .path = "/orders/7"})
                   .route->rule.str()
                   .c_str());
}

TEST(RoutingSnapshot, DistinguishesMissingRouteAndBackendServer) {
  CHECK(Compile().FindRoute({.method = "GET", .path = "/"}).failure ==
        LookupFailure::kNoBackendServer);
  CHECK(Compile().FindRoute({.method = "GET", .path = "orders"}).failure ==
        LookupFailure::kNoRoute);
}

TEST(RoutingSnapshot, OmitsRulesWhoseSelectorDoesNotMatch) {
  const RoutingSnapshot snapshot(config, {.labels = {{"side", "south"}}},
                                 members);
  UNSIGNED_LONGS_EQUAL(1, snapshot.routes().size());
}

TEST(RoutingSnapshot, OmitsBackendServersThatAcceptNoRequests) {
  CHECK(OrderLookupFailure() == LookupFailure::kNone);
  members[0].state = MemberState::kSuspect;
  CHECK(OrderLookupFailure() == LookupFailure::kNone);
  members[0].draining = true;
  CHECK(OrderLookupFailure() == LookupFailure::kNoBackendServer);
  members[0].draining = false;
  for (const MemberState state : {MemberState::kDead, MemberState::kLeft}) {
    members[0].state = state;
    CHECK(OrderLookupFailure() == LookupFailure::kNoBackendServer);
  }
  members[0].state = MemberState::kAlive;
  for (const BackendServerState state :
       {BackendServerState::kDraining, BackendServerState::kDown}) {
    members[0].backend_servers[0].state = state;
    CHECK(OrderLookupFailure() == LookupFailure::kNoBackendServer);
  }
}

TEST(RoutingSnapshot, RoutesOfARemovedServiceAreRemoved) {
  config.services.pop_back();
  CHECK(Compile().FindRoute({.method = "POST", .path = "/orders/7"}).failure ==
        LookupFailure::kNoBackendServer);
  UNSIGNED_LONGS_EQUAL(1, Compile().routes().size());
}

TEST(RoutingSnapshot, RuleForTheHostPrecedesRuleForEveryHost) {
  members.push_back(MakeMember("catalogue"));
  config.routing_rules.push_back({.name = RuleName("of-host"),
                                  .selector = SelectorName("all"),
                                  .host = "crews.example",
                                  .path_prefix = "/orders/",
                                  .service = ServiceName("catalogue"),
                                  .rank = RankName("urgent")});
  const RoutingSnapshot snapshot = Compile();
  const auto rule_for = [&](const char* path, const char* host) {
    return snapshot.FindRoute({.method = "POST", .path = path, .host = host})
        .route->rule.str();
  };
  STRCMP_EQUAL("of-host", rule_for("/orders/7", "Crews.Example:80").c_str());
  STRCMP_EQUAL("orders", rule_for("/orders/7", "other.example").c_str());
  // A prefix with a trailing slash matches only paths below it.
  STRCMP_EQUAL("orders", rule_for("/orders", "crews.example").c_str());
}

TEST(RoutingSnapshot, SplitNeedsOneServiceWithABackendServer) {
  config.routing_rules[1].service = ServiceName();
  config.routing_rules[1].split = {
      {.service = ServiceName("catalogue"), .weight = 1},
      {.service = ServiceName("order-desk"), .weight = 3}};
  const RoutingSnapshot snapshot = Compile();
  const RouteLookup order =
      snapshot.FindRoute({.method = "POST", .path = "/orders/7"});
  CHECK(order.failure == LookupFailure::kNone);
  UNSIGNED_LONGS_EQUAL(2, order.route->targets.size());
  UNSIGNED_LONGS_EQUAL(3, order.route->targets[1].weight);
}

TEST(RoutingSnapshot, KeepsItsRoutesWhenOnlyBackendServersChange) {
  const RoutingSnapshot before = Compile();
  const RoutingSnapshot after(before, {});
  CHECK(after.routes() == before.routes());
  CHECK(before.revision() == after.revision());
  CHECK(after.FindRoute({.method = "POST", .path = "/orders/7"}).failure ==
        LookupFailure::kNoBackendServer);
}

TEST(RoutingSnapshot, DistinguishesPrefixesWithAndWithoutTrailingSlash) {
  members.push_back(MakeMember("catalogue"));
  config.routing_rules.push_back({.name = RuleName("folder"),
                                  .selector = SelectorName("all"),
                                  .path_prefix = "/orders/",
                                  .service = ServiceName("catalogue"),
                                  .rank = RankName("urgent")});
  const RoutingSnapshot snapshot = Compile();
  const auto rule_of = [&](const char* path) {
    return snapshot.FindRoute({.method = "POST", .path = path})
        .route->rule.str();
  };
  STRCMP_EQUAL("folder", rule_of("/orders/7/a").c_str());
  STRCMP_EQUAL("folder", rule_of("/orders/").c_str());
  STRCMP_EQUAL("orders", rule_of("/orders").c_str());
  STRCMP_EQUAL("root", rule_of("/orders2/").c_str());
}
