#include <catch2/catch.hpp>
#include <set>

#include "zr_gateway/tests/placed_load.h"
#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

using Kind = MemoryOrder::Kind;
using State = ReservationSet::State;

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

size_t Count(const ReservationSet::Orders& orders, Kind kind) {
  return static_cast<size_t>(
      std::count_if(orders.begin(), orders.end(),
                    [kind](const auto& order) { return order.kind == kind; }));
}

// Guards against refusing prompts although several engines together have enough
// memory for them.
TEST_CASE("The memory of one prompt is shared by several engines") {
  SECTION("an engine with enough memory keeps it alone") {
    REQUIRE(SplitMemory(100, 100, {})->kv_holders == 0);
  }
  SECTION("the smallest sufficient number of engines shares it evenly") {
    const auto split = SplitMemory(1000, 450, {450, 450, 450});
    REQUIRE(split);
    REQUIRE(split->kv_holders == 2);
    REQUIRE(split->kv_per_holder == TokenCount(334));
  }
  SECTION("a full engine among the helpers holds nothing") {
    const auto split = SplitMemory(600, 450, {310, 10});
    REQUIRE(split->kv_holders == 1);
  }
  SECTION("too little memory in total yields no split") {
    REQUIRE_FALSE(SplitMemory(1000, 450, {450}));
  }
  SECTION("prompts that exceed all engines' capacity do not fit") {
    const EngineProfile profile = ExampleEngine();
    const PromptShape shape{TokenCount(800'000), TokenCount(1'000)};
    REQUIRE_FALSE(FitsEngines(profile, shape, 1, kMaxHelpers));
    REQUIRE(FitsEngines(profile, shape, 2, kMaxHelpers));
    REQUIRE_FALSE(FitsEngines(profile, shape, 20, 0));
  }
}

