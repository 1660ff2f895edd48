#include "zr_admission/long_prompt_share.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

// Guards against short prompts that are left one endpoint of many, and run
// beside long ones, although the long ones leave others idle.
TEST_CASE("Spare capacity goes to short prompts") {
  const PoolId pool("glossary");
  LongPromptShare share(VmId("vm-a"));
  TimePoint now = TimePoint::FromMicroseconds(1'000'000'000);
  // 80,000 long and 12,000 short tokens a second.
  // The rates fade over 60 s; after five times that they have settled.
  for (int i = 0; i < 3'000; ++i) {
    now = now + Duration::Milliseconds(100);
    share.OnOffered(now, pool, TokenCount(8'000), true);
    share.OnOffered(now, pool, TokenCount(1'200), false);
  }
  SECTION("by the share alone they get one of twelve") {
    REQUIRE(share.LongPromptEndpoints(now, pool, 12) == 11);
  }
  SECTION(
      "by the speed of the endpoints they get what the long ones do not need") {
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
