#include "zr_base/memory_account.h"

#include <catch2/catch.hpp>

namespace zr {

// Guards against a process that is killed because the sum of what it holds for
// its clients exceeds the memory of its VM.
TEST_CASE("Reservations stay within the bounds") {
  using Purpose = MemoryAccount::Purpose;
  using Bound = MemoryAccount::Bound;
  MemoryAccount account(800);
  REQUIRE(account.TryReserve(Purpose::kIncoming, 700, Bound::kSoft));
  REQUIRE_FALSE(account.TryReserve(Purpose::kIncoming, 1, Bound::kSoft));

  SECTION("small requests have the room above the soft bound") {
    REQUIRE(account.TryReserve(Purpose::kConnections, 100, Bound::kHard));
    REQUIRE_FALSE(account.TryReserve(Purpose::kConnections, 1, Bound::kHard));
    REQUIRE(account.held() == 800);
  }
  SECTION("a sum that exceeds the range of numbers is refused") {
    REQUIRE_FALSE(
        account.TryReserve(Purpose::kIncoming, SIZE_MAX - 10, Bound::kHard));
  }
  SECTION("memory that changes its purpose is released under the new one") {
    account.Move(Purpose::kIncoming, Purpose::kRunning, 300);
    account.Release(Purpose::kRunning, 300);
    REQUIRE(account.held(Purpose::kIncoming) == 400);
    REQUIRE(account.TryReserve(Purpose::kIncoming, 300, Bound::kSoft));
  }
  SECTION("a limit that is lowered refuses until enough was released") {
    account.SetLimit(100);
    REQUIRE_FALSE(account.TryReserve(Purpose::kIncoming, 1, Bound::kHard));
    account.Release(Purpose::kIncoming, 700);
    REQUIRE(account.TryReserve(Purpose::kIncoming, 1, Bound::kHard));
  }
}

TEST_CASE("The shares of a VM leave room for the program and the kernel") {
  for (const size_t mb : {112, 182, 512, 8192}) {
    const size_t vm = mb << 20;
    REQUIRE(MemoryAccount::ClientBytes(vm) + MemoryAccount::AnswerBytes(vm) +
                (size_t{32} << 20) <
            vm);
  }
  REQUIRE(MemoryAccount::AnswerBytes(size_t{112} << 20) >= (size_t{23} << 20));
}

}  // namespace zr
