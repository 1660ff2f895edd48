#include "zr_admission/long_prompt_share.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

// Guards against a split that leaves one endpoint for short prompts, so that
// they run beside long ones, although long prompts don't use all of their
// endpoints.
TEST_CASE("Spare capacity goes to short prompts") {
  const PoolId pool("glossary");
  LongPromptShare share(VmId("vm-a"));
  TimePoint now = TimePoint::FromMicroseconds(1'000'000'000);
  // 80,000 long and 12,000 short tokens per second. The rates have settled
  // after five times their time constant of 60 s.
  for (int i = 0; i < 3'000; ++i) {
    now = now + Duration::Milliseconds(100);
    share.OnOffered(now, pool, TokenCount(8'000), true);
    share.OnOffered(now, pool, TokenCount(1'200), false);
  }
  SECTION("by share alone they get one endpoint of twelve") {
    REQUIRE(share.LongPromptEndpoints(now, pool, 12) == 11);
  }
  SECTION(
      "with the endpoints' speed they get those that long prompts don't need") {
    const int64_t needed = share.LongPromptEndpoints(now, pool, 12, 12'000);
    REQUIRE(needed >= 7);
    REQUIRE(needed <= 9);
  }
  SECTION("and under overload the share decides") {
    REQUIRE(share.LongPromptEndpoints(now, pool, 4, 12'000) == 3);
  }
}

}  // namespace
}  // namespace zr
