#include "banyantrail/traffic/choose_endpoint.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using banyantrail::BackendServerId;
using banyantrail::ChoiceOptions;
using banyantrail::ChooseEndpoint;
using banyantrail::DomainId;
using banyantrail::EndpointOutcome;
using banyantrail::KeyOf;
using banyantrail::LoadTable;
using banyantrail::milliseconds;
using banyantrail::NodeId;
using banyantrail::ParseReportedLoad;
using banyantrail::RegionId;
using banyantrail::ReportedLoad;
using banyantrail::Rng;
using banyantrail::RoutedService;
using banyantrail::seconds;
using banyantrail::ServiceEndpoint;
using banyantrail::TimePoint;

namespace {

constexpr TimePoint kStart{};

ServiceEndpoint EndpointAt(const std::string& name,
                           const std::string& domain,
                           const std::string& region = "r0") {
  return {.id = BackendServerId(name),
          .owner = NodeId("node-" + name),
          .domain = DomainId(domain),
          .region = RegionId(region),
          .slots = 10};
}

void Record(LoadTable& loads,
            const ServiceEndpoint& endpoint,
            EndpointOutcome outcome,
            TimePoint now,
            std::optional<ReportedLoad> load = std::nullopt) {
  loads.OnStart(endpoint, now);
  loads.OnResult(endpoint, {.outcome = outcome, .load = load}, now);
}

}  // namespace

TEST_GROUP(ChooseEndpoint) {
  const std::vector<ServiceEndpoint> endpoints{
      EndpointAt("a", "d0"), EndpointAt("b", "d0"), EndpointAt("c", "d1"),
      EndpointAt("e", "d2", "r1")};
  const ChoiceOptions options{.domain = DomainId("d0"),
                              .region = RegionId("r0")};
  LoadTable loads;
  Rng rng{7};

  /// How often each endpoint is chosen in 1,000 choices.
  std::map<std::string, int> CountChoices(TimePoint now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
      ++counts[ChooseEndpoint(endpoints, loads, options, now, rng)->id.str()];
    }
    return counts;
  }

  const ServiceEndpoint* Choose(const banyantrail::ChoiceRequest& request) {
    return ChooseEndpoint(endpoints, loads, options, kStart, rng, request);
  }

  void SetLoad(std::size_t endpoint, std::uint32_t in_flight) {
    Record(loads, endpoints[endpoint], EndpointOutcome::kSuccess, kStart,
           ReportedLoad{.in_flight = in_flight, .limit = 10});
  }
};

TEST(ChooseEndpoint, StaysInTheLocalDomainWhileItHasCapacity) {
  SetLoad(0, 3);
  auto counts = CountChoices(kStart);
  LONGS_EQUAL(1000, counts["a"] + counts["b"]);
  CHECK(counts["b"] > counts["a"]);
}

TEST(ChooseEndpoint, SpillsOverToTheRegionAndThenBeyond) {
  SetLoad(0, 10);
  SetLoad(1, 10);
  LONGS_EQUAL(1000, CountChoices(kStart)["c"]);
  SetLoad(2, 10);
  LONGS_EQUAL(1000, CountChoices(kStart)["e"]);
}

TEST(ChooseEndpoint, LoadReportsExpire) {
  SetLoad(0, 10);
  SetLoad(1, 10);
  LONGS_EQUAL(0, CountChoices(kStart + seconds(2))["c"]);
}

TEST(ChooseEndpoint, PrefersTheFasterOfTwoWhileItHasCapacity) {
  for (const std::size_t i : {0U, 1U}) {
    loads.OnStart(endpoints[i], kStart);
    loads.OnResult(endpoints[i], {.latency = milliseconds(i == 0 ? 200 : 20)},
                   kStart);
  }
  LONGS_EQUAL(0, CountChoices(kStart)["a"]);
  for (int i = 0; i < 10; ++i) {
    loads.OnStart(endpoints[1], kStart);
  }
  LONGS_EQUAL(1000, CountChoices(kStart)["a"]);
  LONGS_EQUAL(1000, CountChoices(kStart + seconds(11))["a"]);
}

