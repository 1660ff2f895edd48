#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

#include "zr_request/zr_request.h"

namespace zr {
namespace {

const TimePoint kStart = TimePoint::FromMicroseconds(1'000'000'000);
const Fingerprint kPrint(7);

Suspect DeathOf(int endpoint, uint64_t boot = 1) {
  return {kPrint, EndpointId("engine-" + std::to_string(endpoint)),
          BootNumber(boot), Duration()};
}

DomainId Domain(int i) { return DomainId("domain-" + std::to_string(i)); }

// Guards against a crashing request that takes down one endpoint after the
// other, and against innocent requests that are refused.
TEST_CASE("A suspect is told by the endpoints that died with it") {
  SuspectTable table;
  REQUIRE(table.OnDeath(kStart, DeathOf(1), Domain(1)));
  REQUIRE(table.Verdict(kStart, kPrint) == SuspectVerdict::kRunAlone);
  SECTION("two reports of one death count once") {
    REQUIRE_FALSE(table.OnDeath(kStart, DeathOf(1), Domain(1)));
    REQUIRE(table.Verdict(kStart, kPrint) == SuspectVerdict::kRunAlone);
  }
  SECTION("a second death refuses it for ten minutes") {
    table.OnDeath(kStart + Duration::Seconds(60), DeathOf(1, 2), Domain(1));
    REQUIRE(table.Verdict(kStart + Duration::Seconds(599), kPrint) ==
            SuspectVerdict::kRefuse);
    REQUIRE(table.Verdict(kStart + Duration::Seconds(601), kPrint) ==
            SuspectVerdict::kRunAlone);
    REQUIRE(table.Verdict(kStart + Duration::Seconds(661), kPrint) ==
            SuspectVerdict::kClear);
  }
  SECTION("a broken connection to a living endpoint is no death") {
    table.OnEndpointAlive(kStart + Duration::Seconds(2), EndpointId("engine-1"),
                          BootNumber(1));
    REQUIRE(table.Verdict(kStart + Duration::Seconds(2), kPrint) ==
            SuspectVerdict::kClear);
    REQUIRE(table.Dismissed(kStart + Duration::Seconds(2), kPrint));
  }
  SECTION("a report from after a restart proves nothing") {
    table.OnEndpointAlive(kStart + Duration::Seconds(2), EndpointId("engine-1"),
                          BootNumber(2));
    REQUIRE(table.Verdict(kStart + Duration::Seconds(2), kPrint) ==
            SuspectVerdict::kRunAlone);
  }
  SECTION("a planned stop is no death") {
    table.OnPlannedStop(kStart, EndpointId("engine-1"), BootNumber(1));
    REQUIRE(table.Verdict(kStart, kPrint) == SuspectVerdict::kClear);
  }
  SECTION("a completed run clears earlier deaths only") {
    table.OnHarmless(kStart + Duration::Seconds(1), kPrint);
    REQUIRE(table.Verdict(kStart + Duration::Seconds(1), kPrint) ==
            SuspectVerdict::kClear);
    table.OnDeath(kStart + Duration::Seconds(2), DeathOf(2), Domain(1));
    REQUIRE(table.Verdict(kStart + Duration::Seconds(2), kPrint) ==
            SuspectVerdict::kRunAlone);
  }
  SECTION("the loss of a domain is not held against one run in it") {
    for (int i = 2; i <= 3; ++i) {
      Suspect other = DeathOf(i);
      other.fingerprint = Fingerprint(100 + static_cast<uint64_t>(i));
      table.OnDeath(kStart + Duration::Milliseconds(500), other, Domain(1));
    }
    REQUIRE(table.Verdict(kStart + Duration::Seconds(1), kPrint) ==
            SuspectVerdict::kClear);
    REQUIRE(table.Verdict(kStart + Duration::Seconds(1), Fingerprint(102)) ==
            SuspectVerdict::kClear);
  }
  SECTION(
      "a request on all endpoints of a lost domain runs alone and is not "
      "refused") {
    for (int i = 2; i <= 4; ++i) table.OnDeath(kStart, DeathOf(i), Domain(1));
    REQUIRE(table.Verdict(kStart, kPrint) == SuspectVerdict::kRunAlone);
  }
  SECTION("many innocent suspects do not displace a refused one") {
    table.OnDeath(kStart, DeathOf(2), Domain(2));
    for (uint64_t i = 0; i < 5000; ++i) {
      const EndpointId endpoint("other-" + std::to_string(i));
      table.OnDeath(
          kStart + Duration::Seconds(5) * static_cast<int64_t>(i % 50),
          {Fingerprint(1000 + i), endpoint, BootNumber(1), Duration()},
          Domain(5));
    }
    REQUIRE(table.size() <= 4096);
    REQUIRE(table.Verdict(kStart + Duration::Seconds(250), kPrint) ==
            SuspectVerdict::kRefuse);
  }
}

// Guards against a suspect that runs at two VMs at once.
TEST_CASE("One VM at a time has the right to run a suspect") {
  SuspectTable table;
  table.OnDeath(kStart, DeathOf(1), Domain(1));
  SuspectTurns turns(table);
  const VmId a("vm-a");
  const VmId b("vm-b");
  const SuspectLeaseRequest ask_a{kPrint, RequestId("ra"), false, false, false};
  const SuspectLeaseRequest ask_b{kPrint, RequestId("rb"), false, false, false};
  REQUIRE(turns.OnTurn(kStart, a, ask_a).decision == LeaseDecision::kGranted);
  REQUIRE(turns.OnTurn(kStart, b, ask_b).decision == LeaseDecision::kWait);
  SECTION("a repeated question gets the same answer") {
    REQUIRE(turns.OnTurn(kStart, a, ask_a).decision == LeaseDecision::kGranted);
  }
  SECTION("the right lapses without renewal") {
    const TimePoint later = kStart + Duration::Seconds(16);
    REQUIRE(turns.OnTurn(later, b, ask_b).decision == LeaseDecision::kGranted);
    SuspectLeaseRequest renewal = ask_a;
    renewal.renewal = true;
    REQUIRE(turns.OnTurn(later, a, renewal).decision == LeaseDecision::kWait);
  }
  SECTION("a second death refuses the next one") {
    turns.OnTurn(kStart, a, {kPrint, RequestId("ra"), false, true, false});
    table.OnDeath(kStart, DeathOf(2), Domain(2));
    REQUIRE(turns.OnTurn(kStart, b, ask_b).decision == LeaseDecision::kRefused);
  }
  SECTION("a completed run clears the next one") {
    turns.OnTurn(kStart, a, {kPrint, RequestId("ra"), false, true, true});
    REQUIRE(turns.OnTurn(kStart, b, ask_b).decision == LeaseDecision::kCleared);
  }
  SECTION("a new locator hands out nothing before it has heard of the holder") {
    SuspectTable other_table;
    SuspectTurns other(other_table);
    other.OnViewChanged(kStart);
    REQUIRE(other.OnTurn(kStart + Duration::Seconds(1), b, ask_b).decision ==
            LeaseDecision::kWait);
    SuspectLeaseRequest renewal = ask_a;
    renewal.renewal = true;
    REQUIRE(other.OnTurn(kStart + Duration::Seconds(14), a, renewal).decision ==
            LeaseDecision::kGranted);
    REQUIRE(other.OnTurn(kStart + Duration::Seconds(16), b, ask_b).decision ==
            LeaseDecision::kWait);
  }
}

/** Four VMs with their directories; messages are delivered at once. */
struct Fleet {
  std::vector<VmId> vms;
  std::map<VmId, StreamDirectory> directories;
  TimePoint now = kStart;

  Fleet() {
    for (const char* name : {"vm-a", "vm-b", "vm-c", "vm-d"}) {
      vms.emplace_back(name);
      directories.emplace(vms.back(), StreamDirectory(vms.back()));
    }
  }
  StreamSearch Search(const VmId& from, const StreamLookup& query,
                      const VmId& dead = VmId()) {
    StreamSearch search(query, vms);
    std::vector<OutgoingMessage> messages = search.Start(now);
    while (!messages.empty()) {
      const OutgoingMessage out = messages.back();
      messages.pop_back();
      auto more =
          out.to == dead
              ? search.OnVmUnreachable(now, dead)
              : search.OnLocation(
                    now, out.to,
                    directories.at(out.to).Find(
                        now, from, std::get<StreamLookup>(out.message)));
      messages.insert(messages.end(), more.begin(), more.end());
    }
    return search;
  }
};

// Guards against a second run of a request whose caller calls again, and
// against an answer that goes to another team's caller.
TEST_CASE("A repeated call finds the run of the first") {
  Fleet fleet;
  const VmId a("vm-a");
  const VmId b("vm-b");
  StreamLookup query;
  query.request = RequestId("r");
  query.team = TeamId("team");
  query.fingerprint = kPrint;
  SECTION("while the first is still admitted") {
    const StreamSearch first = fleet.Search(a, query);
    REQUIRE(first.ended());
    REQUIRE_FALSE(first.found());
    REQUIRE(first.certain());
    const StreamSearch second = fleet.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->holder == a);
  }
  SECTION("and a first call does not find itself") {
    // The directories may lack claims after a change of the view, so all VMs
    // are asked.
    for (auto& [vm, directory] : fleet.directories) {
      directory.OnViewChanged(kStart);
    }
    StreamLocation own;
    own.request = query.request;
    own.team = query.team;
    own.fingerprint = kPrint;
    fleet.directories.at(a).SetLocal(own);
    const StreamSearch first = fleet.Search(a, query);
    REQUIRE(first.ended());
    REQUIRE_FALSE(first.found());
    const StreamSearch second = fleet.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->holder == a);
  }
  SECTION("for another prompt it is a conflict") {
    fleet.Search(a, query);
    query.fingerprint = Fingerprint(8);
    const StreamSearch second = fleet.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->conflict);
  }
  SECTION("after its VM died, by the owners' lists") {
    HeldGrant held;
    held.request = query.request;
    held.attempt = AttemptNumber(3);
    held.number = GrantNumber(9);
    held.owner = VmId("vm-c");
    held.fingerprint = kPrint;
    HeldGrant member = held;
    member.owner = VmId("vm-d");
    member.number = GrantNumber(4);
    member.gather_endpoint = EndpointId("engine-1");
    member.gather_stream = MakeStreamId(held);
    StreamDirectory& c = fleet.directories.at(VmId("vm-c"));
    StreamDirectory& d = fleet.directories.at(VmId("vm-d"));
    c.OnHeldGrants(kStart,
                   {{a, Incarnation(1), 1}, EndpointId("engine-1"), {held}});
    d.OnHeldGrants(kStart,
                   {{a, Incarnation(1), 1}, EndpointId("engine-2"), {member}});
    for (auto& [vm, directory] : fleet.directories) {
      directory.OnVmDead(a);
      directory.OnViewChanged(kStart);
    }
    const StreamSearch search = fleet.Search(b, query, a);
    REQUIRE(search.found());
    REQUIRE(search.found()->holder.empty());
    REQUIRE(search.found()->stream == MakeStreamId(held));
    REQUIRE(search.found()->endpoint == EndpointId("engine-1"));
    REQUIRE(search.found()->grants.size() == 2);
    REQUIRE(search.found()->grants.front().endpoint == EndpointId("engine-1"));
    SECTION("a grant that was given back is not taken over") {
      GrantRelease release;
      release.request = query.request;
      release.endpoint = EndpointId("engine-2");
      release.number = GrantNumber(4);
      d.OnRelease(release);
      REQUIRE(fleet.Search(b, query, a).found()->grants.size() == 1);
    }
    SECTION("lists age") {
      fleet.now = kStart + Duration::Seconds(20);
      REQUIRE_FALSE(fleet.Search(b, query, a).found());
    }
  }
}

