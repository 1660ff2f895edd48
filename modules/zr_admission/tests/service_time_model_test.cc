#include "zr_admission/service_time_model.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

PoolPolicy Policy() {
  PoolPolicy policy;
  policy.prefill_tokens_per_second = 12'000;
  policy.decode_tokens_per_second = 50;
  return policy;
}

// Guards against interactive requests that miss their deadline because the
// prefill of other prompts slows down their decode.
TEST_CASE("An answer takes longer during other prompts' prefill") {
  ServiceTimeModel model(Policy());
  ServiceTimeModel::Observation observation;
  observation.answered = 40;
  observation.max_answer = 40;
  observation.overlap_seconds = 4;
  SECTION(
      "on an engine that stalls decode, without lowering its decode speed") {
    observation.run_time = Duration::Milliseconds(4'400);
    for (int i = 0; i < 50; ++i) model.ObserveModelCall(observation);
    REQUIRE(model.DecodeSpeed(1) == Approx(50).epsilon(0.02));
    REQUIRE(model.OverlapDecodeShare() == Approx(0.1).epsilon(0.05));
    REQUIRE(model.AnswerSeconds(40, 1, 4) == Approx(4.4).epsilon(0.05));
    REQUIRE(model.AnswerSeconds(40, 1, 0) == Approx(0.8).epsilon(0.05));
  }
  SECTION("but not on an engine that decodes at full speed during prefill") {
    observation.run_time = Duration::Milliseconds(800);
    // The share rises slowly: late answers cost more than unused capacity.
    for (int i = 0; i < 1'000; ++i) model.ObserveModelCall(observation);
    REQUIRE(model.AnswerSeconds(40, 1, 4) == Approx(0.8).epsilon(0.05));
  }
}

}  // namespace
}  // namespace zr
