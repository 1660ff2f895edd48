#include "zr_gateway/endpoint_limits.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <vector>

namespace zr {
namespace {

constexpr TimePoint kStart = TimePoint::FromMicroseconds(1'000'000'000);
const EndpointId kEndpoint("e1");
const ServiceName kService("plain");

TimePoint At(int64_t ms) { return kStart + Duration::Milliseconds(ms); }

LimitObservation Limited(uint64_t per_s, Duration age = Duration(),
                         uint64_t boot = 1) {
  return {kEndpoint, BootNumber(boot), true, per_s * 1000, age};
}
LimitObservation Unlimited(Duration age = Duration(), uint64_t boot = 1) {
  return {kEndpoint, BootNumber(boot), false, 0, age};
}

EndpointTracker MakeTracker(double share) {
  EndpointTracker tracker;
  ListedEndpoint listed;
  listed.id = kEndpoint;
  listed.service = kService;
  listed.address = "10.0.0.1:1";
  listed.boot_ms = 1;
  tracker.Upsert(kStart, listed, 0);
  tracker.SetLimitShare(share);
  return tracker;
}

/** Places a request if the endpoint's limit leaves room for it. */
bool Place(EndpointTracker& tracker, TimePoint now, double spare = 0) {
  if (tracker.Available(now, kService, {}, spare).empty()) return false;
  tracker.CountRequest(now, kEndpoint);
  return true;
}

// Guards against a limit that is known only to the VM that has seen it.
TEST_CASE("The newest observation of an endpoint's limit counts") {
  EndpointLimits limits;
  REQUIRE(limits.Merge(At(0), {Unlimited()}).reported.empty());
  REQUIRE(limits.Merge(At(0), {Limited(2)}).reported.size() == 1);
  REQUIRE(limits.LimitOf(kEndpoint, BootNumber(1)) == 2.0);
  SECTION("repeated observations are no news") {
    REQUIRE(limits.Merge(At(100), {Limited(2)}).reported.empty());
  }
  SECTION("an answer without a limit ends it") {
    REQUIRE(limits.Merge(At(100), {Unlimited()}).reported.size() == 1);
    REQUIRE_FALSE(limits.LimitOf(kEndpoint, BootNumber(1)));
    SECTION("which an older observation does not undo") {
      const auto news =
          limits.Merge(At(110), {Limited(2, Duration::Milliseconds(50))});
      REQUIRE(news.reported.empty());
      REQUIRE(news.contradicting.size() == 1);
      REQUIRE_FALSE(news.contradicting[0].limited);
      REQUIRE_FALSE(limits.LimitOf(kEndpoint, BootNumber(1)));
    }
  }
  SECTION("it does not hold for the endpoint's next incarnation") {
    REQUIRE_FALSE(limits.LimitOf(kEndpoint, BootNumber(2)));
    limits.Merge(At(100), {Unlimited(Duration(), 2)});
    REQUIRE_FALSE(limits.LimitOf(kEndpoint, BootNumber(1)));
  }
  SECTION("a VM that is linked later learns it") {
    EndpointLimits other;
    other.Merge(At(5000), limits.Snapshot(At(5000)));
    REQUIRE(other.LimitOf(kEndpoint, BootNumber(1)) == 2.0);
    SECTION("and keeps it until it knows the endpoint, or for a minute") {
      const auto none_known = [](const EndpointId&) { return false; };
      other.Forget(At(6000), none_known);
      REQUIRE(other.LimitOf(kEndpoint, BootNumber(1)) == 2.0);
      other.Forget(At(70'000), none_known);
      REQUIRE_FALSE(other.LimitOf(kEndpoint, BootNumber(1)));
    }
  }
}

// Guards against an endpoint in need that gets more requests than it takes.
TEST_CASE("An endpoint gets no more requests than it takes") {
  EndpointLimits limits;
  limits.Merge(At(0), {Limited(2)});
  const auto count = [](EndpointTracker& tracker, int64_t from, int64_t to) {
    int placed = 0;
    for (int64_t ms = from; ms < to; ms += 10) {
      placed += Place(tracker, At(ms)) ? 1 : 0;
    }
    return placed;
  };
  SECTION("from a dispatcher, which uses all of the limit") {
    EndpointTracker tracker = MakeTracker(1);
    limits.ApplyTo(At(0), tracker);
    const int placed = count(tracker, 0, 4000);
    REQUIRE(placed >= 8);
    REQUIRE(placed <= 12);
    SECTION("and all that it likes once the limit has ended") {
      limits.Merge(At(4000), {Unlimited()});
      limits.ApplyTo(At(4000), tracker);
      REQUIRE(count(tracker, 4000, 5000) == 100);
    }
    SECTION("and as many as before if the endpoint says the same again") {
      limits.Merge(At(4000), {Limited(2)});
      limits.ApplyTo(At(4000), tracker);
      REQUIRE(count(tracker, 4000, 8000) <= 9);
    }
  }
  SECTION("from dispatchers that take over from each other") {
    constexpr int kDispatchers = 8;
    constexpr int64_t kTermMs = 500;
    int placed = 0;
    for (int i = 0; i < kDispatchers; ++i) {
      EndpointTracker tracker = MakeTracker(1);
      limits.ApplyTo(At(0), tracker);
      tracker.RestartLimits(At(i * kTermMs));
      placed += count(tracker, i * kTermMs, (i + 1) * kTermMs);
    }
    REQUIRE(placed <= 9);
  }
  SECTION("from all VMs that place by themselves") {
    constexpr int kVms = 20;
    int placed = 0;
    for (int vm = 0; vm < kVms; ++vm) {
      EndpointTracker tracker = MakeTracker(0.25 / kVms);
      limits.ApplyTo(At(0), tracker);
      placed += count(tracker, 0, 4000);
    }
    REQUIRE(placed <= 2);
  }
  SECTION("and some although it takes none, to hear when it does") {
    EndpointTracker tracker = MakeTracker(1);
    limits.Merge(At(1), {Limited(0)});
    limits.ApplyTo(At(1), tracker);
    const int placed = count(tracker, 1, 10'000);
    REQUIRE(placed >= 1);
    REQUIRE(placed <= 4);
  }
  SECTION("and keeps room for those that matter more") {
    EndpointTracker tracker = MakeTracker(1);
    limits.ApplyTo(At(0), tracker);
    REQUIRE_FALSE(Place(tracker, At(10), 1));
    REQUIRE(Place(tracker, At(10)));
    REQUIRE(tracker.TimeUntilWithinLimit(At(10), kService) > Duration());
  }
}

//==============================================================================
// VMs that tell each other of an endpoint's limit, under faults

// Guards against VMs that go on with a limit which no longer holds.
TEST_CASE("VMs agree on a limit in any order of messages") {
  constexpr int kVms = 5;
  constexpr uint64_t kSeeds = 300;
  constexpr int64_t kChangesMs = 5000;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    struct Sent {
      size_t to = 0;
      int64_t sent_ms = 0;
      LimitObservation observation;
    };
    std::vector<EndpointLimits> vms(kVms);
    std::multimap<int64_t, Sent> messages;
    std::vector<bool> linked(kVms, true);
    uint64_t limit = 0;  // 0: none
    const auto send = [&](size_t from, size_t to, int64_t now,
                          const std::vector<LimitObservation>& observations) {
      if (from == to || !linked[from] || !linked[to]) return;
      for (const LimitObservation& observation : observations) {
        const auto delay = static_cast<int64_t>(1 + random.Below(80));
        messages.emplace(now + delay, Sent{to, now, observation});
      }
    };
    const auto send_to_all = [&](size_t from, int64_t now, const auto& all) {
      for (size_t to = 0; to < kVms; ++to) send(from, to, now, all);
    };
    for (int64_t ms = 0; ms < kChangesMs + 1000; ++ms) {
      while (!messages.empty() && messages.begin()->first <= ms) {
        Sent sent = messages.begin()->second;
        messages.erase(messages.begin());
        if (!linked[sent.to]) continue;
        const auto news = vms[sent.to].Merge(At(ms), {sent.observation});
        send_to_all(sent.to, ms, news.contradicting);
        if (sent.to == 0) send_to_all(sent.to, ms, news.reported);
      }
      if (ms < kChangesMs && random.Chance(0.002)) limit = random.Below(4);
      if (random.Chance(0.05)) {  // an answer of the endpoint
        const auto vm = static_cast<size_t>(random.Below(kVms));
        const auto news =
            vms[vm].Merge(At(ms), {limit > 0 ? Limited(limit) : Unlimited()});
        send_to_all(vm, ms, news.reported);
      }
      if (ms < kChangesMs && random.Chance(0.002)) {
        const auto vm = static_cast<size_t>(1 + random.Below(kVms - 1));
        linked[vm] = !linked[vm];
        if (linked[vm] && random.Chance(0.5)) vms[vm] = EndpointLimits();
        send(0, vm, ms, vms[0].Snapshot(At(ms)));
        send(vm, 0, ms, vms[vm].Snapshot(At(ms)));
      }
      if (ms == kChangesMs) {
        for (size_t vm = 1; vm < kVms; ++vm) {
          linked[vm] = true;
          send(0, vm, ms, vms[0].Snapshot(At(ms)));
          send(vm, 0, ms, vms[vm].Snapshot(At(ms)));
        }
      }
    }
    for (const EndpointLimits& vm : vms) {
      const auto known = vm.LimitOf(kEndpoint, BootNumber(1));
      REQUIRE(known.value_or(0) == static_cast<double>(limit));
    }
  }
}

}  // namespace
}  // namespace zr
