#include "zr_membership/config_tracker.h"

#include <catch2/catch.hpp>

#include "zr_membership/in_force_report.h"

namespace zr {
namespace {

TimePoint At(double seconds) {
  return TimePoint::FromMicroseconds(static_cast<int64_t>(seconds * 1e6));
}

ConfigOffer Document(uint64_t version, const std::string& text = "ok") {
  return {ObjectVersion(version), "digest-of-" + text, text};
}

ConfigTracker MakeTracker() {
  ConfigTrackerOptions options;
  options.self = VmId("self");
  options.check = [](const ConfigOffer& offer) -> Result<void> {
    if (offer.digest == "digest-of-" + offer.document) return {};
    return Fail(ErrorCode::kInvalidArgument, "config", "",
                "digest does not match");
  };
  return ConfigTracker(std::move(options));
}

/**
 * A view with peers p0, p1, ...; the last heartbeats of the first `live_count`
 * arrived at `now`, those of the others at `earlier`.
 */
ClusterView Peers(int count, int live_count, TimePoint now, TimePoint earlier,
                  uint64_t version = 5) {
  ClusterView view;
  view.self = VmId("self");
  view.settled = true;
  view.members_known = true;
  for (int i = 0; i < count; ++i) {
    VmView vm;
    vm.vm = VmId("p" + std::to_string(i));
    vm.ready = true;
    vm.config_version = ObjectVersion(version);
    vm.config_digest = "digest-of-ok";
    vm.last_seen = i < live_count ? now : earlier;
    (i < live_count ? view.live : view.silent)[vm.vm] = vm;
  }
  return view;
}

// Guards against a return to an older document, and against one that was
// altered in transit.
TEST_CASE("Configuration versions never decrease") {
  Invariants::Reset();
  ConfigTracker tracker = MakeTracker();
  REQUIRE(tracker.Readiness(At(1)) == ConfigReadiness::kNoConfiguration);
  REQUIRE(tracker.OnOffer(At(1), VmId("p0"), Document(5)) ==
          OfferOutcome::kAdopted);
  REQUIRE(tracker.OnStoreRead(At(1), At(1), Document(4)) ==
          OfferOutcome::kOlder);
  REQUIRE(tracker.version() == ObjectVersion(5));
  REQUIRE(tracker.store_regressions() == 1);
  REQUIRE(tracker.Readiness(At(1)) == ConfigReadiness::kUnconfirmed);
  REQUIRE(tracker.OnOffer(At(1), VmId("p0"), Document(5, "other")) ==
          OfferOutcome::kConflict);
  REQUIRE(tracker.digest_conflicts() == 1);
  ConfigOffer altered = Document(6);
  altered.document += "x";
  REQUIRE(tracker.OnOffer(At(1), VmId("p0"), altered) ==
          OfferOutcome::kRejected);
  REQUIRE(tracker.OnStoreRead(At(2), At(2), Document(7)) ==
          OfferOutcome::kAdopted);
  tracker.OnStoreAbsent();
  REQUIRE(tracker.version() == ObjectVersion(7));
  REQUIRE(tracker.Readiness(At(2)) == ConfigReadiness::kReady);
  REQUIRE(Invariants::Count(Invariant::kConfigNoRevert) == 0);
}

// Guards against an isolated minority that keeps serving an old document.
TEST_CASE("Confirmation of the configuration version") {
  ConfigTracker tracker = MakeTracker();
  tracker.OnStoreRead(At(0), At(0), Document(5));
  tracker.OnView(At(0), Peers(9, 9, At(0), At(0)));
  const auto observe = [&](double s, int live_count, double earlier) {
    tracker.OnView(At(s), Peers(9, live_count, At(s), At(earlier)));
    return tracker.Readiness(At(s));
  };
  for (double s = 1; s <= 700; s += 1) observe(s, 9, s);

  SECTION("a store read confirms for six seconds after it was sent") {
    REQUIRE(observe(720, 0, 700) == ConfigReadiness::kUnconfirmed);
    tracker.OnStoreRead(At(720), At(713), Document(5));
    REQUIRE(tracker.Readiness(At(720)) == ConfigReadiness::kUnconfirmed);
    tracker.OnStoreRead(At(720), At(715), Document(5));
    REQUIRE(tracker.Readiness(At(721)) == ConfigReadiness::kReady);
    REQUIRE(tracker.Readiness(At(721.1)) == ConfigReadiness::kUnconfirmed);
  }
  SECTION("more than half of the known peers must confirm") {
    REQUIRE(observe(720, 5, 700) == ConfigReadiness::kReady);
    REQUIRE(observe(721, 4, 700) == ConfigReadiness::kUnconfirmed);
  }
  SECTION("a minority does not become a majority by forgetting the others") {
    for (double s = 701; s < 2000; s += 1) observe(s, 4, 700);
    tracker.OnView(At(2000), Peers(4, 4, At(2000), At(0)));
    REQUIRE(tracker.Readiness(At(2000)) == ConfigReadiness::kUnconfirmed);
  }
  SECTION("VMs that start inside a minority do not make it a majority") {
    for (const char* joiner : {"x1", "x2", "x3"}) {
      VmView vm;
      vm.vm = VmId(joiner);
      vm.last_seen = At(720);
      ClusterView view = Peers(9, 4, At(720), At(700));
      view.live[vm.vm] = vm;
      tracker.OnView(At(720), view);
    }
    REQUIRE(tracker.Readiness(At(720)) == ConfigReadiness::kUnconfirmed);
  }
  SECTION("a restarted peer confirms only after it was ready again") {
    ClusterView view = Peers(9, 9, At(720), At(720));
    for (const char* name : {"p0", "p1", "p2", "p3", "p4"}) {
      view.live[VmId(name)].incarnation = Incarnation(2);
      view.live[VmId(name)].ready = false;
    }
    tracker.OnView(At(720), view);
    REQUIRE(tracker.Readiness(At(720)) == ConfigReadiness::kUnconfirmed);
  }
  SECTION(
      "a VM that starts without store and platform list waits, then relies on "
      "ready peers") {
    ConfigTracker new_tracker = MakeTracker();
    new_tracker.OnOffer(At(1), VmId("p0"), Document(5));
    const auto observe_ready = [&](double s, bool ready) {
      ClusterView view = Peers(9, 9, At(s), At(s));
      for (auto& [id, vm] : view.live) vm.ready = ready;
      new_tracker.OnView(At(s), view);
      return new_tracker.Readiness(At(s));
    };
    REQUIRE(observe_ready(3, true) == ConfigReadiness::kUnconfirmed);
    REQUIRE(observe_ready(7, true) == ConfigReadiness::kReady);
    REQUIRE(observe_ready(8.5, false) == ConfigReadiness::kUnconfirmed);
  }
  SECTION("heartbeats buffered during a pause do not confirm") {
    tracker.OnSelfPaused(At(730));
    REQUIRE(observe(730.1, 9, 700) == ConfigReadiness::kUnconfirmed);
    REQUIRE(observe(730.6, 9, 700) == ConfigReadiness::kReady);
  }
  SECTION(
      "a newer version that cannot be fetched ends readiness after the grace "
      "period") {
    tracker.OnView(At(701), Peers(9, 9, At(701), At(701), 6));
    REQUIRE(tracker.Readiness(At(702)) == ConfigReadiness::kReady);
    const auto actions = tracker.OnTick(At(701));
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].kind == ConfigAction::Kind::kFetchFromPeer);
    tracker.OnView(At(704), Peers(9, 9, At(704), At(704), 6));
    REQUIRE(tracker.Readiness(At(704)) == ConfigReadiness::kLagging);
    REQUIRE(tracker.OnOffer(At(704), VmId("p1"), Document(6)) ==
            OfferOutcome::kAdopted);
    REQUIRE(tracker.Readiness(At(704)) == ConfigReadiness::kReady);
  }
}