TEST(ChooseEndpoint, OwnRequestsCountBeforeTheFirstReport) {
  for (int i = 0; i < 10; ++i) {
    loads.OnStart(endpoints[0], kStart);
  }
  LONGS_EQUAL(0, CountChoices(kStart)["a"]);
}

TEST(ChooseEndpoint, NeverTakesAnExcludedEndpoint) {
  const std::vector<banyantrail::EndpointKey> all_but_last{
      KeyOf(endpoints[0]), KeyOf(endpoints[1]), KeyOf(endpoints[2])};
  CHECK(ChooseEndpoint(endpoints, loads, options, kStart, rng,
                       {.excluded = all_but_last}) == &endpoints[3]);
  std::vector<banyantrail::EndpointKey> all = all_but_last;
  all.push_back(KeyOf(endpoints[3]));
  CHECK(ChooseEndpoint(endpoints, loads, options, kStart, rng,
                       {.excluded = all}) == nullptr);
}

TEST(ChooseEndpoint, EjectsAfterConnectFailuresAndReadmitsWithSlowStart) {
  Record(loads, endpoints[0], EndpointOutcome::kConnectFailed, kStart);
  Record(loads, endpoints[0], EndpointOutcome::kConnectFailed, kStart);
  LONGS_EQUAL(0, CountChoices(kStart + milliseconds(1900))["a"]);
  loads.OnStart(endpoints[1], kStart);
  const int soon = CountChoices(kStart + milliseconds(2100))["a"];
  const int later = CountChoices(kStart + seconds(8))["a"];
  LONGS_EQUAL(0, soon);
  CHECK(later > 600);
}

// Guards against an endpoint that stays nearly idle for the whole slow start
// although its owner node reports that it has reached its full limit, and
// against full load while it reports a low one.
TEST(ChooseEndpoint, NewEndpointGetsRequestsByTheLimitThatItsOwnerReports) {
  loads = LoadTable({.slow_start_follows_limit = true});
  RoutedService service{.endpoints = {endpoints[1]}};
  loads.Retain({service}, kStart);
  service.endpoints.push_back(endpoints[0]);
  loads.Retain({service}, kStart);
  const auto report = [this](std::uint32_t limit, TimePoint now) {
    Record(loads, endpoints[0], EndpointOutcome::kSuccess, now,
           ReportedLoad{.in_flight = 1, .limit = limit});
    Record(loads, endpoints[1], EndpointOutcome::kSuccess, now,
           ReportedLoad{.in_flight = 5, .limit = 10});
  };
  LONGS_EQUAL(0, CountChoices(kStart + milliseconds(500))["a"]);
  report(10, kStart + milliseconds(500));
  LONGS_EQUAL(1000, CountChoices(kStart + milliseconds(500))["a"]);
  report(1, kStart + seconds(6));
  LONGS_EQUAL(0, CountChoices(kStart + seconds(6))["a"]);
}

TEST(ChooseEndpoint, EjectsAnEndpointWithAHighFailureRate) {
  for (int i = 0; i < 20; ++i) {
    Record(loads, endpoints[0],
           i % 3 == 0 ? EndpointOutcome::kFailed : EndpointOutcome::kSuccess,
           kStart);
  }
  CHECK(loads.IsEjected(endpoints[0], kStart));
  LONGS_EQUAL(0, CountChoices(kStart)["a"]);
}

// Guards against each entry node failing requests of its own before it avoids a
// backend server whose owner node already knows that it fails many.
TEST(ChooseEndpoint, AvoidsAnEndpointWhileItsOwnerReportsFailures) {
  loads.OnStart(endpoints[0], kStart);
  loads.OnResult(endpoints[0], {.failure_share = 0.45}, kStart);
  LONGS_EQUAL(0, CountChoices(kStart + seconds(1))["a"]);
  // Without another report it is tried again.
  CHECK(CountChoices(kStart + seconds(3))["a"] > 0);
  loads.OnStart(endpoints[0], kStart);
  loads.OnResult(endpoints[0], {.failure_share = 0}, kStart);
  CHECK(CountChoices(kStart + seconds(1))["a"] > 0);
}

