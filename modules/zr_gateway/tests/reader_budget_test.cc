#include "zr_gateway/reader_budget.h"

#include <catch2/catch.hpp>

#include "zr_gateway/body_budget.h"

namespace zr {
namespace {

constexpr size_t kKiB = 1024;

TimePoint At(int64_t ms) { return TimePoint() + Duration::Milliseconds(ms); }

ReaderBudget::Limits TestLimits() {
  ReaderBudget::Limits limits;
  limits.caller = 100 * kKiB;
  limits.total = 200 * kKiB;
  return limits;
}

/** Writes pieces of 16 KiB until the budget pauses the stream. */
size_t Fill(ReaderBudget& budget, TimePoint now, ReaderBudget::StreamId id) {
  constexpr size_t kPiece = 16 * kKiB;
  while (budget.TryRead(id, kPiece)) budget.OnWritten(now, id, kPiece);
  return budget.HeldBy(id);
}

// Guards against slow readers that use up a VM's memory, or keep the slot of an
// engine until that cuts off the answer.
TEST_CASE("Streams of slow readers are paused and ended") {
  using Streams = std::vector<ReaderBudget::StreamId>;
  ReaderBudget budget(TestLimits());
  const auto first = budget.Add(At(0), "10.0.0.1");
  REQUIRE(Fill(budget, At(0), first) == 64 * kKiB);

  SECTION("a paused stream goes on when its caller has taken everything") {
    REQUIRE_FALSE(budget.OnSent(At(100), first, 48 * kKiB));
    REQUIRE(budget.OnSent(At(200), first, 16 * kKiB));
    REQUIRE(budget.held() == 0);
    REQUIRE(budget.TryRead(first, 16 * kKiB));
    REQUIRE(budget.TakeOverdue(At(9000)).empty());
  }
  SECTION("it is ended once its caller has taken nothing for 1.5 s") {
    REQUIRE_FALSE(budget.OnSent(At(1000), first, kKiB));
    REQUIRE(budget.TakeOverdue(At(2499)).empty());
    REQUIRE(budget.StalledFor(At(2500), first) == Duration::Milliseconds(1500));
    REQUIRE(budget.TakeOverdue(At(2500)) == Streams{first});
    REQUIRE(budget.TakeOverdue(At(2600)).empty());
    SECTION("and its bytes count until its connection is closed") {
      budget.Remove(first);
      REQUIRE(budget.held() == 63 * kKiB);
      REQUIRE_FALSE(budget.OnSent(At(2700), first, 63 * kKiB));
      REQUIRE(budget.held() == 0);
      REQUIRE(budget.streams() == 0);
    }
  }
  SECTION("a stream that is not paused waits for its endpoint") {
    const auto idle = budget.Add(At(0), "10.0.0.2");
    budget.OnWritten(At(0), idle, kKiB);
    REQUIRE(budget.TakeOverdue(At(9000)) == Streams{first});
  }
  SECTION("the streams of one address share a limit") {
    const auto second = budget.Add(At(0), "10.0.0.1");
    REQUIRE(Fill(budget, At(0), second) < 64 * kKiB);
    REQUIRE(budget.held() <= 100 * kKiB);
    SECTION("which other addresses don't feel") {
      const auto other = budget.Add(At(0), "10.0.0.2");
      REQUIRE(Fill(budget, At(0), other) == 64 * kKiB);
    }
    SECTION("a third one still goes on, piece by piece, if it is read") {
      const auto third = budget.Add(At(0), "10.0.0.1");
      for (int i = 0; i < 9; ++i) {
        REQUIRE(budget.TryRead(third, 16 * kKiB));
        budget.OnWritten(At(i), third, 16 * kKiB);
        (void)budget.OnSent(At(i), third, 16 * kKiB);
      }
    }
  }
  SECTION("when the VM's part is full, the slowest is ended first") {
    Streams streams;
    for (int i = 0; i < 13; ++i) {
      streams.push_back(budget.Add(At(0), "10.0.1." + std::to_string(i)));
      budget.OnWritten(At(10 * i), streams.back(), 16 * kKiB);
    }
    REQUIRE(budget.held() > 200 * kKiB);
    REQUIRE(budget.TakeOverdue(At(240)).empty());
    REQUIRE(budget.TakeOverdue(At(600)) == Streams{first, streams[0]});
    REQUIRE(budget.TakeOverdue(At(640)).empty());
  }
}

TEST_CASE("The limits on slow readers follow from the VM's memory") {
  const auto small = ReaderBudget::LimitsFor(size_t{112} << 20);
  REQUIRE(small.total == size_t{7} << 20);
  REQUIRE(small.caller * 4 == small.total);
  REQUIRE(ReaderBudget::LimitsFor(0).total == ReaderBudget::Limits().total);
}

// Guards against an endpoint that crashes because the requests that it holds
// exceed its memory.
TEST_CASE("Bodies in flight to one endpoint are bounded") {
  BodyBudget budget;
  const EndpointId endpoint("e-1");
  REQUIRE(budget.Fits(endpoint, 1000, 10));  // alone
  {
    const BodyBudget::Share first(budget, endpoint, 600);
    const BodyBudget::Share empty(budget, endpoint, 0);
    REQUIRE(budget.Fits(endpoint, 400, 1000));
    REQUIRE_FALSE(budget.Fits(endpoint, 401, 1000));
    REQUIRE(budget.Fits(EndpointId("e-2"), 1000, 1000));
    REQUIRE(budget.in_flight().at(endpoint) == 600);
  }
  REQUIRE(budget.in_flight().empty());
}

}  // namespace
}  // namespace zr
