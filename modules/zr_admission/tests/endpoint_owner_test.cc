#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace zr {
namespace {

// Guards against memory that is promised twice or kept after its grant ended.
TEST_CASE("An owner reserves memory for each grant") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), false, 10'000);
  f.Ask(AtMs(10), f.Request("a", 5'000, 500));
  REQUIRE(f.Granted("a"));
  REQUIRE(f.Sent<Grant>().front().kv_tokens == TokenCount(5'500));
  REQUIRE(f.Sent<Grant>().front().start_within == kStartWithin);

  SECTION("and does not go beyond the capacity less its margin") {
    f.Ask(AtMs(20), f.Request("b", 4'200, 150));
    REQUIRE_FALSE(f.Granted("b"));
    SECTION("until memory is released") {
      f.Release(AtMs(1'000), "a");
      REQUIRE(f.Granted("b"));
    }
  }
  SECTION("and counts foreign load against the capacity") {
    f.Load(AtMs(2'000), 10'000, 9'000, 3);
    f.Ask(AtMs(2'010), f.Request("b", 900, 100));
    REQUIRE_FALSE(f.Granted("b"));
    f.Load(AtMs(2'300), 10'000, 5'500, 1);
    REQUIRE(f.Granted("b"));
  }
  SECTION("and refuses what does not fit an empty engine") {
    f.Ask(AtMs(20), f.Request("b", 9'700, 150));
    REQUIRE(f.Refused("b") == RefusalReason::kTooLarge);
  }
  SECTION("and repeats a grant whose message was lost") {
    const GrantNumber number = f.Entry("a")->number;
    f.Ask(AtMs(900), f.Request("a", 5'000, 500));
    REQUIRE(f.Sent<Grant>().front().number == number);
    REQUIRE(f.owner->grants().reserved() == TokenCount(5'500));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against memory that stays reserved after its holder is gone.
TEST_CASE("A grant that its holder does not list is reclaimed") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0));
  f.Ask(AtMs(10), f.Request("a", 5'000, 500));
  f.List(AtMs(500), "vm1", {f.Held("a")});
  f.Tick(AtMs(3'400));
  f.answer_lists = false;
  REQUIRE(f.Actions<CancelEngineStream>().empty());

  f.Tick(AtMs(3'501));
  REQUIRE(f.Actions<CancelEngineStream>().size() == 1);
  REQUIRE(f.Actions<CancelEngineStream>().front().stream_id == "a#1");
  REQUIRE(f.owner->grants().reserved() == TokenCount(5'500));

  SECTION("and its memory is free once the engine's list shows it gone") {
    f.last = f.owner->OnStreamList(AtMs(3'800), EngineStreams{BootNumber(1), {}});
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
    SECTION("and a late list of its holder does not bring it back") {
      HeldGrant held = f.Held("a");
      held.number = GrantNumber(1);
      held.owner = VmId("owner");
      f.List(AtMs(4'000), "vm1", {held});
      REQUIRE(f.owner->grants().size() == 0);
      REQUIRE(f.Actions<CancelEngineStream>().size() == 1);
    }
  }
  SECTION("and its memory is free after the engine's unclaimed window at the latest") {
    f.Tick(AtMs(3'501 + 11'001));
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("and a late release frees it at once") {
    f.Release(AtMs(3'600), "a");
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  REQUIRE(Invariants::Total() == 0);
}

}  // namespace
}  // namespace zr
