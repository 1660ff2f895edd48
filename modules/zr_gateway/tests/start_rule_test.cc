#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

/** A prompt that meets its objective if it starts now. */
StartFacts Prompt(double total_prefill_ms, double value) {
  StartFacts facts;
  facts.total_prefill_ms = total_prefill_ms;
  facts.value = value;
  facts.first_token = Duration::Milliseconds(500);
  facts.earliest_first_token = Duration::Milliseconds(200);
  facts.objective_left = Duration::Milliseconds(3000);
  facts.time_left = Duration::Seconds(15);
  return facts;
}

// Guards against an overload in which every long prompt starts, and all of them
// are late.
TEST_CASE("Prompts are deferred if others make better use of prefill time") {
  StartRule rule;
  for (int i = 0; i < 20; ++i) rule.OnArrival(At(100 * i), 2800, 220'000);
  const StartFacts usual = Prompt(2800, 220'000);
  StartFacts late = usual;
  late.objective_left = Duration();
  const StartFacts giant = Prompt(19'000, 620'000);

  SECTION("an idle pool starts all of them") {
    REQUIRE(rule.Decide(0, usual) == StartDecision::kStart);
    REQUIRE(rule.Decide(0, late) == StartDecision::kStart);
    REQUIRE(rule.Decide(0, giant) == StartDecision::kStart);
  }
  SECTION("a pool with a backlog starts only those that are in time") {
    REQUIRE(rule.Decide(10'000, usual) == StartDecision::kStart);
    REQUIRE(rule.Decide(10'000, late) == StartDecision::kWait);
    REQUIRE(rule.Decide(10'000, giant) == StartDecision::kWait);
  }
  SECTION("the price rises with the backlog") {
    REQUIRE(rule.Decide(50, late) == StartDecision::kStart);
    REQUIRE(rule.Decide(400, late) == StartDecision::kWait);
  }
  SECTION("a deferred prompt starts while it can still finish") {
    late.time_left = Duration::Milliseconds(4000);
    REQUIRE(rule.Decide(10'000, late) == StartDecision::kStart);
  }
  SECTION("a prompt that can't finish any more is refused") {
    late.time_left = Duration::Milliseconds(3100);
    REQUIRE(rule.Decide(10'000, late) == StartDecision::kRefuse);
    REQUIRE(rule.DecideWithoutMemory(late) == StartDecision::kRefuse);
  }
  SECTION("a prompt that would miss its deadline now waits for less load") {
    late.first_token = Duration::Seconds(13);
    REQUIRE(rule.Decide(0, late) == StartDecision::kWait);
  }
  SECTION("a prompt without free memory is deferred") {
    REQUIRE(rule.DecideWithoutMemory(usual) == StartDecision::kWait);
  }
}

// Guards against a price that depends on an outdated mix.
TEST_CASE("The price follows the recent mix") {
  StartRule rule;
  REQUIRE(rule.RecentValueDensity() == 0);
  rule.OnArrival(At(0), 1000, 1000);
  REQUIRE(rule.RecentValueDensity() == Approx(1));
  for (int i = 0; i < 50; ++i) rule.OnArrival(At(60'000 + i), 1000, 9000);
  REQUIRE(rule.RecentValueDensity() == Approx(9).epsilon(0.01));
}

}  // namespace
}  // namespace zr
