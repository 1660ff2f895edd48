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

  SECTION("an idle engine starts at once") {
    REQUIRE(forecast(5) == PassForecast{});
  }

  SECTION("a prompt that is prefilled occupies the current pass") {
    tracker.OnStart(At(0), kEngine, Prompt("first", 100));
    REQUIRE(forecast(30).rest_ms == Approx(70));
    REQUIRE(forecast(30).prefill_ms == 0);

    SECTION("and those that come meanwhile wait for the next pass") {
      tracker.OnStart(At(20), kEngine, Prompt("second", 60));
      tracker.OnStart(At(80), kEngine, Prompt("third", 60));
      REQUIRE(forecast(90).rest_ms == Approx(10));
      REQUIRE(forecast(90).prefill_ms == Approx(120));
      // The first prompt has become a stream by then.
      REQUIRE(forecast(90).streams == 1);
      REQUIRE(forecast(90).next_ms ==
              Approx(120 + PassMilliseconds(profile, 1, 5'000)));

      SECTION("which begins when the first one is reported as prefilled") {
        tracker.OnPrefillDone(At(110), kEngine, Prompt("first", 0).key);
        REQUIRE(forecast(110).prefill_ms == 0);
        REQUIRE(forecast(110).rest_ms ==
                Approx(120 + PassMilliseconds(profile, 1, 5'000)));
      }
    }

    SECTION("a pass that takes longer than forecast has not ended") {
      tracker.OnStart(At(50), kEngine, Prompt("second", 60));
      REQUIRE(forecast(400).rest_ms > 0);
      REQUIRE(forecast(400).prefill_ms == Approx(60));
    }
  }

  SECTION("a segment of another engine's prompt ends as forecast") {
    CallLoad segment = Prompt("split", 100);
    segment.takes_slot = false;
    tracker.OnStart(At(0), kEngine, segment);
    REQUIRE(forecast(40).rest_ms == Approx(60));
    REQUIRE(forecast(150).rest_ms == 0);
  }
}

}  // namespace
}  // namespace zr