// Guards against half of the endpoints being avoided because of a fault of a
// nested service that all of them call.
TEST(ChooseEndpoint, ReportedFailuresOfAllEndpointsEjectNone) {
  for (const ServiceEndpoint& endpoint : endpoints) {
    loads.OnStart(endpoint, kStart);
    loads.OnResult(endpoint, {.failure_share = 0.45}, kStart);
  }
  auto counts = CountChoices(kStart);
  CHECK(counts["a"] > 300);
  CHECK(counts["b"] > 300);
}

TEST(ChooseEndpoint, EjectsAtMostTheAllowedShareOfTheEndpoints) {
  for (const std::size_t failing : {0U, 1U}) {
    for (int i = 0; i < 5; ++i) {
      Record(loads, endpoints[failing], EndpointOutcome::kFailed, kStart);
    }
  }
  // One endpoint of four may be ejected, so that the local domain keeps one for
  // requests that should not leave it.
  for (int i = 0; i < 100; ++i) {
    STRCMP_EQUAL("b", Choose({.body_bytes = 280'000})->id.str().c_str());
  }
}

TEST(ChooseEndpoint, ShedRequestIsNoFailureButMarksTheEndpointFull) {
  for (int i = 0; i < 20; ++i) {
    Record(loads, endpoints[0], EndpointOutcome::kShed, kStart,
           ReportedLoad{.in_flight = 2, .limit = 10});
  }
  CHECK_FALSE(loads.IsEjected(endpoints[0], kStart));
  LONGS_EQUAL(0, CountChoices(kStart)["a"]);
}

TEST(ChooseEndpoint, NewEndpointStartsWithASmallShare) {
  loads.Retain({{.endpoints = {endpoints[0]}}}, kStart);
  loads.Retain({{.endpoints = {endpoints[0], endpoints[1]}}}, kStart);
  SetLoad(0, 3);
  LONGS_EQUAL(0, CountChoices(kStart)["b"]);
  CHECK(loads.UtilisationWithOneMore(endpoints[1], kStart + seconds(5)) < 0.2);
}

TEST(ChooseEndpoint, TableRemovesEndpointsThatNoLongerExist) {
  loads.Retain({{.endpoints = endpoints}}, kStart);
  loads.OnStart(endpoints[3], kStart);
  loads.Retain({{.endpoints = {endpoints[0]}}}, kStart);
  UNSIGNED_LONGS_EQUAL(2, loads.size());
}

TEST(ChooseEndpoint, ParsesTheLoadHeader) {
  CHECK(*ParseReportedLoad("3/12") ==
        (ReportedLoad{.in_flight = 3, .limit = 12}));
  for (const char* wrong : {"", "3", "/", "3/", "/4", "3/0", "-1/4", "3/4x"}) {
    CHECK_FALSE(ParseReportedLoad(wrong).has_value());
  }
}

// Guards against moving 280 KB uploads to another domain during a burst, which
// costs the link between the domains more than waiting in the local one.
TEST(ChooseEndpoint, LargeBodiesStayInTheLocalDomainEvenUnderOverload) {
  SetLoad(0, 14);
  SetLoad(1, 14);
  const ServiceEndpoint* small = ChooseEndpoint(
      endpoints, loads, options, kStart, rng, {.body_bytes = 400});
  STRCMP_EQUAL("d1", small->domain.str().c_str());
  const ServiceEndpoint* large = ChooseEndpoint(
      endpoints, loads, options, kStart, rng, {.body_bytes = 280'000});
  STRCMP_EQUAL("d0", large->domain.str().c_str());
}

TEST(ChooseEndpoint, LargeBodiesLeaveADomainWithoutUsableEndpoints) {
  const std::vector<banyantrail::EndpointKey> local{KeyOf(endpoints[0]),
                                                    KeyOf(endpoints[1])};
  const ServiceEndpoint* large =
      ChooseEndpoint(endpoints, loads, options, kStart, rng,
                     {.body_bytes = 280'000, .excluded = local});
  CHECK(large != nullptr);
}

// Guards against uploads of 60 KB being refused in a domain that gets a third
// of them but has only one of six backend servers.
TEST(ChooseEndpoint, RefusedMediumBodiesTryAnotherDomain) {
  const std::vector<banyantrail::EndpointKey> local{KeyOf(endpoints[0]),
                                                    KeyOf(endpoints[1])};
  CHECK(MayTryAnotherEndpoint(endpoints, options,
                              {.body_bytes = 60'000, .excluded = local}));
  const ServiceEndpoint* next =
      ChooseEndpoint(endpoints, loads, options, kStart, rng,
                     {.body_bytes = 60'000, .excluded = local});
  STRCMP_EQUAL("d1", next->domain.str().c_str());
}

TEST(ChooseEndpoint, RefusedLargeBodiesStayInTheLocalDomain) {
  const std::vector<banyantrail::EndpointKey> first{KeyOf(endpoints[0])};
  CHECK(MayTryAnotherEndpoint(endpoints, options,
                              {.body_bytes = 280'000, .excluded = first}));
  const std::vector<banyantrail::EndpointKey> local{KeyOf(endpoints[0]),
                                                    KeyOf(endpoints[1])};
  CHECK_FALSE(MayTryAnotherEndpoint(
      endpoints, options, {.body_bytes = 280'000, .excluded = local}));
}

// With 6 slots for each backend server, leaving the domain at a utilisation of
// 0.8 sends every fifth request away although it would be answered in time.
TEST(ChooseEndpoint, StaysInTheLocalDomainWhileTheResponseIsInTime) {
  SetLoad(0, 12);
  SetLoad(1, 12);
  const banyantrail::ChoiceRequest request{
      .time_left = milliseconds(400), .expected_duration = milliseconds(150)};
  STRCMP_EQUAL("d0", Choose(request)->domain.str().c_str());
}

TEST(ChooseEndpoint, LeavesADomainThatIsTooSlowForOneThatIsNot) {
  SetLoad(0, 24);
  SetLoad(1, 24);
  const banyantrail::ChoiceRequest request{
      .time_left = milliseconds(400), .expected_duration = milliseconds(150)};
  STRCMP_EQUAL("c", Choose(request)->id.str().c_str());
}

// Moving a request that is late everywhere only loads the link.
TEST(ChooseEndpoint, StaysInTheLocalDomainIfNoOtherAnswersInTime) {
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    SetLoad(i, i < 2 ? 40 : 30);
  }
  const banyantrail::ChoiceRequest request{
      .time_left = milliseconds(400), .expected_duration = milliseconds(150)};
  STRCMP_EQUAL("d0", Choose(request)->domain.str().c_str());
}

// When a nested service is overloaded, every backend server of a service fails
// some requests. Taking a third of them out makes the overload worse.
TEST(ChooseEndpoint, FailuresCommonToAllEndpointsEjectNone) {
  for (const ServiceEndpoint& endpoint : endpoints) {
    for (int i = 0; i < 20; ++i) {
      Record(loads, endpoint,
             i % 3 == 0 ? EndpointOutcome::kFailed : EndpointOutcome::kSuccess,
             kStart);
    }
  }
  CHECK(loads.IsEjected(endpoints[0], kStart));
  auto counts = CountChoices(kStart);
  CHECK(counts["a"] > 300);
  CHECK(counts["b"] > 300);
}

TEST(ChooseEndpoint, DrawsFromLargeTiersWithoutExcludedEndpoints) {
  constexpr int kCount = 500;
  std::vector<ServiceEndpoint> many;
  many.reserve(kCount);
  for (int i = 0; i < kCount; ++i) {
    many.push_back(EndpointAt(std::to_string(i), i < kCount / 2 ? "d0" : "d1"));
  }
  const auto is_odd = [](const ServiceEndpoint& endpoint) {
    return std::stoi(endpoint.id.str()) % 2 == 1;
  };
  std::map<std::string, int> counts;
  for (int i = 0; i < 2000; ++i) {
    const ServiceEndpoint* chosen = ChooseEndpoint(
        many, loads, options, kStart, rng, {.is_excluded = is_odd});
    CHECK_FALSE(is_odd(*chosen));
    STRCMP_EQUAL("d0", chosen->domain.str().c_str());
    ++counts[chosen->id.str()];
  }
  LONGS_EQUAL(125, counts.size());
}
