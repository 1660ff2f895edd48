#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

// Guards against changes that come late to a VM that relies on others.
TEST_CASE("Evidence of the store's state stays within the bound of a change") {
  const Duration bound = Duration::Seconds(GENERATE(2, 3, 5, 8));
  const EvidenceLimits limits = EvidenceLimits::ForBound(bound);

  SECTION("a VM calls the store before the bound, with time for the call") {
    REQUIRE(bound - limits.max_age() >= Duration::Milliseconds(500));
  }
  SECTION("watches on behalf of others spare these calls of their own") {
    const Duration oldest =
        limits.shared_wait() * 2 + EvidenceLimits::kQueryPeriod;
    REQUIRE(oldest < limits.max_age());
  }
  SECTION("a silent connection is noticed while others rely on it") {
    REQUIRE(limits.shared_wait() <= Duration::Seconds(2));
  }
}

}  // namespace
}  // namespace zr
