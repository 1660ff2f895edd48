#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "zr_base/zr_base.h"

namespace zr {
namespace {

// Guards against keys that move although their node was not removed.
TEST_CASE("Rendezvous hashing moves only the keys of a removed node") {
  auto owner = [](const std::string& key, int nodes) {
    std::string best;
    double score = -1;
    for (int n = 0; n < nodes; ++n) {
      const std::string node = "vm" + std::to_string(n);
      if (double s = RendezvousScore(key, node); s > score) {
        score = s;
        best = node;
      }
    }
    return best;
  };
  std::map<std::string, int> share;
  for (int k = 0; k < 2000; ++k) {
    const std::string key = "endpoint" + std::to_string(k);
    const std::string before = owner(key, 10);
    const std::string after = owner(key, 9);
    if (before != "vm9") REQUIRE(after == before);
    ++share[before];
  }
  for (const auto& [node, count] : share) CHECK(count > 100);
}

// Guards against retries or store calls beyond their configured rate.
TEST_CASE("A token bucket") {
  TokenBucket bucket(10, 5);
  TimePoint now = TimePoint::FromMicroseconds(0);
  SECTION("starts full and refuses when empty") {
    for (int i = 0; i < 5; ++i) REQUIRE(bucket.TryTake(now));
    REQUIRE_FALSE(bucket.TryTake(now));
    SECTION("and refills at its rate") {
      REQUIRE(bucket.TimeUntil(now, 1).milliseconds() == 100);
      now = now + Duration::Milliseconds(101);
      REQUIRE(bucket.TryTake(now));
      REQUIRE_FALSE(bucket.TryTake(now));
    }
    SECTION("and never holds more than its burst") {
      now = now + Duration::Seconds(100);
      REQUIRE(bucket.LevelAt(now) == Approx(5));
    }
  }
}

// Guards against invariant violations that go unnoticed.
TEST_CASE("A failed assertion is counted under its invariant") {
  Invariants::Reset();
  ZR_ASSERT_INVARIANT(kNoKvLeak, 1 + 1 == 3, "sum");
  REQUIRE(Invariants::Count(Invariant::kNoKvLeak) == 1);
  REQUIRE(Invariants::Total() == 1);
  Invariants::Reset();
}

}  // namespace
}  // namespace zr
