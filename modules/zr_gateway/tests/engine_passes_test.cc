#include "zr_gateway/engine_passes.h"

#include <catch2/catch.hpp>

#include "zr_gateway/tests/placed_load.h"
#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

const EndpointId kEngine("e0");

CallLoad Prompt(const char* request, double prefill_ms) {
  CallLoad load;
  load.key = {VmId("vm"), RequestId(request), 1};
  load.prefill_ms = prefill_ms;
  load.kv_tokens = TokenCount(5'000);
  return load;
}

TimePoint At(int64_t ms) { return TimePoint() + Duration::Milliseconds(ms); }

// Guards against pauses that callers do not accept: prompts that arrive during
// one long pass are all prefilled in the next one. A forecast that takes them
// as prefilled one after the other since their arrival allows far too many.
TEST_CASE("Prompts that arrive during a pass add up in the next one") {
  const EngineProfile profile = ExampleEngine();
  EndpointTracker tracker;
  tracker.Upsert(At(0), ExampleEndpoint(0), 0);
  const auto forecast = [&](int64_t ms) {
    return ForecastPasses(At(ms), *tracker.Find(kEngine), profile);
  };
  const double one_stream_ms = PassMilliseconds(profile, 1, 5'000);

  SECTION("an idle engine starts at once") {
    PassForecast idle;
    idle.began = At(5);
    REQUIRE(forecast(5) == idle);
  }

  SECTION("an engine that decodes nothing prefills in order of arrival") {
    tracker.OnStart(At(0), kEngine, Prompt("first", 100));
    tracker.OnStart(At(50), kEngine, Prompt("second", 60));
    REQUIRE(forecast(64).rest_ms == 0);
    REQUIRE(forecast(64).prefill_ms == Approx(100));
    CallLoad segment = Prompt("split", 40);
    segment.takes_slot = false;
    tracker.OnStart(At(60), kEngine, segment);

    SECTION("but segments of other engines' prompts first") {
      REQUIRE(forecast(64).segments_ms == Approx(40));
      REQUIRE(forecast(74).segments_ms == Approx(30));
      REQUIRE(forecast(74).prefill_ms == Approx(130));
    }
  }

  SECTION("an engine that decodes has long passes") {
    tracker.OnStart(At(0), kEngine, Prompt("first", 100));
    tracker.OnPrefillDone(At(110), kEngine, Prompt("first", 0).key);
    tracker.OnStart(At(100), kEngine, Prompt("second", 80));
    REQUIRE(forecast(110).rest_ms == 0);
    REQUIRE(forecast(120).rest_ms == Approx(80 + one_stream_ms - 10));

    SECTION("and what comes meanwhile waits for the next pass") {
      tracker.OnStart(At(130), kEngine, Prompt("third", 60));
      tracker.OnStart(At(180), kEngine, Prompt("fourth", 60));
      const PassForecast next = forecast(190);
      REQUIRE(next.prefill_ms == Approx(120));
      REQUIRE(next.segments_ms == Approx(120));
      REQUIRE(next.streams == 2);
      REQUIRE(next.decode_ms == Approx(PassMilliseconds(profile, 2, 5'000)));

      SECTION("which begins when the prompts before are prefilled") {
        tracker.OnPrefillDone(At(240), kEngine, Prompt("second", 0).key);
        REQUIRE(forecast(241).prefill_ms == 0);
        REQUIRE(forecast(241).rest_ms > 120);
      }
    }
  }
}

}  // namespace
}  // namespace zr
