#include <catch2/catch.hpp>

#include "zr_gateway/tests/queued_load.h"

namespace zr {
namespace {

// Guards against an overload in which all requests wait in engines in order of
// arrival, so that nearly all of them are late.
TEST_CASE("A wave of one domain's callers leaves most others in time") {
  WaveLoad load;
  load.fair_queue = false;
  const WaveResult before = SimulateWave(load);
  load.fair_queue = true;
  const WaveResult after = SimulateWave(load);
  REQUIRE(after.callers == before.callers);
  REQUIRE(after.in_time > 2 * before.in_time);
  REQUIRE(before.over_slots > 0);
  REQUIRE(after.over_slots == 0);

  SECTION("Teams that ask for less than their share are served") {
    for (const char* team : {"t2", "t3", "t4"}) {
      const WaveResult::Team& small = after.teams.at(TeamId(team));
      const WaveResult::Team& large = after.teams.at(TeamId("t0"));
      REQUIRE(small.in_time * 10 >= small.callers * 8);
      REQUIRE(small.in_time * large.callers > large.in_time * small.callers);
    }
  }
  SECTION("No room stays idle while requests wait") {
    // Calm packing fills 0.8 of the slots.
    REQUIRE(after.busy_slots > 0.8);
  }
}

// Guards against a queue that makes requests wait while there is room, and
// against short prompts that share a pass and so make each other late.
TEST_CASE("Without an overload all are served at once, and fewer are late") {
  WaveLoad load;
  load.base_rate = 108;
  load.fair_queue = false;
  const WaveResult before = SimulateWave(load);
  load.fair_queue = true;
  const WaveResult after = SimulateWave(load);
  REQUIRE(after.in_time >= before.in_time);
  REQUIRE(after.late * 100 < after.callers * 5);
  REQUIRE(after.refused == 0);
  REQUIRE(after.busy_slots == 0);  // no request waited for a tick
}

}  // namespace
}  // namespace zr
