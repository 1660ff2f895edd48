#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }
Duration Ms(int64_t ms) { return Duration::Milliseconds(ms); }

const EndpointId kEngine("engine");
const EndpointId kOther("other");

// Guards against operators who look for the cause of a late answer in the wrong
// place: in the pool instead of an engine, or the reverse.
TEST_CASE("A late answer is explained by its first cause") {
  RequestTimes times;
  times.arrived = At(1000);
  times.call_started = At(1010);
  times.first_event = At(1200);
  const auto classify = [&] {
    return ClassifyLateness(times, Ms(300), Ms(250));
  };
  REQUIRE(classify() == Lateness::kInTime);

  SECTION("the objective itself is in time") {
    times.first_event = At(1300);
    REQUIRE(classify() == Lateness::kInTime);
  }
  SECTION("the first event is late") {
    times.first_event = At(1301);
    REQUIRE(classify() == Lateness::kPrefill);
    SECTION("after a wait that was longer than the call") {
      times.call_started = At(1200);
      REQUIRE(classify() == Lateness::kWait);
    }
    SECTION("without any call") {
      times.call_started.reset();
      REQUIRE(classify() == Lateness::kWait);
    }
    SECTION("after a failed call, whatever the last call took") {
      times.failed_calls = 1;
      REQUIRE(classify() == Lateness::kRetry);
    }
    SECTION("and a pause follows") {
      times.longest_pause = Ms(900);
      REQUIRE(classify() == Lateness::kPrefill);
    }
  }
  SECTION("a pause is longer than allowed") {
    times.longest_pause = Ms(251);
    REQUIRE(classify() == Lateness::kPause);
    SECTION("because a call failed") {
      times.pause_had_failed_call = true;
      REQUIRE(classify() == Lateness::kRetry);
    }
    SECTION("on a route that allows any pause") {
      REQUIRE(ClassifyLateness(times, Ms(300), std::nullopt) ==
              Lateness::kInTime);
    }
  }
}

// Guards against a pause that is blamed on the endpoint that ended it instead
// of the one that was silent, and against pauses that no event ends.
TEST_CASE("The longest pause names the endpoint that was silent") {
  PauseMeter pauses;
  pauses.OnEvent(At(100), kEngine);
  REQUIRE(pauses.longest() == Ms(0));
  pauses.OnEvent(At(150), kEngine);
  REQUIRE(pauses.longest() == Ms(50));

  SECTION("another endpoint goes on after a failure") {
    pauses.OnCallFailed();
    pauses.OnEvent(At(400), kOther);
    pauses.OnEvent(At(500), kOther);
    REQUIRE(pauses.longest() == Ms(250));
    REQUIRE(pauses.ended() == At(400));
    REQUIRE(pauses.endpoint() == kEngine);
    REQUIRE(pauses.had_failed_call());
  }
  SECTION("the caller leaves while the stream is silent") {
    pauses.OnBroken(At(2150));
    REQUIRE(pauses.longest() == Ms(2000));
    REQUIRE_FALSE(pauses.had_failed_call());
  }
  SECTION("a caller that reads slowly doesn't count") {
    pauses.OnCallerRead(At(900));
    pauses.OnEvent(At(910), kEngine);
    REQUIRE(pauses.longest() == Ms(50));
  }
}

// Guards against pauses at an engine whose cause, a prompt that was placed
// there, can't be found afterwards.
TEST_CASE("A long pause is reported with the prefill beside it") {
  EndpointTracker tracker;
  ListedEndpoint listed;
  listed.id = kEngine;
  listed.service = ServiceName("pool");
  listed.address = "a:1";
  tracker.Upsert(At(0), listed, 0);
  PauseHistory history;
  const auto key = [](const char* name) {
    return CallKey{VmId("vm"), RequestId(name), 1};
  };
  const auto start = [&](int64_t ms, const char* name, double prefill_ms) {
    CallLoad load;
    load.key = key(name);
    load.prefill_ms = prefill_ms;
    load.max_gap = Ms(250);
    load.expires = At(100'000);
    tracker.OnStart(At(ms), kEngine, load);
  };
  const auto prefilled = [&](int64_t ms, const char* name) {
    CallEndpoints endpoints;
    endpoints.primary = kEngine;
    history.OnPrefillEnded(At(ms), tracker, endpoints, key(name));
    tracker.OnPrefillDone(At(ms), kEngine, key(name));
  };
  start(0, "stream", 20);
  prefilled(60, "stream");
  start(100, "before", 15);
  prefilled(400, "before");
  start(900, "long", 600);
  CallProgress progress;
  progress.longest_pause = Ms(700);
  progress.pause_ended_ago = Ms(500);
  // The pause lasted from 1,000 to 1,700 ms.
  const auto report = [&] {
    return history.OnCallEnded(At(2200), tracker, kEngine, key("stream"),
                               progress);
  };

  SECTION("a prompt that is still being read counts") {
    REQUIRE(report());
    REQUIRE(report()->endpoint == kEngine);
    REQUIRE(report()->pause == Ms(700));
    REQUIRE(report()->prefill_ms == 600);
    REQUIRE(report()->streams == 3);
  }
  SECTION("so does one that was read within the pause") {
    prefilled(1650, "long");
    start(1800, "after", 100);
    REQUIRE(report());
    REQUIRE(report()->prefill_ms == 600);
  }
  SECTION("a pause that the caller allows isn't reported") {
    progress.longest_pause = Ms(250);
    REQUIRE_FALSE(report());
  }
  SECTION("old prompts are forgotten") {
    prefilled(1650, "long");
    REQUIRE(history.size() == 3);
    start(19'000, "later", 20);
    prefilled(19'050, "later");
    REQUIRE(history.size() == 1);
  }
}

}  // namespace
}  // namespace zr
