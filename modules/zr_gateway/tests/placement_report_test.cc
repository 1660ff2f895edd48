#include <catch2/catch.hpp>

#include "zr_gateway/tests/placed_load.h"
#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

const ConsideredEndpoint& Find(const PlacementReport& report, int number) {
  for (const ConsideredEndpoint& considered : report.endpoints) {
    if (considered.endpoint == ExampleEndpoint(number).id) return considered;
  }
  FAIL("endpoint " << number << " is not in the report");
  return report.endpoints.front();
}

// Guards against an explanation that names another endpoint than the decision,
// or leaves out why an endpoint was passed over.
TEST_CASE("A report explains the choice of Choose()") {
  ServicePolicy service;
  service.name = ServiceName("pool");
  service.engine = ExampleEngine();
  const PlacementPolicy policy;
  EndpointTracker tracker;
  for (int i = 0; i < 6; ++i) tracker.Upsert(At(0), ExampleEndpoint(i), 0);
  const auto start = [&](int number, const char* request, double prefill_ms) {
    CallLoad load;
    load.key = {VmId("vm"), RequestId(request), 1};
    load.prefill_ms = prefill_ms;
    load.max_gap = Duration::Milliseconds(200);
    load.value = 1000;
    load.expires = At(100'000);
    tracker.OnStart(At(0), ExampleEndpoint(number).id, load);
  };
  ListedEndpoint draining = ExampleEndpoint(3);
  draining.draining = true;
  tracker.Upsert(At(0), draining, 0);
  tracker.OnCallResult(At(0), ExampleEndpoint(4).id,
                       CallResult::kConnectionBroken);
  start(1, "stream", 0);
  start(2, "long", 2000);
  CallRequirements requirements;
  requirements.shape = {TokenCount(4960), TokenCount(80)};
  requirements.objective = Duration::Milliseconds(300);
  requirements.max_gap = Duration::Milliseconds(200);
  requirements.time_left = Duration::Seconds(10);
  const auto explain = [&] {
    return ExplainPlacement(At(1), policy, tracker, service, requirements);
  };

  SECTION("a short prompt goes to the fullest engine that has room") {
    const PlacementReport report = explain();
    REQUIRE(report.decision == PlacementDecision::kPlace);
    REQUIRE(report.endpoints.size() == 6);
    REQUIRE(report.endpoints.front().endpoint == ExampleEndpoint(1).id);
    REQUIRE(report.endpoints.front().chosen);
    CHECK(Find(report, 0).reason ==
          "meets the request, but the chosen one is fuller");
    CHECK(Find(report, 2).reason ==
          "its next pass is longer than the allowed pause");
    CHECK(Find(report, 3).reason == "is draining");
    CHECK(Find(report, 4).reason == "failed or rejected a call just before");
    CHECK(report.plan->primary.endpoint ==
          policy
              .Choose(At(1), tracker, service.name, &*service.engine,
                      requirements, 5)
              ->primary.endpoint);
  }
  SECTION("a long prompt names each engine's part") {
    requirements.shape.prompt = TokenCount(210'000);
    requirements.objective = Duration::Seconds(3);
    const PlacementReport report = explain();
    REQUIRE(report.plan);
    const size_t chosen = 1 + report.plan->helpers.size();
    REQUIRE(chosen > 1);
    for (size_t i = 0; i < report.endpoints.size(); ++i) {
      CHECK(report.endpoints[i].chosen == (i < chosen));
    }
  }
  SECTION("without an endpoint it says so") {
    tracker.SetEvacuated({ExampleEndpoint(0).domain});
    const PlacementReport report = explain();
    CHECK(report.decision == PlacementDecision::kRefuse);
    CHECK(Find(report, 0).reason == "its domain is evacuated");
  }
  SECTION("a plain service gets the fewest calls for its slots") {
    service.engine.reset();
    const PlacementReport report = explain();
    CHECK(Find(report, 1).reason == "has more calls for its slots");
    CHECK(report.reason == "has the fewest calls for its slots");
  }
}

// Guards against an explanation by which the dispatcher's next decisions
// change.
TEST_CASE("The dispatcher explains a long prompt without counting it") {
  ServicePolicy service;
  service.name = ServiceName("pool");
  service.engine = ExampleEngine();
  const PlacementPolicy policy;
  PoolDispatcher dispatcher(policy, 1);
  for (int i = 0; i < 2; ++i) {
    dispatcher.tracker().Upsert(At(0), ExampleEndpoint(i), 0);
  }
  DispatchRequest request;
  request.pool = service.name;
  request.prompt = TokenCount(210'000);
  request.max_answer = TokenCount(80);
  request.objective = Duration::Seconds(6);
  request.max_gap = Duration::Seconds(1);
  request.time_left = Duration::Seconds(15);
  const PlacementReport first = dispatcher.Explain(At(0), service, request);
  REQUIRE(first.decision == PlacementDecision::kPlace);
  for (int i = 0; i < 50; ++i) dispatcher.Explain(At(0), service, request);
  REQUIRE(dispatcher.calls() == 0);
  REQUIRE(dispatcher.Explain(At(0), service, request).endpoints ==
          first.endpoints);
  request.time_left = Duration::Milliseconds(500);
  REQUIRE(dispatcher.Explain(At(0), service, request).decision ==
          PlacementDecision::kRefuse);
}

// Guards against errors that don't tell an operator which field is wrong.
TEST_CASE("A described request is checked field by field") {
  GatewayConfigParts parts;
  Route route;
  route.name = "chat";
  route.host = "a.example";
  route.path_prefix = "/";
  route.streaming = true;
  route.services = {{ServiceName("pool"), 1}};
  parts.routes = {route};
  ServicePolicy service;
  service.name = ServiceName("pool");
  service.engine = ExampleEngine();
  parts.services = {service};
  parts.has_teams = true;
  parts.teams = {{TeamId("customs"), {"key"}, {}}};
  const auto config = *GatewayConfig::Create(parts);
  std::map<std::string, std::string, std::less<>> fields = {
      {"route", "chat"},
      {"team", "customs"},
      {"kind", "stream"},
      {"tokens", "4960"},
      {"answer_tokens", "80"}};
  const auto read = [&] {
    return ReadDescription(
        [&](std::string_view name) -> std::optional<std::string> {
          auto it = fields.find(name);
          if (it == fields.end()) return std::nullopt;
          return it->second;
        },
        *config);
  };
  REQUIRE(read());
  REQUIRE(read()->shape == PromptShape{TokenCount(4960), TokenCount(80)});
  const auto [field, value] =
      GENERATE(table<std::string, std::string>({{"route", ""},
                                                {"route", "other"},
                                                {"team", ""},
                                                {"team", "x"},
                                                {"kind", "once"},
                                                {"kind", ""},
                                                {"tokens", "0"},
                                                {"tokens", "-1"},
                                                {"tokens", "many"},
                                                {"tokens", "9999999999"},
                                                {"tokens", "1e3"},
                                                {"answer_tokens", "5 "},
                                                {"answer_tokens", ""}}));
  fields[field] = value;
  INFO(field << "=" << value);
  REQUIRE_FALSE(read());
  CHECK(read().error().peer == field);
  CHECK(read().error().code == ErrorCode::kInvalidArgument);
}

}  // namespace
}  // namespace zr
