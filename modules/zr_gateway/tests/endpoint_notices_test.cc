#include "zr_gateway/endpoint_notices.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

const EndpointId kEndpoint("e-1");
const ServiceName kService("plain");

TimePoint At(int64_t ms) {
  return TimePoint() + Duration::Seconds(100) + Duration::Milliseconds(ms);
}

EndpointNotice Leaving(uint64_t boot) {
  return {kEndpoint, BootNumber(boot), true, Duration()};
}

EndpointNotice Pause(uint64_t boot, int64_t ms) {
  return {kEndpoint, BootNumber(boot), false, Duration::Milliseconds(ms)};
}

// Guards against requests that reach an endpoint after it has said in an answer
// to any VM that it leaves or wants a pause.
TEST_CASE("Endpoints that leave or want a pause get no calls") {
  EndpointTracker tracker;
  ListedEndpoint listed;
  listed.id = kEndpoint;
  listed.service = kService;
  listed.address = "10.0.0.1:1";
  listed.boot_ms = 1;
  tracker.Upsert(At(0), listed, 0);
  EndpointNotices notices;
  const auto available = [&](int64_t ms) {
    notices.ApplyTo(tracker);
    return !tracker.Available(At(ms), kService, {}).empty();
  };

  SECTION("one that leaves gets none until it starts again") {
    REQUIRE(notices.Merge(At(0), {Leaving(1)}).size() == 1);
    REQUIRE(notices.Merge(At(10), {Leaving(1)}).empty());
    REQUIRE_FALSE(available(60'000));
    REQUIRE_FALSE(tracker.MayCall(kEndpoint));
    listed.boot_ms = 2;
    tracker.Upsert(At(61'000), listed, 0);
    REQUIRE(available(61'000));
    REQUIRE(notices.Merge(At(62'000), {Pause(2, 500)}).size() == 1);
    REQUIRE(notices.Merge(At(62'000), {Leaving(1)}).empty());
    REQUIRE(available(62'600));
  }
  SECTION("one that wants a pause gets none before its end") {
    REQUIRE(notices.Merge(At(0), {Pause(1, 5000)}).size() == 1);
    REQUIRE(notices.Merge(At(100), {Pause(1, 5000)}).empty());
    REQUIRE_FALSE(available(4999));
    REQUIRE(tracker.MayCall(kEndpoint));
    REQUIRE(available(5000));
    SECTION("and a later answer may extend it") {
      REQUIRE(notices.Merge(At(4000), {Pause(1, 5000)}).size() == 1);
      REQUIRE_FALSE(available(8999));
    }
    SECTION("which other VMs are told until it is over") {
      EndpointNotices other;
      REQUIRE(other.Merge(At(2000), notices.Snapshot(At(2000))).size() == 1);
      const auto is_known = [](const EndpointId&) { return true; };
      notices.Forget(At(4999), is_known);
      REQUIRE(notices.Snapshot(At(4999)).size() == 1);
      notices.Forget(At(5000), is_known);
      REQUIRE(notices.Snapshot(At(5000)).empty());
    }
  }
  SECTION("a pause of hours is asked for again after half a minute") {
    REQUIRE(notices.Merge(At(0), {Pause(1, 7'200'000)}).size() == 1);
    REQUIRE_FALSE(available(29'999));
    REQUIRE(available(30'000));
  }
}

}  // namespace
}  // namespace zr