// Guards against a prefix that is recognised after other text, and against
// unbounded messages.
TEST_CASE("Prompts that begin alike share the hashes of their common blocks") {
  const std::string common(2048, 'a');
  const PromptCost one = PromptCost::Of("m", common + std::string(1024, 'b'));
  const PromptCost two = PromptCost::Of("m", common + std::string(1024, 'c'));
  REQUIRE(one.tokens == TokenCount(768));
  REQUIRE(one.prefixes.size() == 3);
  REQUIRE(one.prefixes[1] == two.prefixes[1]);
  REQUIRE(one.prefixes[2] != two.prefixes[2]);
  REQUIRE(one.prefixes[0] != one.prefixes[1]);
  REQUIRE(PromptCost::Of("n", common).prefixes[0] != one.prefixes[0]);
  REQUIRE(PromptCost::Of("m", std::string(4'000'000, 'x')).prefixes.size() ==
          PromptCost::kMaxBlocks);
  REQUIRE(PromptCost::Of("m", common, TokenCount(1)).tokens == TokenCount(128));
}

// Guards against retries that multiply the load of a failing pool.
TEST_CASE("Retries are bounded by a share of the successes") {
  RetryBudget budget(0.1, 0.5, 20);
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) allowed += budget.TryRetry(kStart);
  REQUIRE(allowed == 20);
  for (int i = 0; i < 100; ++i) budget.OnSuccess();
  for (int i = 0; i < 1000; ++i) {
    allowed += budget.TryRetry(kStart + Duration::Seconds(3));
  }
  REQUIRE(allowed == 31);
}

}  // namespace
}  // namespace zr
