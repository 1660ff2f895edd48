#include "zr_http/server/shed_order.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

using State = ClientLoad::State;

TimePoint At(int64_t ms) {
  return TimePoint::FromMicroseconds(1000 * (100000 + ms));
}

}  // namespace

// Guards against ordinary callers who lose their request for clients that stop
// short of the end of theirs.
TEST_CASE("Clients without progress give way first when memory is short") {
  const TimePoint now = At(0);
  ShedOrder::Loads loads = {
      {State::kRunning, true, At(-9000), 900},
      {State::kReading, true, At(-50), 500},     // sends
      {State::kReading, false, At(-2000), 100},  // stopped
      {State::kReading, false, At(-4000), 100},  // stopped before
      {State::kWaiting, false, At(-3000), 400},
      {State::kIdle, true, At(-9000), 0}};
  REQUIRE(ShedOrder::ForMemory(loads, now, now) == 3);
  loads[3].held = loads[2].held = 0;

  SECTION("those that send are left alone while memory is released") {
    REQUIRE(ShedOrder::ForMemory(loads, now, At(-100)) == std::nullopt);
  }
  SECTION("if requests block each other, the largest gives way") {
    REQUIRE(ShedOrder::ForMemory(loads, now, At(-3000)) == 1);
    loads[1].held = 0;
    REQUIRE(ShedOrder::ForMemory(loads, now, At(-3000)) == 4);
    loads[4].held = 0;
    REQUIRE(ShedOrder::ForMemory(loads, now, At(-3000)) == std::nullopt);
  }
  SECTION("those that are refused already come before all others") {
    loads.push_back({State::kRefused, false, At(-10), 1});
    REQUIRE(ShedOrder::ForMemory(loads, now, now) == 6);
  }
}

// Guards against a VM whose memory is taken by bytes that its kernel received
// for requests that wait.
TEST_CASE("Of too many that wait for memory the largest gives way") {
  ShedOrder::Loads waiting = {{State::kWaiting, false, At(0), 0, 500},
                              {State::kWaiting, false, At(0), 0, 4000},
                              {State::kWaiting, false, At(0), 90, 4000},
                              {State::kRunning, true, At(0), 0, 9000},
                              {State::kWaiting, false, At(0), 0, 10}};
  SECTION("the last one of several") {
    CHECK(ShedOrder::ForWaiting(waiting) == 2);
  }
  SECTION("but none behind a request that runs") {
    waiting = {{State::kRunning, true, At(0), 0, 9000}};
    CHECK(ShedOrder::ForWaiting(waiting) == std::nullopt);
  }
}

// Guards against clients that keep all connections for themselves.
TEST_CASE("Connections give way by their use") {
  const TimePoint now = At(0);
  ShedOrder::Loads loads = {{State::kRunning, true, At(-9000), 9},
                            {State::kIdle, true, At(-8000), 0},
                            {State::kIdle, false, At(-2000), 0},
                            {State::kReading, true, At(-1500), 5},
                            {State::kRefused, true, At(-10), 0}};
  for (const size_t expected : {4, 3, 2, 1}) {
    REQUIRE(ShedOrder::ForConnection(loads, now) == expected);
    loads.pop_back();
  }
  REQUIRE(ShedOrder::ForConnection(loads, now) == std::nullopt);
  loads.push_back({State::kReading, false, At(-500), 5});
  REQUIRE(ShedOrder::ForConnection(loads, now) == std::nullopt);
}

}  // namespace zr
