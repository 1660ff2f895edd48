#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace zr {
namespace {

// Guards against KV tokens that are reserved twice or stay reserved after the
// grant has ended.
TEST_CASE("An owner reserves KV tokens for each grant") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), false, 10'000);
  f.Submit(AtMs(10), f.Request("a", 5'000, 500));
  REQUIRE(f.Granted("a"));
  REQUIRE(f.Sent<Grant>().front().kv_tokens == TokenCount(5'500));
  REQUIRE(f.Sent<Grant>().front().start_within == kStartWithin);

  SECTION("and does not go beyond the capacity less its margin") {
    f.Submit(AtMs(20), f.Request("b", 4'200, 150));
    REQUIRE_FALSE(f.Granted("b"));
    SECTION("until KV tokens are released") {
      f.Release(AtMs(1'000), "a");
      REQUIRE(f.Granted("b"));
    }
  }
  SECTION("and counts foreign load against the capacity") {
    f.Load(AtMs(2'000), 10'000, 9'000, 3);
    f.Submit(AtMs(2'010), f.Request("b", 900, 100));
    REQUIRE_FALSE(f.Granted("b"));
    f.Load(AtMs(2'300), 10'000, 5'500, 1);
    REQUIRE(f.Granted("b"));
  }
  SECTION("and refuses what does not fit an empty engine") {
    f.Submit(AtMs(20), f.Request("b", 9'700, 150));
    REQUIRE(f.Refused("b") == RefusalReason::kTooLarge);
  }
  SECTION("and repeats a grant whose message was lost") {
    const GrantNumber number = f.Entry("a")->number;
    f.Submit(AtMs(900), f.Request("a", 5'000, 500));
    REQUIRE(f.Sent<Grant>().front().number == number);
    REQUIRE(f.owner->grants().reserved() == TokenCount(5'500));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against KV tokens that stay reserved after the holder has failed.
TEST_CASE("A grant that its holder does not list is reclaimed") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0));
  f.Submit(AtMs(10), f.Request("a", 5'000, 500));
  f.ReportGrants(AtMs(500), "vm1", {f.Held("a")});
  f.Tick(AtMs(3'400));
  f.reply_with_lists = false;
  REQUIRE(f.Actions<CancelEngineStream>().empty());

  f.Tick(AtMs(3'501));
  REQUIRE(f.Actions<CancelEngineStream>().size() == 1);
  REQUIRE(f.Actions<CancelEngineStream>().front().stream_id ==
          MakeStreamId(f.Held("a")));
  REQUIRE(f.owner->grants().reserved() == TokenCount(5'500));

  SECTION("and frees its KV tokens once the engine's list shows its end") {
    f.last =
        f.owner->OnStreamList(AtMs(3'800), EngineStreams{BootNumber(1), {}});
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
    SECTION("and a late list of its holder does not restore it") {
      HeldGrant held = f.Held("a");
      held.number = GrantNumber(1);
      held.owner = VmId("owner");
      f.ReportGrants(AtMs(4'000), "vm1", {held});
      REQUIRE(f.owner->grants().size() == 0);
      REQUIRE(f.Actions<CancelEngineStream>().size() == 1);
    }
  }
  SECTION(
      "and frees its KV tokens after the engine's unclaimed window at the "
      "latest") {
    f.Tick(AtMs(3'501 + 11'001));
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("and a late release frees it at once") {
    f.Release(AtMs(3'600), "a");
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against streams left over by a failed VM, and against cancelling a
// stream whose caller has reconnected through another VM.
TEST_CASE("The grants of a failed holder") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0));
  f.Submit(AtMs(10), f.Request("running", 500, 500));
  f.Submit(AtMs(40), f.Request("unused", 500, 500));
  f.ReportGrants(AtMs(500), "vm1",
                 {f.Held("running"), f.Held("unused", false)});
  f.last = f.owner->OnVmDown(AtMs(2'000), VmId("vm1"));
  f.reply_with_lists = false;
  f.owner->OnStreamList(
      AtMs(2'010),
      EngineStreams{BootNumber(1),
                    {EngineStream{"unused#1", EngineStreamKind::kStream,
                                  TokenCount(), 0, false}}});
  f.reply_with_lists = true;
  REQUIRE(f.Entry("unused")->state == GrantState::kCancelling);
  REQUIRE(f.Entry("running")->state == GrantState::kHeld);

  SECTION("are reclaimed if no VM lists them") {
    f.Tick(AtMs(3'501));
    REQUIRE(f.Entry("running") == nullptr);
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("move to the VM through which the caller reconnects") {
    REQUIRE(f.owner->FindStream(RequestId("running"))->holder == VmId("vm1"));
    f.ReportGrants(AtMs(2'500), "vm2", {f.Held("running")});
    f.Tick(AtMs(5'000));
    REQUIRE(f.owner->FindStream(RequestId("running"))->holder == VmId("vm2"));
    REQUIRE(f.owner->grants().reserved() == TokenCount(1'000));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against a new owner that overloads an endpoint because it doesn't know
// the grants of the previous owner.
TEST_CASE("A takeover") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), true);
  auto ask = [&](int64_t at, int count) {
    int granted = 0;
    for (int i = 0; i < count; ++i) {
      f.Submit(AtMs(at + i * 20),
               f.Request("r" + std::to_string(at + i), 100, 100));
      granted += static_cast<int>(f.Sent<Grant>().size());
    }
    return granted;
  };
  SECTION("grants at most half the limit of a fresh endpoint") {
    REQUIRE(ask(100, 6) == 2);
    SECTION("until a current report and the time for the lists have passed") {
      f.Load(AtMs(900), 100'000);
      f.Tick(AtMs(1'600));
      REQUIRE(f.owner->Snapshot().taking_over);
      f.Load(AtMs(1'700), 100'000);
      REQUIRE_FALSE(f.owner->Snapshot().taking_over);
      REQUIRE(f.owner->Snapshot().active_grants > 2);
    }
  }
  SECTION("counts the previous owner's grants that holders list") {
    HeldGrant held = f.Held("old");
    held.owner = VmId("before");
    held.number = GrantNumber(40);
    held.kv_tokens = TokenCount(97'500);
    f.ReportGrants(AtMs(300), "vm3", {held});
    REQUIRE(ask(400, 1) == 1);
    REQUIRE(f.owner->grants().reserved() == TokenCount(97'700));
    f.Submit(AtMs(500), f.Request("too much", 400, 100));
    REQUIRE_FALSE(f.Granted("too much"));
  }
  SECTION("cancels unclaimed streams, unless they make progress") {
    f.owner = nullptr;
    f.streams = {EngineStream{"lost#1", EngineStreamKind::kStream,
                              TokenCount(100), 5, false},
                 EngineStream{"read#1", EngineStreamKind::kStream,
                              TokenCount(100), 5, false},
                 EngineStream{"x", EngineStreamKind::kExport, TokenCount(100),
                              0, false}};
    f.Start(AtMs(0), true);
    std::vector<CancelEngineStream> cancels;
    for (int64_t at = 200; at < 14'000; at += 200) {
      f.streams[1].offset += 1;
      f.Tick(AtMs(at));
      for (auto& cancel : f.Actions<CancelEngineStream>()) {
        REQUIRE(at >= 10'000);
        cancels.push_back(cancel);
      }
    }
    auto named = [&](const char* id) {
      return std::any_of(
          cancels.begin(), cancels.end(),
          [&](const auto& cancel) { return cancel.stream_id == id; });
    };
    REQUIRE(named("lost#1"));
    REQUIRE(named("x"));
    REQUIRE_FALSE(named("read#1"));
  }
  SECTION("of a warm endpoint needs no slow start") {
    EndpointSummary summary;
    summary.boot = BootNumber(1);
    summary.warm = true;
    f.pool.warm_after_requests = 100;
    OwnerOptions options;
    options.self = VmId("owner");
    options.endpoint.endpoint = EndpointId("e1");
    options.endpoint.pool = f.pool.pool;
    options.policies = f.Policies();
    options.previous = summary;
    f.owner = EndpointOwner::Create(options, AtMs(0)).value();
    f.Load(AtMs(0), 1'000);
    REQUIRE(f.owner->Snapshot().own_limit == 16);
    f.Load(AtMs(500), 1'000, 0, 0, 2);
    REQUIRE(f.owner->Snapshot().own_limit == 2);
  }
  SECTION("starts after a pause of the process") {
    f.owner = nullptr;
    f.Start(AtMs(0));
    f.last = f.owner->OnSelfPaused(AtMs(5'000));
    REQUIRE(f.owner->Snapshot().taking_over);
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against overloading a fresh endpoint.
TEST_CASE("Slow start") {
  Invariants::Reset();
  OwnerFixture f;
  f.pool.warm_after_requests = 8;
  f.Start(AtMs(0));
  REQUIRE(f.owner->Snapshot().own_limit == 2);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "w" + std::to_string(i);
    f.Submit(AtMs(100 * i + 10), f.Request(id, 100, 10));
    REQUIRE(f.Granted(id));
    f.ReportGrants(AtMs(100 * i + 20), "vm1", {f.Held(id)});
    f.Release(AtMs(100 * i + 90), id);
  }
  REQUIRE(f.owner->Snapshot().own_limit == 16);

  SECTION("restarts after a new boot number, and the calls become suspects") {
    f.Submit(AtMs(1'000), f.Request("victim", 100, 10));
    f.ReportGrants(AtMs(1'100), "vm1", {f.Held("victim")});
    f.Load(AtMs(1'500), 100'000, 0, 0, 2);
    REQUIRE(f.owner->Snapshot().own_limit == 2);
    f.last =
        f.owner->OnStreamList(AtMs(1'700), EngineStreams{BootNumber(2), {}});
    const auto reports = f.Actions<ReportSuspects>();
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0].suspects[0].fingerprint ==
            Fingerprint(Hash64("victim")));
    REQUIRE(reports[0].suspects[0].boot == BootNumber(1));
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("restarts when the decode speed collapses") {
    f.Submit(AtMs(1'000), f.Request("a", 100, 1'000));
    for (int i = 0; i < 14; ++i) {
      f.ReportGrants(AtMs(2'500 + i * 500), "vm1", {f.Held("a")});
      EngineLoad load = f.MakeLoad(100'000, 1'100, 1);
      load.tokens_per_second = i < 10 ? 50 : 10;
      f.last = f.owner->OnLoadReport(AtMs(2'600 + i * 500), load);
    }
    REQUIRE(f.owner->Snapshot().own_limit == 2);
  }
  SECTION(
      "issues no grant while the boot number is unconfirmed after a broken "
      "connection") {
    f.Submit(AtMs(1'000), f.Request("a", 100, 10));
    f.reply_with_lists = false;
    f.Release(AtMs(1'200), "a", ReleaseOutcome::kEndpointFailed);
    f.Submit(AtMs(1'210), f.Request("b", 100, 10));
    REQUIRE_FALSE(f.Granted("b"));
    f.last =
        f.owner->OnStreamList(AtMs(1'300), EngineStreams{BootNumber(1), {}});
    REQUIRE(f.Granted("b"));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against stream ids that can't be parsed back from an engine's list.
TEST_CASE("Stream ids") {
  REQUIRE(MakeStreamId(RequestId("a#b"), AttemptNumber(12)) == "a#b#12");
  REQUIRE(ParseStreamId("a#b#12") ==
          StreamKey{RequestId("a#b"), AttemptNumber(12)});
  for (const char* id :
       {"", "#1", "a", "a#", "a#x", "a#1x", "a#99999999999999999999999"}) {
    REQUIRE_FALSE(ParseStreamId(id));
  }
}

}  // namespace
}  // namespace zr
