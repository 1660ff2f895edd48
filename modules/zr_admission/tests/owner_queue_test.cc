#include <algorithm>
#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace zr {
namespace {

// Guards against other requests that run on an endpoint while a suspect may
// crash it.
TEST_CASE("A suspect runs alone") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0));
  AdmissionRequest suspect = f.Request("suspect", 100, 50);
  suspect.run_alone = true;

  SECTION("after the running requests have ended, while others wait") {
    f.Submit(AtMs(10), f.Request("a", 100, 50));
    f.Submit(AtMs(40), suspect);
    f.Submit(AtMs(60), f.Request("b", 100, 50));
    REQUIRE_FALSE(f.Granted("b"));
    f.Release(AtMs(1'000), "a");
    REQUIRE(f.Granted("suspect"));
    REQUIRE_FALSE(f.Granted("b"));
    f.Release(AtMs(2'000), "suspect");
    REQUIRE(f.Granted("b"));
  }
  SECTION("but is refused if the endpoint takes too long to drain") {
    f.Submit(AtMs(10), f.Request("long", 100, 1'000));
    f.Submit(AtMs(40), suspect);
    REQUIRE(f.Refused("suspect") == RefusalReason::kBusy);
    f.Submit(AtMs(60), f.Request("b", 100, 50));
    REQUIRE(f.Granted("b"));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against new work on endpoints that are drained or about to be removed.
TEST_CASE("A drained or leaving endpoint gets no work") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), false, 1'000);
  f.Submit(AtMs(10), f.Request("a", 500, 400));
  f.Submit(AtMs(40), f.Request("waiting", 500, 400));
  SECTION("when drained") {
    f.last = f.owner->OnPolicy(AtMs(100), EndpointAdminState{true, false},
                               f.Policies());
  }
  SECTION("when leaving") {
    f.last = f.owner->OnPolicy(AtMs(100), EndpointAdminState{false, true},
                               f.Policies());
  }
  SECTION("when its load report says that it is leaving") {
    EngineLoad load = f.MakeLoad(1'000);
    load.leaving = true;
    f.last = f.owner->OnLoadReport(AtMs(100), load);
  }
  SECTION("when it is unreachable") {
    f.last = f.owner->OnEndpointUnreachable(AtMs(100));
  }
  REQUIRE(f.Refused("waiting") == RefusalReason::kNotAccepting);
  f.Submit(AtMs(200), f.Request("b", 10, 10));
  REQUIRE(f.Refused("b") == RefusalReason::kNotAccepting);
  f.Submit(AtMs(210), f.Request("a", 500, 400));
  REQUIRE_FALSE(f.Granted("a"));
  REQUIRE_FALSE(f.owner->MakeSummary(AtMs(300)).accepts_new);
  REQUIRE(f.owner->grants().size() == 1);
  REQUIRE(Invariants::Total() == 0);
}

// Guards against requests that wait in vain or start too late to finish.
TEST_CASE("Refusals of the queue") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), false, 1'000);
  f.Submit(AtMs(10), f.Request("a", 500, 400));
  SECTION("a request that must not queue gets the expected wait") {
    AdmissionRequest request = f.Request("b", 500, 400);
    request.queue_if_busy = false;
    f.Submit(AtMs(40), request);
    REQUIRE(f.Refused("b") == RefusalReason::kBusy);
    REQUIRE(f.Sent<Refusal>()[0].wait_hint > Duration::Seconds(5));
  }
  SECTION(
      "a request whose expected end is past its deadline is refused on "
      "arrival") {
    f.Submit(AtMs(40), f.Request("b", 500, 400, 9'000));
    REQUIRE(f.Refused("b") == RefusalReason::kDeadline);
    f.Submit(AtMs(50), f.Request("c", 500, 400, 1'000));
    REQUIRE(f.Refused("c") == RefusalReason::kDeadline);
  }
  SECTION("a queued request is refused once it can't finish in time") {
    f.Submit(AtMs(40), f.Request("b", 500, 400, 20'000));
    REQUIRE(f.Sent<Refusal>().empty());
    for (int64_t at = 500; at <= 11'500; at += 500) {
      f.ReportGrants(AtMs(at), "vm1", {f.Held("a")});
    }
    REQUIRE_FALSE(f.Refused("b"));
    f.Tick(AtMs(12'200));
    REQUIRE(f.Refused("b") == RefusalReason::kDeadline);
  }
  SECTION("a cancelled request is removed") {
    f.Submit(AtMs(40), f.Request("b", 500, 400));
    f.owner->OnCancel(
        AtMs(50), VmId("vm1"),
        CancelAdmission{RequestId("b"), AttemptNumber(1), EndpointId("e1")});
    f.Release(AtMs(1'000), "a");
    REQUIRE_FALSE(f.Granted("b"));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against teams or classes that starve others.
TEST_CASE("Order of the queue") {
  Invariants::Reset();
  OwnerFixture f;
  (*f.classes)[ClassId("audit")].weight = 10;
  f.pool.max_requests = 1;
  f.Start(AtMs(0));
  f.Submit(AtMs(10), f.Request("a", 100, 50, 600'000));
  auto queue = [&](const std::string& id, const char* team, const char* cls,
                   int64_t prompt) {
    AdmissionRequest request = f.Request(id, prompt, 50, 600'000);
    request.team = TeamId(team);
    request.request_class = ClassId(cls);
    f.Submit(AtMs(20), request);
  };
  std::vector<std::string> served;
  auto serve = [&](int count) {
    std::string running = "a";
    for (int i = 0; i < count; ++i) {
      f.Release(AtMs(100 * i + 100), running);
      const auto grants = f.Sent<Grant>();
      REQUIRE(grants.size() == 1);
      running = grants[0].request.value();
      served.push_back(running);
    }
  };
  SECTION("the class with the higher weight goes first") {
    queue("check", "t", "check", 100);
    queue("audit", "t", "audit", 100);
    serve(2);
    REQUIRE(served == std::vector<std::string>{"audit", "check"});
  }
  SECTION("a team that floods the queue does not delay another") {
    for (int i = 0; i < 20; ++i) {
      queue("f" + std::to_string(i), "flood", "check", 4'000);
    }
    for (int i = 0; i < 4; ++i) {
      queue("s" + std::to_string(i), "small", "check", 4'000);
    }
    serve(10);
    const auto small =
        std::count_if(served.begin(), served.end(),
                      [](const auto& id) { return id[0] == 's'; });
    REQUIRE(small == 4);
  }
  SECTION("teams are served in proportion to their shares") {
    (*f.teams)[TeamId("big")].share = 3;
    for (int i = 0; i < 30; ++i) {
      queue("b" + std::to_string(i), "big", "check", 4'046);
      queue("s" + std::to_string(i), "small", "check", 4'046);
    }
    serve(20);
    const auto big = std::count_if(served.begin(), served.end(),
                                   [](const auto& id) { return id[0] == 'b'; });
    REQUIRE(big >= 14);
    REQUIRE(big <= 16);
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against long prompts that starve because short requests keep taking
// the KV tokens that become free.
TEST_CASE("KV tokens are set aside for a long prompt") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0), false, 100'000);
  // "a" runs for about 25 s; the long prompt fits only after its end.
  f.Submit(AtMs(10), f.Request("a", 40'000, 1'000, 120'000));
  f.Submit(AtMs(40), f.Request("long", 80'000, 100, 120'000));
  REQUIRE_FALSE(f.Granted("long"));
  for (int64_t at = 500; at <= 8'000; at += 500) {
    f.ReportGrants(AtMs(at), "vm1", {f.Held("a")});
  }
  SECTION("requests that end before its expected start go ahead") {
    f.Submit(AtMs(8'100), f.Request("short", 500, 100));
    REQUIRE(f.Granted("short"));
  }
  SECTION("other requests wait") {
    f.Submit(AtMs(8'100), f.Request("middle", 20'000, 1'000, 120'000));
    REQUIRE_FALSE(f.Granted("middle"));
    f.Release(AtMs(9'000), "a");
    REQUIRE(f.Granted("long"));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against gather reservations that are never released.
TEST_CASE("A gather reservation at an owner") {
  Invariants::Reset();
  OwnerFixture f;
  f.Start(AtMs(0));
  const GatherReserve reserve{RequestId("g"), AttemptNumber(1),
                              EndpointId("e1"), TokenCount(60'000),
                              Duration::Seconds(5)};
  f.last = f.owner->OnGatherReserve(AtMs(100), VmId("coordinator"), reserve);
  f.ReplyWithList(AtMs(100));
  REQUIRE(f.Sent<GatherReply>()[0].reserved);
  const GrantNumber number = f.Sent<GatherReply>()[0].number;
  SECTION("expires unless a holder lists it") {
    f.Tick(AtMs(5'101));
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION(
      "stays while a holder lists it, even if the coordinator releases it") {
    f.ReportGrants(AtMs(2'000), "vm1", {f.Held("g")});
    f.owner->OnGatherRelease(AtMs(2'100), VmId("coordinator"),
                             GatherRelease{RequestId("g"), AttemptNumber(1),
                                           EndpointId("e1"), number});
    f.ReportGrants(AtMs(4'500), "vm1", {f.Held("g")});
    f.Tick(AtMs(7'000));
    REQUIRE(f.owner->grants().reserved() == TokenCount(60'000));
    f.Release(AtMs(7'100), "g");
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("is released when the gather fails") {
    f.owner->OnGatherRelease(AtMs(200), VmId("coordinator"),
                             GatherRelease{RequestId("g"), AttemptNumber(1),
                                           EndpointId("e1"), number});
    REQUIRE(f.owner->grants().reserved() == TokenCount(0));
  }
  SECTION("that does not fit delays requests that would take its KV tokens") {
    GatherReserve second = reserve;
    second.request = RequestId("h");
    second.kv_tokens = TokenCount(70'000);
    f.last = f.owner->OnGatherReserve(AtMs(200), VmId("coordinator"), second);
    REQUIRE_FALSE(f.Sent<GatherReply>()[0].reserved);
    f.Submit(AtMs(300), f.Request("big", 30'000, 1'000, 120'000));
    REQUIRE_FALSE(f.Granted("big"));
    f.Tick(AtMs(2'300));
    REQUIRE(f.Granted("big"));
  }
  REQUIRE(Invariants::Total() == 0);
}

// Guards against plain calls that are refused for lack of KV tokens.
TEST_CASE("Plain calls need a slot but no KV tokens") {
  Invariants::Reset();
  OwnerFixture f;
  f.pool.kind = PoolKind::kService;
  f.pool.max_requests = 2;
  f.Start(AtMs(0), false, 0);
  AdmissionRequest request = f.Request("a", 0, 0, 1'000);
  request.plain_service = true;
  f.Submit(AtMs(10), request);
  REQUIRE(f.Granted("a"));
  request.request = RequestId("b");
  f.Submit(AtMs(11), request);
  REQUIRE(f.Granted("b"));
  request.request = RequestId("c");
  f.Submit(AtMs(12), request);
  REQUIRE_FALSE(f.Granted("c"));
  f.Release(AtMs(30), "a");
  REQUIRE(f.Granted("c"));
  f.Tick(AtMs(3'100));
  REQUIRE(f.owner->grants().size() == 0);
  REQUIRE(Invariants::Total() == 0);
}

}  // namespace
}  // namespace zr
