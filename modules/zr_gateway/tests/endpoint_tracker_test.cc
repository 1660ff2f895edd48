#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

const ServiceName kPool("pool");

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

ListedEndpoint Listed(std::string id, std::string domain = "a") {
  ListedEndpoint listed;
  listed.address = "127.0.0.1:" + id;
  listed.id = EndpointId(std::move(id));
  listed.service = kPool;
  listed.domain = DomainId(std::move(domain));
  listed.slots = 16;
  listed.boot_ms = 1;
  return listed;
}

CallLoad Load(std::string request, double reading_ms = 0) {
  CallLoad load;
  load.key = {VmId("vm"), RequestId(std::move(request)), 1};
  load.prefill_ms = reading_ms;
  load.expires = At(1'000'000);
  return load;
}

std::set<std::string> Names(const std::vector<const EndpointState*>& states) {
  std::set<std::string> names;
  for (const auto* state : states) names.insert(state->listed.id.value());
  return names;
}

// Guards against calls to endpoints that are draining, evacuated or in backoff.
TEST_CASE("Only endpoints that accept calls are available") {
  EndpointTracker tracker;
  tracker.Upsert(At(0), Listed("e1", "a"), 36);
  tracker.Upsert(At(0), Listed("e2", "b"), 36);
  const auto available = [&](int64_t ms) {
    return Names(tracker.Available(At(ms), kPool, {}));
  };
  REQUIRE(available(0) == std::set<std::string>{"e1", "e2"});

  SECTION("a draining endpoint is left out at once") {
    ListedEndpoint draining = Listed("e1");
    draining.draining = true;
    tracker.Upsert(At(10), draining, 36);
    REQUIRE(available(10) == std::set<std::string>{"e2"});
    REQUIRE_FALSE(tracker.MayCall(EndpointId("e1")));
  }
  SECTION(
      "of two at one address, only the one that started last is available") {
    ListedEndpoint newer = Listed("e3");
    newer.address = Listed("e1").address;
    newer.boot_ms = 2;
    tracker.Upsert(At(10), newer, 36);
    REQUIRE(available(10) == std::set<std::string>{"e2", "e3"});
    tracker.Upsert(At(20), Listed("e1"), 36);
    REQUIRE(available(20) == std::set<std::string>{"e2", "e3"});
    REQUIRE_FALSE(tracker.MayCall(EndpointId("e1")));
    SECTION("and the other one is available again after its removal") {
      tracker.Remove(EndpointId("e3"));
      REQUIRE(available(30).contains("e1"));
    }
  }
  SECTION("an evacuated domain is left out until its evacuation ends") {
    tracker.SetEvacuated({DomainId("b")});
    REQUIRE(available(0) == std::set<std::string>{"e1"});
    tracker.SetEvacuated({});
    REQUIRE(available(0).size() == 2);
  }
  SECTION("a failed endpoint is in backoff, longer after each failure") {
    tracker.OnCallResult(At(0), EndpointId("e1"),
                         CallResult::kConnectionBroken);
    REQUIRE(available(600) == std::set<std::string>{"e2"});
    REQUIRE(available(800).size() == 2);
    tracker.OnCallResult(At(800), EndpointId("e1"),
                         CallResult::kConnectionBroken);
    REQUIRE(available(2000) == std::set<std::string>{"e2"});
    SECTION("and available again after a valid answer") {
      tracker.OnCallResult(At(2001), EndpointId("e1"), CallResult::kAnswered);
      REQUIRE(available(2001).size() == 2);
    }
    SECTION("and available if there is no other endpoint") {
      tracker.Remove(EndpointId("e2"));
      REQUIRE(available(900) == std::set<std::string>{"e1"});
    }
  }
  SECTION("a single error answer causes no backoff") {
    tracker.OnCallResult(At(0), EndpointId("e1"), CallResult::kErrorAnswer);
    REQUIRE(available(1).size() == 2);
    tracker.OnCallResult(At(2), EndpointId("e1"), CallResult::kErrorAnswer);
    REQUIRE(available(3) == std::set<std::string>{"e2"});
  }
  SECTION("a restart under the same id clears earlier failures") {
    tracker.OnCallResult(At(0), EndpointId("e1"),
                         CallResult::kConnectionBroken);
    ListedEndpoint restarted = Listed("e1");
    restarted.boot_ms = 2;
    tracker.Upsert(At(100), restarted, 36);
    REQUIRE(available(100).size() == 2);
  }
}

// Guards against overloading a cold endpoint, by one VM or by all together.
TEST_CASE("A cold endpoint gets a bounded number of starts a second") {
  EndpointTracker tracker;
  tracker.SetColdShare(0.5);
  ListedEndpoint cold = Listed("e1");
  cold.cold_left = Duration::Seconds(3);
  tracker.Upsert(At(0), cold, 36);
  int starts = 0;
  for (int64_t ms = 0; ms < 1000; ++ms) {
    if (tracker.Available(At(ms), kPool, {}).empty()) continue;
    tracker.OnStart(At(ms), EndpointId("e1"), Load("r" + std::to_string(ms)));
    ++starts;
  }
  REQUIRE(starts >= 17);
  REQUIRE(starts <= 19);  // half of 36 a second, and the first one
  SECTION("and is not limited once it is warm") {
    REQUIRE(tracker.Available(At(3001), kPool, {}).size() == 1);
  }
}