// Guards against a version that is reported as accepted while a VM still serves
// an older one.
TEST_CASE("In-force report") {
  const auto report = [](const ClusterView& view) {
    return MakeInForceReport(At(20), ObjectVersion(5), "digest-of-ok", view);
  };
  using State = InForceReport::State;
  REQUIRE(report(Peers(9, 9, At(20), At(0))).state == State::kAccepted);

  ClusterView view = Peers(9, 9, At(20), At(0));
  view.live[VmId("p3")].config_version = ObjectVersion(4);
  REQUIRE(report(view).lagging == std::vector<VmId>{VmId("p3")});
  REQUIRE(report(view).state == State::kWrittenNotInForceYet);
  view.live[VmId("p3")].last_seen = At(13);
  REQUIRE(report(view).state == State::kAccepted);
  REQUIRE(report(view).silent == std::vector<VmId>{VmId("p3")});

  SECTION(
      "heartbeats missed before this VM started do not make a peer silent") {
    view.listening_since = At(15);
    REQUIRE(report(view).lagging == std::vector<VmId>{VmId("p3")});
  }
  SECTION("half or more silent VMs could confirm one another") {
    view = Peers(9, 5, At(20), At(10), 4);
    for (auto& [id, vm] : view.live) vm.config_version = ObjectVersion(5);
    REQUIRE(report(view).state == State::kAccepted);
    SECTION("one more is silent") {
      view.silent[VmId("p9")].last_seen = At(10);
    }
    SECTION("a live one is leaving") { view.live[VmId("p0")].leaving = true; }
    REQUIRE(report(view).state == State::kWrittenNotInForceYet);
  }
  SECTION("a listed VM that never sent a heartbeat counts") {
    view.listening_since = At(18);
    view.listed[VmId("new")] = DomainId("d");
    REQUIRE(report(view).state == State::kWrittenNotInForceYet);
  }
  SECTION("the same version with another digest is not in force") {
    view.live[VmId("p4")].config_digest = "digest-of-other";
    REQUIRE(report(view).state == State::kWrittenNotInForceYet);
  }
}

}  // namespace
}  // namespace zr
