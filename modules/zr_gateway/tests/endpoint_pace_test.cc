#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "zr_gateway/tests/paced_endpoints.h"
#include "zr_gateway/tests/placed_load.h"

namespace zr {
namespace {

constexpr double kRuleFactor = 1.5;
constexpr double kRuleBurst = 5;

/** Prints a row of the comparison if ZR_PACE_TABLE is set. */
void Print(const char* scenario, PaceMode pace, const PaceResult& result) {
  if (std::getenv("ZR_PACE_TABLE") == nullptr) return;
  static bool has_head = false;
  if (!std::exchange(has_head, true)) {
    std::printf(
        "| scenario, callers always wait  | pace    | answers | late | "
        "rejected | failed | cold starts/s | full rate ms | idle ms |\n");
  }
  std::printf("| %-28s | %-7s | %6d | %6d | %7d | %6d | %6d | %8d | %6d |\n",
              scenario, pace == PaceMode::kFixed ? "fixed" : "learned",
              result.answered, result.late, result.rejected, result.failed,
              result.most_cold_starts, result.full_rate_ms, result.idle_ms);
}

/** Runs a scenario by the fixed rules and by what is learned.
 * @returns the results of the latter */
PaceResult Compare(const char* name, const PaceScenario& scenario) {
  PaceResult learned;
  for (PaceMode pace : {PaceMode::kFixed, PaceMode::kLearned}) {
    learned = RunScenario(scenario, pace);
    Print(name, pace, learned);
  }
  return learned;
}

double Rule(const PaceScenario& scenario) {
  return scenario.cold_rate * kRuleFactor + kRuleBurst;
}

// Guards against an endpoint that is flooded while it warms up, or left idle
// afterwards.
TEST_CASE("A starting endpoint reaches its rate within twice its warm-up") {
  for (int warm_up_ms : {500, 3000, 20'000}) {
    PaceScenario scenario;
    scenario.warm_up_ms = warm_up_ms;
    scenario.length_ms = 2 * warm_up_ms + 1000;
    const std::string name = "warm-up " + std::to_string(warm_up_ms) + " ms";
    const PaceResult result = Compare(name.c_str(), scenario);
    CAPTURE(warm_up_ms);
    REQUIRE(result.most_cold_starts <= scenario.cold_rate / 2 + 1);
    REQUIRE(result.full_rate_ms <= 2 * warm_up_ms);
    REQUIRE(result.idle_ms == 0);
  }
}

// Guards against a limit that ends although the endpoint is still cold.
TEST_CASE("An endpoint that stays cold never gets more than its share") {
  PaceScenario scenario;
  scenario.warm_up_ms = scenario.length_ms = 30'000;
  const PaceResult result = Compare("never warms up", scenario);
  REQUIRE(result.most_cold_starts <= scenario.cold_rate / 2 + 1);
  REQUIRE(result.answered >= 0.9 * 30 * scenario.cold_rate / 2);
  REQUIRE(result.idle_ms == 0);
}

// Guards against a domain that is overrun when it returns, and against one that
// stays idle as all its endpoints are tried in turn.
TEST_CASE("Forty endpoints that return at once start together") {
  PaceScenario scenario;
  scenario.endpoints = 40;
  scenario.length_ms = 7000;
  const PaceResult result = Compare("forty at once", scenario);
  REQUIRE(result.most_cold_starts <= scenario.cold_rate / 2 + 1);
  REQUIRE(result.full_rate_ms <= 2 * scenario.warm_up_ms);
  REQUIRE(result.idle_ms == 0);
}

// Guards against two dispatchers that overrun a cold endpoint together, as
// neither knows the calls of the other.
TEST_CASE("Two dispatchers together keep to the rule of a cold endpoint") {
  PaceScenario scenario;
  scenario.dispatchers = 2;
  scenario.length_ms = 7000;
  const PaceResult result = Compare("two dispatchers", scenario);
  REQUIRE(result.most_cold_starts < Rule(scenario));
  REQUIRE(result.full_rate_ms <= 2 * scenario.warm_up_ms);
}

// Guards against calls that an overloaded endpoint turns away again and again.
TEST_CASE("A slow endpoint gets what it can do") {
  for (double factor : {2.5, 10.0}) {
    PaceScenario scenario;
    scenario.warm_up_ms = 0;
    scenario.endpoints = 2;
    scenario.slow_factor = factor;
    scenario.length_ms = 20'000;
    const std::string name = "slow by " + std::to_string(factor).substr(0, 4);
    const PaceResult result = Compare(name.c_str(), scenario);
    CAPTURE(factor, result.rejected, result.answered);
    // The users' bound: fewer than 3 in 100 calls.
    REQUIRE(result.rejected * 100 < (result.answered + result.rejected) * 3);
    REQUIRE(result.slowness > 0.6 * factor);
    REQUIRE(result.slowness < 1.6 * factor);
    REQUIRE(result.idle_ms == 0);
  }
}

// Guards against an endpoint that works again and gets nothing while callers
// wait, and against one that flaps and gets as much as a sound one.
TEST_CASE("An endpoint that fails is probed while callers wait") {
  PaceScenario scenario;
  scenario.warm_up_ms = 0;
  scenario.endpoints = 2;
  scenario.length_ms = 20'000;
  SECTION("after an outage it works within half a second") {
    scenario.down_from_ms = 2000;
    scenario.down_until_ms = 9000;
    const PaceResult result = Compare("down for 7 s", scenario);
    REQUIRE(result.first_answer_ms <= 500);
    REQUIRE(result.full_rate_ms <= 1500);
    REQUIRE(result.failed < 40);
  }
  SECTION("one that flaps fails few calls, and the other keeps its rate") {
    scenario.down_from_ms = 2000;
    scenario.down_until_ms = 20'000;
    scenario.flap_ms = 400;
    const PaceResult result = Compare("flaps every 400 ms", scenario);
    REQUIRE(result.failed * 100 < result.answered * 3);
    REQUIRE(result.answered > 0.9 * 20 * 120);
  }
}

// Guards against an endpoint that is avoided for the load that it claims.
TEST_CASE("A load report that contradicts the answers loses its weight") {
  PaceScenario scenario;
  scenario.warm_up_ms = 0;
  scenario.endpoints = 2;
  scenario.offered_per_s = 200;
  scenario.claimed_load = 1000;
  scenario.length_ms = 20'000;
  const PaceResult result = Compare("claims a load of 1000", scenario);
  REQUIRE(result.least_share > 0.3);
  REQUIRE(result.idle_ms == 0);
}

// Guards against an endpoint that is given up as calls seem to be in progress
// there, whose ends were lost.
TEST_CASE("Lost messages don't end an endpoint's calls") {
  PaceScenario scenario;
  scenario.lost_every = 10;
  scenario.length_ms = 10'000;
  const PaceResult result = Compare("one end in ten lost", scenario);
  REQUIRE(result.idle_ms <= 1000);
  REQUIRE(result.most_cold_starts <= scenario.cold_rate / 2 + 1);
}

// Guards against limits, and other choices, in normal operation.
TEST_CASE("A sound endpoint is not limited") {
  PaceScenario scenario;
  scenario.warm_up_ms = 0;
  scenario.endpoints = 4;
  scenario.offered_per_s = 300;
  scenario.jitter_ms = 60;
  scenario.length_ms = 20'000;
  const PaceResult learned = Compare("sound", scenario);
  REQUIRE(learned == RunScenario(scenario, PaceMode::kFixed));
}

// Guards against calls that a dispatcher keeps sending to engines that have
// become slow, and against engines that are taken for slow under usual load.
TEST_CASE("A dispatcher learns which engines are slow") {
  // No deployment may lose more than 0.03 of its score.
  constexpr double kLeastShare = 0.97;
  for (const SlowEngines& slow :
       {SlowEngines{0, 1}, SlowEngines{3, 2.5}, SlowEngines{3, 10}}) {
    LoadResult sums[2];
    for (uint64_t seed : {1, 2, 3, 4, 5, 6}) {
      for (PaceMode pace : {PaceMode::kFixed, PaceMode::kLearned}) {
        LoadResult& sum = sums[pace == PaceMode::kLearned ? 1 : 0];
        const LoadResult result =
            SimulateLoad(seed, DispatchMode::kDispatcher, slow, pace);
        sum.short_offered += result.short_offered;
        sum.short_in_time += result.short_in_time;
        sum.long_offered += result.long_offered;
        sum.long_in_time += result.long_in_time;
        sum.value_in_time += result.value_in_time;
      }
    }
    for (const LoadResult& sum : sums) {
      if (std::getenv("ZR_PACE_TABLE") == nullptr) break;
      std::printf(
          "| %zu engines slower by %4.1f | %-7s | %4d of %4d short | "
          "%3d of %3d long | %10.0f |\n",
          slow.count, slow.factor, &sum == sums ? "fixed" : "learned",
          sum.short_in_time, sum.short_offered, sum.long_in_time,
          sum.long_offered, sum.value_in_time);
    }
    CAPTURE(slow.count, slow.factor);
    const double least = slow.count == 0 ? kLeastShare : 1;
    REQUIRE(sums[1].short_in_time >= least * sums[0].short_in_time);
    REQUIRE(sums[1].value_in_time >= least * sums[0].value_in_time);
  }
}

// Guards against estimates that follow a single late call.
TEST_CASE("Slowness is robust against outliers") {
  const auto at = [](int64_t ms) {
    return TimePoint() + Duration::Milliseconds(ms);
  };
  SlownessEstimate estimate;
  estimate.Add(at(0), 9);
  REQUIRE(estimate.value() == 1);
  estimate.Add(at(10), 1.2);
  estimate.Add(at(20), 1.5);
  REQUIRE(estimate.value() == 1);
  SECTION("calls that are overdue count before they are answered") {
    estimate.Update(at(30), {3, 3, 3, 3});
    REQUIRE(estimate.value() == 3);
  }
  SECTION("one that was slow is forgotten without evidence") {
    for (int i = 0; i < 5; ++i) estimate.Add(at(100 + i), 50);
    REQUIRE(estimate.value() == SlownessEstimate::kMaxSlowness);
    estimate.Update(at(20'000), {});
    REQUIRE(estimate.value() == 1);
  }
}

// Guards against a dispatcher that learns nothing, as VMs don't tell the time
// of the first event or it is taken from another clock.
TEST_CASE("A dispatcher learns from the times that VMs report") {
  const auto at = [](int64_t ms) {
    return TimePoint() + Duration::Milliseconds(ms);
  };
  GatewayConfigParts parts;
  ServicePolicy policy;
  policy.name = ServiceName("pool");
  policy.engine = ExampleEngine();
  parts.services = {policy};
  const auto config = *GatewayConfig::Create(parts);
  const PlacementPolicy placement;
  PoolDispatcher dispatcher(placement, 1);
  dispatcher.tracker().SetPace(PaceMode::kLearned);
  dispatcher.tracker().Upsert(at(0), ExampleEndpoint(0), 0);
  const auto slowness_after = [&](Duration elapsed) {
    for (int i = 0; i < 3; ++i) {
      DispatchRequest ask;
      ask.request = RequestId("r" + std::to_string(i));
      ask.pool = policy.name;
      ask.prompt = TokenCount(4960);
      ask.max_answer = TokenCount(1600);
      ask.objective = ask.max_gap = Duration::Milliseconds(300);
      ask.time_left = Duration::Seconds(10);
      dispatcher.OnDispatchRequest(at(i), VmId("vm"), *config, ask);
      CallProgress progress;
      progress.request = ask.request;
      progress.pool = ask.pool;
      progress.stage = CallStage::kPrefillDone;
      progress.elapsed = elapsed;
      dispatcher.OnProgress(at(i), VmId("vm"), progress);
    }
    return dispatcher.tracker().Find(ExampleEndpoint(0).id)->slowness;
  };
  SECTION("usual ones change nothing") {
    REQUIRE(slowness_after(Duration::Milliseconds(90)) == 1);
  }
  SECTION("long ones show that the engine is slow") {
    REQUIRE(slowness_after(Duration::Milliseconds(700)) > 3);
  }
}

// Guards against a new dispatcher that floods endpoints whose limits the VMs
// had found.
TEST_CASE("A new dispatcher takes the smallest allowance reported") {
  const TimePoint now = TimePoint() + Duration::Seconds(10);
  EndpointTracker tracker({.pace = PaceMode::kLearned});
  tracker.Upsert(TimePoint(), PacedEndpoint(0), 36);
  const EndpointId id = PacedEndpoint(0).id;
  const BootNumber boot = PacedEndpoint(0).boot();
  tracker.OnAllowances(now, {{id, boot, 4, 0}});
  tracker.OnAllowances(now, {{id, boot, 2, 12'500}});
  tracker.OnAllowances(now, {{id, boot, 3, 0}, {id, BootNumber(9), 1, 0}});
  REQUIRE(tracker.Find(id)->pace.calls() == 2);
  REQUIRE(tracker.Find(id)->cold_rate == 12.5);
  REQUIRE(now < tracker.Find(id)->cold_until);
  SECTION("and tells the next one") {
    const auto told = tracker.Allowances(now, PacedEndpoint(0).service, true);
    REQUIRE(told == std::vector<EndpointAllowance>{{id, boot, 2, 12'500}});
  }
}

}  // namespace
}  // namespace zr
