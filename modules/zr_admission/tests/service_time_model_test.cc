#include <catch2/catch.hpp>

#include "zr_admission/service_time_model.h"

namespace zr {
namespace {

PoolPolicy Policy() {
  PoolPolicy policy;
  policy.prefill_tokens_per_second = 12'000;
  policy.decode_tokens_per_second = 50;
  return policy;
}

// Guards against interactive requests that miss their deadline because prompts of others are read
// while they are answered.
TEST_CASE("An answer takes longer while other prompts are read") {
  ServiceTimeModel model(Policy());
  SECTION("by the time in which it keeps a share of the speed") {
    REQUIRE(model.AnswerSeconds(40, 1, 0) == Approx(0.8));
    // In 4 s beside prefill 20 tokens come, the other 20 in 0.4 s.
    REQUIRE(model.AnswerSeconds(40, 1, 4) == Approx(4.4));
    REQUIRE(model.AnswerSeconds(10, 1, 4) == Approx(2.0));
  }
  SECTION("and the stall is not taken for a slow engine") {
    ServiceTimeModel::Observation seen;
    seen.answered = 40;
    seen.max_answer = 40;
    seen.beside_prefill_seconds = 4;
    seen.run_time = Duration::Milliseconds(4'400);
    for (int i = 0; i < 50; ++i) model.ObserveModelCall(seen);
    REQUIRE(model.DecodeSpeed(1) == Approx(50).epsilon(0.02));
  }
}

}  // namespace
}  // namespace zr
