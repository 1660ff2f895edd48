#include "zr_membership/membership.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

using Kind = MembershipEvent::Kind;

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

Membership MakeMembership(const std::string& name) {
  MembershipOptions options;
  options.self = VmId(name);
  options.domain = DomainId("d1");
  options.incarnation = Incarnation(100);
  return *Membership::Create(options);
}

Heartbeat HeartbeatFrom(const std::string& name, uint64_t incarnation,
                        uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.origin = {VmId(name), Incarnation(incarnation), sequence};
  heartbeat.domain = DomainId("d1");
  heartbeat.peer_address = "127.0.0.1:1";
  return heartbeat;
}

bool HasEvent(const std::vector<MembershipEvent>& events, Kind kind,
              const std::string& vm) {
  return std::any_of(events.begin(), events.end(),
                     [&](const MembershipEvent& event) {
                       return event.kind == kind && event.vm == VmId(vm);
                     });
}

bool IsLive(const Membership& membership, const std::string& vm) {
  return membership.View()->FindLive(VmId(vm)) != nullptr;
}

/** Ticks every 250 ms from `from` up to and including `to`. */
std::vector<MembershipEvent> TickUntil(Membership& membership, int64_t from,
                                       int64_t to) {
  std::vector<MembershipEvent> all;
  for (int64_t ms = from; ms <= to; ms += 250) {
    for (const auto& event : membership.OnTick(At(ms))) all.push_back(event);
  }
  return all;
}

// Guards against late or reordered heartbeats that restore an older state.
TEST_CASE("Membership tracks a peer") {
  Membership membership = MakeMembership("a");
  TickUntil(membership, 0, 1000);
  auto outcome =
      membership.OnHeartbeat(At(1000), HeartbeatFrom("b", 5, 10), VmId("b"));
  REQUIRE(HasEvent(outcome.events, Kind::kVmAppeared, "b"));
  REQUIRE(IsLive(membership, "b"));

  SECTION("and drops older sequences and incarnations") {
    for (const Heartbeat& old :
         {HeartbeatFrom("b", 5, 10), HeartbeatFrom("b", 5, 9),
          HeartbeatFrom("b", 4, 99)}) {
      REQUIRE(membership.OnHeartbeat(At(1100), old, VmId("b")).kind ==
              HeartbeatOutcome::Kind::kStale);
    }
    REQUIRE(membership.View()->FindLive(VmId("b"))->last_seen == At(1000));
  }
  SECTION("a restart is a failure and a return") {
    outcome =
        membership.OnHeartbeat(At(1100), HeartbeatFrom("b", 6, 1), VmId("b"));
    REQUIRE(outcome.events ==
            std::vector<MembershipEvent>{
                {Kind::kVmDown, VmId("b"), Incarnation(5)},
                {Kind::kVmReturned, VmId("b"), Incarnation(6)}});
  }
  SECTION(
      "a silent peer fails, and a late heartbeat of an old incarnation does "
      "not make it live") {
    REQUIRE(HasEvent(TickUntil(membership, 1250, 2750), Kind::kVmDown, "b"));
    REQUIRE_FALSE(IsLive(membership, "b"));
    membership.OnHeartbeat(At(2800), HeartbeatFrom("b", 4, 50), VmId("b"));
    REQUIRE_FALSE(IsLive(membership, "b"));
    REQUIRE(HasEvent(
        membership.OnHeartbeat(At(2900), HeartbeatFrom("b", 5, 11), VmId("b"))
            .events,
        Kind::kVmReturned, "b"));
  }
  SECTION("the platform list does not change which VMs are live") {
    membership.OnPlatformList(At(1100), {});
    REQUIRE(IsLive(membership, "b"));
    TickUntil(membership, 1250, 2750);
    membership.OnPlatformList(
        At(2800), {{VmId("b"), DomainId("d1"), "127.0.0.1:1", false}});
    REQUIRE_FALSE(IsLive(membership, "b"));
    REQUIRE(membership.View()->peer_addresses.contains(VmId("b")));
  }
  SECTION("the strictest leaving mark wins") {
    auto events = membership.OnPlatformList(
        At(1100), {{VmId("b"), DomainId("d1"), "", true}});
    REQUIRE(HasEvent(events, Kind::kVmLeaving, "b"));
    membership.OnHeartbeat(At(1200), HeartbeatFrom("b", 5, 11), VmId("b"));
    REQUIRE(membership.View()->FindLive(VmId("b"))->leaving);
    Heartbeat leaving = HeartbeatFrom("b", 5, 12);
    leaving.leaving = true;
    membership.OnHeartbeat(At(1250), leaving, VmId("b"));
    membership.OnPlatformList(At(1300),
                              {{VmId("b"), DomainId("d1"), "", false}});
    REQUIRE(membership.View()->FindLive(VmId("b"))->leaving);
  }
}

// Guards against a resumed process that considers all peers failed and takes
// over their endpoints.
TEST_CASE("A resumed process waits for heartbeats before it detects failures") {
  Membership membership = MakeMembership("a");
  TickUntil(membership, 0, 1000);
  membership.OnHeartbeat(At(1000), HeartbeatFrom("b", 5, 1), VmId("b"));
  membership.OnHeartbeat(At(1000), HeartbeatFrom("c", 5, 1), VmId("c"));

  SECTION("whether a tick or a buffered heartbeat comes first") {
    std::vector<MembershipEvent> events;
    SECTION("tick") { events = membership.OnTick(At(9000)); }
    SECTION("heartbeat") {
      events =
          membership.OnHeartbeat(At(9000), HeartbeatFrom("b", 5, 2), VmId("b"))
              .events;
    }
    REQUIRE(HasEvent(events, Kind::kSelfPaused, "a"));
    REQUIRE_FALSE(HasEvent(events, Kind::kVmDown, "c"));
    REQUIRE_FALSE(membership.View()->settled);
    membership.OnHeartbeat(At(9100), HeartbeatFrom("b", 5, 3), VmId("b"));
    REQUIRE_FALSE(HasEvent(membership.OnTick(At(9250)), Kind::kVmDown, "c"));
    events = membership.OnTick(At(9500));
    REQUIRE(HasEvent(events, Kind::kViewSettled, "a"));
    REQUIRE(HasEvent(events, Kind::kVmDown, "c"));
    REQUIRE(IsLive(membership, "b"));
  }
}

// Guards against heartbeats that circulate endlessly, or do not reach every VM,
// on a partial mesh.
TEST_CASE("Relays of heartbeats are limited") {
  Membership membership = MakeMembership("a");
  REQUIRE(membership.OnHeartbeat(At(0), HeartbeatFrom("b", 5, 1), VmId("b"))
              .relay_to.empty());
  membership.SetLinks(std::set<VmId>{VmId("b"), VmId("c"), VmId("d")});
  REQUIRE(membership.OnHeartbeat(At(1), HeartbeatFrom("b", 5, 2), VmId("c"))
              .relay_to == std::vector<VmId>{VmId("d")});
  REQUIRE(membership.OnHeartbeat(At(2), HeartbeatFrom("b", 5, 2), VmId("d"))
              .relay_to.empty());
  Heartbeat far = HeartbeatFrom("b", 5, 3);
  far.hops = membership.options().hop_limit;
  REQUIRE(membership.OnHeartbeat(At(3), far, VmId("c")).relay_to.empty());
}

}  // namespace
}  // namespace zr
