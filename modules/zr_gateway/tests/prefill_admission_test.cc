#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

/** A prompt that meets its objective if it starts now. */
PrefillCandidate Prompt(double prefill_ms, double value) {
  PrefillCandidate candidate;
  candidate.prefill_ms = prefill_ms;
  candidate.value = value;
  candidate.first_token = Duration::Milliseconds(500);
  candidate.earliest_first_token = Duration::Milliseconds(200);
  candidate.objective_left = Duration::Milliseconds(3000);
  candidate.time_left = Duration::Seconds(15);
  return candidate;
}

// Guards against an overload in which every long prompt starts, and all of them
// are late.
TEST_CASE("Prompts are deferred if others make better use of prefill time") {
  PrefillAdmission admission;
  for (int i = 0; i < 20; ++i) admission.OnArrival(At(100 * i), 2800, 220'000);
  const PrefillCandidate usual = Prompt(2800, 220'000);
  PrefillCandidate late = usual;
  late.objective_left = Duration();
  const PrefillCandidate giant = Prompt(19'000, 620'000);

  SECTION("an idle pool starts all of them") {
    REQUIRE(admission.Decide(0, usual) == PrefillDecision::kStart);
    REQUIRE(admission.Decide(0, late) == PrefillDecision::kStart);
    REQUIRE(admission.Decide(0, giant) == PrefillDecision::kStart);
  }
  SECTION("a pool with a backlog starts only those that are in time") {
    REQUIRE(admission.Decide(10'000, usual) == PrefillDecision::kStart);
    REQUIRE(admission.Decide(10'000, late) == PrefillDecision::kDefer);
    REQUIRE(admission.Decide(10'000, giant) == PrefillDecision::kDefer);
  }
  SECTION("the price rises with the backlog") {
    REQUIRE(admission.Decide(50, late) == PrefillDecision::kStart);
    REQUIRE(admission.Decide(400, late) == PrefillDecision::kDefer);
  }
  SECTION("a deferred prompt starts while it can still finish") {
    late.time_left = Duration::Milliseconds(4000);
    REQUIRE(admission.Decide(10'000, late) == PrefillDecision::kStart);
  }
  SECTION("a prompt that can't finish any more is refused") {
    late.time_left = Duration::Milliseconds(3100);
    REQUIRE(admission.Decide(10'000, late) == PrefillDecision::kRefuse);
    REQUIRE(admission.DecideWithoutMemory(late) == PrefillDecision::kRefuse);
  }
  SECTION("a prompt that would miss its deadline now waits for less load") {
    late.first_token = Duration::Seconds(13);
    REQUIRE(admission.Decide(0, late) == PrefillDecision::kDefer);
  }
  SECTION("a prompt without free memory is deferred") {
    REQUIRE(admission.DecideWithoutMemory(usual) == PrefillDecision::kDefer);
  }
}

// Guards against a price that depends on an outdated mix.
TEST_CASE("The price follows the recent mix") {
  PrefillAdmission admission;
  REQUIRE(admission.RecentValueDensity() == 0);
  admission.OnArrival(At(0), 1000, 1000);
  REQUIRE(admission.RecentValueDensity() == Approx(1));
  for (int i = 0; i < 50; ++i) admission.OnArrival(At(60'000 + i), 1000, 9000);
  REQUIRE(admission.RecentValueDensity() == Approx(9).epsilon(0.01));
}

}  // namespace
}  // namespace zr