// Guards against a prefill backlog that is never cleared.
TEST_CASE("The backlog of an engine follows its calls") {
  EndpointTracker tracker;
  tracker.Upsert(At(0), Listed("e1"), 0);
  const EndpointId id("e1");
  tracker.OnStart(At(0), id, Load("r1", 500));
  tracker.OnStart(At(0), id, Load("r2", 300));
  const EndpointState* state = tracker.Find(id);
  REQUIRE(state->BacklogMs(At(0)) == Approx(800));
  REQUIRE(state->BacklogMs(At(300)) == Approx(500));
  SECTION("a prefill faster than forecast shortens it") {
    tracker.OnPrefillDone(At(100), id, Load("r1").key);
    REQUIRE(state->BacklogMs(At(100)) == Approx(300));
  }
  SECTION("it is zero when all prompts are prefilled") {
    tracker.OnPrefillDone(At(100), id, Load("r1").key);
    tracker.OnEnd(At(110), id, Load("r2").key);
    REQUIRE(state->BacklogMs(At(110)) == 0);
  }
  SECTION("the calls of a failed VM are dropped") {
    tracker.RemoveVmCalls(At(50), VmId("vm"));
    REQUIRE(state->OccupiedSlots() == 0);
    REQUIRE(state->BacklogMs(At(50)) == 0);
  }
  SECTION("a call whose end is not reported is dropped after its deadline") {
    tracker.Expire(At(1'000'001));
    REQUIRE(state->OccupiedSlots() == 0);
  }
}

// Guards against removing all endpoints because of an outage of the store, and
// against calls to endpoints that were removed during it.
TEST_CASE("Entries that expire around an outage have a grace period") {
  EndpointTracker tracker;
  EndpointDirectory directory(tracker);
  directory.OnList(At(0), {{Listed("e1"), 0}, {Listed("e2"), 0}});
  SECTION("without an outage, an entry is removed at once") {
    directory.OnRemoved(At(10), EndpointId("e1"));
    REQUIRE(tracker.size() == 1);
  }
  SECTION("after an outage") {
    directory.OnStoreReachable(At(100), false);
    directory.OnStoreReachable(At(5000), true);
    directory.OnList(At(5010), {{Listed("e2"), 0}});
    directory.Tick(At(6000));
    REQUIRE(tracker.size() == 2);
    SECTION("an entry that is written again stays") {
      directory.OnEntry(At(6500), {Listed("e1"), 0});
      directory.Tick(At(9000));
      REQUIRE(tracker.size() == 2);
    }
    SECTION("an entry that is still missing is removed") {
      directory.Tick(At(7400));
      REQUIRE(tracker.size() == 1);
    }
    SECTION("a draining one is removed at once") {
      ListedEndpoint draining = Listed("e2");
      draining.draining = true;
      directory.OnEntry(At(5020), {draining, 0});
      directory.OnRemoved(At(5030), EndpointId("e2"));
      REQUIRE(tracker.Find(EndpointId("e2")) == nullptr);
    }
  }
  SECTION("during an outage, missing entries are not removed") {
    directory.OnStoreReachable(At(100), false);
    directory.OnRemoved(At(200), EndpointId("e1"));
    directory.Tick(At(20'000));
    REQUIRE(tracker.size() == 2);
  }
}

// Guards against a single giant prompt that defers all other long prompts for
// as long as its engines prefill it.
TEST_CASE("A giant prompt counts in the backlog as engines that are busy") {
  const auto at = [](int64_t ms) {
    return TimePoint::FromMicroseconds(ms * 1000);
  };
  const ServiceName pool("giants");
  EndpointTracker tracker;
  for (const char* name : {"g1", "g2", "g3", "g4"}) {
    ListedEndpoint listed;
    listed.id = EndpointId(name);
    listed.service = pool;
    listed.address = std::string(name) + ":1";
    tracker.Upsert(at(0), listed, 0);
  }
  CallLoad load;
  load.key = {VmId("vm"), RequestId("r"), 1};
  load.expires = at(60'000);
  load.prefill_ms = 800;
  tracker.OnStart(at(0), EndpointId("g1"), load);
  // Counts until it is reported as done, however long that takes.
  REQUIRE(tracker.MeanBacklogMs(pool) == 200);
  load.key.request = RequestId("giant");
  load.prefill_ms = 10'000;
  tracker.OnStart(at(1), EndpointId("g2"), load);
  REQUIRE(tracker.MeanBacklogMs(pool) == 500);
}

}  // namespace
}  // namespace zr