// Guards against refusing a prompt of 600,000 tokens, and against memory that
// is counted twice or not at all.
TEST_CASE("A prompt larger than one engine is placed on several") {
  const EngineProfile profile = ExampleEngine();
  const PlacementPolicy placement;
  EndpointTracker tracker;
  for (int i = 0; i < 4; ++i) tracker.Upsert(At(0), ExampleEndpoint(i), 0);
  CallRequirements requirements;
  requirements.shape = {TokenCount(600'000), TokenCount(1'600)};
  requirements.objective = Duration::Milliseconds(4000);
  requirements.max_gap = Duration::Milliseconds(800);
  requirements.time_left = Duration::Seconds(15);
  const auto place = [&] {
    return placement.Choose(At(0), tracker, ServiceName("pool"), &profile,
                            requirements, 1);
  };
  const auto plan = place();
  REQUIRE(plan);
  REQUIRE(plan->kv_holders >= 1);
  CallLoad load;
  load.key = {VmId("vm"), RequestId("r1"), 1};
  load.prefill_ms = plan->prefill_ms;
  load.kv_tokens = TokenCount(601'600);
  load.expires = At(15'000);
  const CallEndpoints endpoints = plan->Endpoints();
  StartCall(At(0), tracker, endpoints, load);
  const auto held = [&] {
    int64_t sum = 0;
    for (const auto& [id, state] : tracker.endpoints()) {
      REQUIRE(state.KvInUse() <= profile.kv_capacity);
      sum += state.KvInUse().value();
    }
    return sum;
  };
  REQUIRE(held() == 601'600);
  SECTION("the memory stays occupied after prefill") {
    FinishPrefill(At(100), tracker, endpoints, load.key);
    REQUIRE(held() == 601'600);
    for (const auto& [id, state] : tracker.endpoints()) {
      REQUIRE(state.BacklogMs(At(100)) == 0);
    }
  }
  SECTION("and is free after the call") {
    EndCall(At(100), tracker, endpoints, load.key);
    REQUIRE(held() == 0);
  }
  SECTION("there is not enough memory for a third such prompt") {
    for (const char* name : {"r2", "r3"}) {
      const auto next = place();
      if (!next) break;
      load.key.request = RequestId(name);
      StartCall(At(0), tracker, next->Endpoints(), load);
      held();
    }
    REQUIRE_FALSE(place());
  }
}

// Guards against leaked reservations, and against calls that start without
// their memory.
TEST_CASE("Memory is reserved at all engines or at none") {
  const std::vector<PlacedEndpoint> engines = {
      {EndpointId("e0"), "127.0.0.1:1"}, {EndpointId("e1"), "127.0.0.1:2"}};
  ReservationSet set("vm.r1.1", engines, TokenCount(1000),
                     Duration::Seconds(3));
  const auto asked = set.Begin(At(0));
  REQUIRE(Count(asked, Kind::kReserve) == 2);
  REQUIRE(asked[0].id != asked[1].id);

  SECTION("it is held once both have confirmed") {
    REQUIRE(set.OnOutcome(At(1), asked[0], OrderOutcome::kDone).empty());
    REQUIRE(set.state() == State::kPending);
    set.OnOutcome(At(2), asked[1], OrderOutcome::kDone);
    REQUIRE(set.state() == State::kHeld);

    SECTION("and renewed well before it expires") {
      REQUIRE(set.Tick(At(500)).empty());
      const auto renewals = set.Tick(At(1001));
      REQUIRE(Count(renewals, Kind::kReserve) == 2);
      REQUIRE(renewals[0].id == asked[0].id);
      SECTION("a renewal in flight is released when its answer arrives") {
        REQUIRE(set.End(At(1002)).empty());
        const auto releases =
            set.OnOutcome(At(1003), renewals[0], OrderOutcome::kDone);
        REQUIRE(Count(releases, Kind::kRelease) == 1);
      }
      SECTION("a renewal without an answer is repeated") {
        set.OnOutcome(At(1400), renewals[0], OrderOutcome::kUnknown);
        REQUIRE(Count(set.Tick(At(2001)), Kind::kReserve) == 1);
      }
    }
    SECTION("the end of the call releases both") {
      const auto releases = set.End(At(100));
      REQUIRE(Count(releases, Kind::kRelease) == 2);
      REQUIRE(set.state() == State::kReleasing);
      for (const auto& order : releases) {
        set.OnOutcome(At(101), order, OrderOutcome::kDone);
      }
      REQUIRE(set.state() == State::kClosed);
      REQUIRE(set.Tick(At(5000)).empty());
    }
  }
  SECTION("a refusal releases the reservation at the other engine") {
    set.OnOutcome(At(1), asked[0], OrderOutcome::kDone);
    const auto releases =
        set.OnOutcome(At(2), asked[1], OrderOutcome::kRefused);
    REQUIRE(set.state() == State::kFailed);
    REQUIRE(Count(releases, Kind::kRelease) == 1);
    REQUIRE(releases[0].endpoint == engines[0]);
    set.OnOutcome(At(3), releases[0], OrderOutcome::kDone);
    REQUIRE(set.state() == State::kClosed);
  }
  SECTION("an unanswered order is released until it can't take effect") {
    set.OnOutcome(At(1), asked[0], OrderOutcome::kRefused);
    auto orders = set.OnOutcome(At(400), asked[1], OrderOutcome::kUnknown);
    REQUIRE(Count(orders, Kind::kRelease) == 1);
    int releases = 1;
    TimePoint last = At(400);
    for (int64_t ms = 410; ms < 20'000; ms += 10) {
      for (const auto& order : orders) {
        set.OnOutcome(At(ms), order, OrderOutcome::kDone);
      }
      orders = set.Tick(At(ms));
      releases += static_cast<int>(orders.size());
      if (!orders.empty()) last = At(ms);
    }
    REQUIRE(releases > 4);
    REQUIRE(last > At(5'000));
    REQUIRE(set.state() == State::kClosed);
  }
  SECTION("an order that is sent again keeps its set") {
    set.OnSentAgain(At(1), asked[0]);
    set.OnOutcome(At(2), asked[0], OrderOutcome::kDone);
    set.OnOutcome(At(2), asked[1], OrderOutcome::kDone);
    REQUIRE(set.state() == State::kHeld);
    const auto release_all = [&set](int64_t ms) {
      auto orders =
          set.state() == State::kHeld ? set.End(At(ms)) : set.Tick(At(ms));
      for (const auto& order : orders) {
        set.OnOutcome(At(ms), order, OrderOutcome::kDone);
      }
      return orders;
    };
    SECTION("and is released until the first one can't take effect") {
      REQUIRE(Count(release_all(100), Kind::kRelease) == 2);
      REQUIRE(set.state() == State::kReleasing);
      const auto repeated = release_all(1'000);
      REQUIRE(Count(repeated, Kind::kRelease) == 1);
      REQUIRE(repeated[0].endpoint == engines[0]);
    }
    SECTION("and once if that is long ago") {
      REQUIRE(Count(release_all(6'100), Kind::kRelease) == 2);
      REQUIRE(set.state() == State::kClosed);
    }
    SECTION("a release that is sent again adds none") {
      for (const auto& order : set.End(At(6'100))) {
        set.OnSentAgain(At(6'101), order);
        set.OnOutcome(At(6'102), order, OrderOutcome::kDone);
      }
      REQUIRE(set.state() == State::kClosed);
    }
  }
}

// Guards against memory that stays reserved beside an engine that does not
// begin to read its prompt, and against giving up a prompt that is being read.
TEST_CASE("Reserved memory that no engine uses is given up in time") {
  constexpr Duration kMaxIdle = Duration::Seconds(9);
  const std::vector<PlacedEndpoint> engines = {
      {EndpointId("e0"), "127.0.0.1:1"}};
  ReservationSet set("vm.r1.1", engines, TokenCount(1000), Duration::Seconds(3),
                     kMaxIdle);
  const auto orders = set.Begin(At(0));
  REQUIRE_FALSE(set.TakeUseQuery(At(8000)));
  set.OnOutcome(At(1), orders[0], OrderOutcome::kDone);
  REQUIRE_FALSE(set.TakeUseQuery(At(5000)));
  REQUIRE(set.TakeUseQuery(At(7500)));
  REQUIRE_FALSE(set.TakeUseQuery(At(7900)));
  SECTION("if the engine says that it is unused") {
    REQUIRE(set.OnUse(ReservationUse::kUnused));
    SECTION("once") {
      set.End(At(7600));
      REQUIRE_FALSE(set.OnUse(ReservationUse::kUnused));
      REQUIRE_FALSE(set.TakeUseQuery(At(9000)));
    }
  }
  SECTION("not if a request uses it, whatever a late answer says") {
    REQUIRE_FALSE(set.OnUse(ReservationUse::kUsed));
    REQUIRE_FALSE(set.TakeUseQuery(At(60'000)));
    REQUIRE_FALSE(set.OnUse(ReservationUse::kUnused));
  }
  SECTION("an engine that does not answer is asked again") {
    REQUIRE_FALSE(set.OnUse(ReservationUse::kUnknown));
    REQUIRE(set.TakeUseQuery(At(8000)));
  }
}

}  // namespace
}  // namespace zr
