#include <catch2/catch.hpp>
#include <list>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

// Guards against answers without end that use up a VM's memory together.
TEST_CASE("Answers that are buffered whole share a bounded memory") {
  constexpr size_t kTotal = size_t{16} << 20;
  constexpr size_t kPiece = size_t{16} << 10;
  BufferBudget budget(kTotal);

  SECTION("a single answer may be large") {
    BufferBudget::Share share(budget);
    REQUIRE(share.TryGrow(kTotal / 8));
    SECTION("but not without end") { REQUIRE_FALSE(share.TryGrow(kTotal / 4)); }
  }
  SECTION("many answers without end stay within the total") {
    std::list<BufferBudget::Share> answers;
    for (int i = 0; i < 100; ++i) answers.emplace_back(budget);
    for (int round = 0; round < 2000; ++round) {
      for (auto& answer : answers) (void)answer.TryGrow(kPiece);
    }
    REQUIRE(budget.held() <= kTotal);
    SECTION("and leave room for small ones") {
      BufferBudget::Share small(budget);
      REQUIRE(small.TryGrow(BufferBudget::kSmallAnswer));
    }
    SECTION("and give back what they have passed on") {
      for (auto& answer : answers) REQUIRE(answer.TryResize(0));
      REQUIRE(budget.held() == 0);
    }
    SECTION("and give it back at their end") {
      answers.clear();
      REQUIRE(budget.held() == 0);
    }
  }
}

}  // namespace
}  // namespace zr
