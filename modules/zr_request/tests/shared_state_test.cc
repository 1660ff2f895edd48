#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

#include "zr_request/zr_request.h"

namespace zr {
namespace {

const TimePoint kStart = TimePoint::FromMicroseconds(1'000'000'000);
const Fingerprint kFingerprint(7);

Suspect Report(int endpoint, uint64_t boot = 1) {
  return {kFingerprint, EndpointId("engine-" + std::to_string(endpoint)),
          BootNumber(boot), Duration()};
}

DomainId Domain(int i) { return DomainId("domain-" + std::to_string(i)); }

// Guards against a request that crashes one endpoint after the other, and
// against refusals of requests that did not crash any.
TEST_CASE("A request is a suspect after endpoint failures during its runs") {
  SuspectTable table;
  REQUIRE(table.OnFailure(kStart, Report(1), Domain(1)));
  REQUIRE(table.StatusOf(kStart, kFingerprint) == SuspectStatus::kRunAlone);
  SECTION("two reports of one failure count once") {
    REQUIRE_FALSE(table.OnFailure(kStart, Report(1), Domain(1)));
    REQUIRE(table.StatusOf(kStart, kFingerprint) == SuspectStatus::kRunAlone);
  }
  SECTION("a second failure refuses it for ten minutes") {
    table.OnFailure(kStart + Duration::Seconds(60), Report(1, 2), Domain(1));
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(599), kFingerprint) ==
            SuspectStatus::kRefuse);
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(601), kFingerprint) ==
            SuspectStatus::kRunAlone);
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(661), kFingerprint) ==
            SuspectStatus::kClear);
  }
  SECTION("a broken connection to an endpoint that is alive is no failure") {
    table.OnEndpointAlive(kStart + Duration::Seconds(2), EndpointId("engine-1"),
                          BootNumber(1));
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(2), kFingerprint) ==
            SuspectStatus::kClear);
    REQUIRE(table.WasCleared(kStart + Duration::Seconds(2), kFingerprint));
  }
  SECTION("a load report after a restart does not dismiss the failure") {
    table.OnEndpointAlive(kStart + Duration::Seconds(2), EndpointId("engine-1"),
                          BootNumber(2));
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(2), kFingerprint) ==
            SuspectStatus::kRunAlone);
  }
  SECTION("a planned stop is no failure") {
    table.OnPlannedStop(kStart, EndpointId("engine-1"), BootNumber(1));
    REQUIRE(table.StatusOf(kStart, kFingerprint) == SuspectStatus::kClear);
  }
  SECTION("a completed run clears earlier failures only") {
    table.OnRunCompleted(kStart + Duration::Seconds(1), kFingerprint);
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(1), kFingerprint) ==
            SuspectStatus::kClear);
    table.OnFailure(kStart + Duration::Seconds(2), Report(2), Domain(1));
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(2), kFingerprint) ==
            SuspectStatus::kRunAlone);
  }
  SECTION("the loss of a domain does not count against single runs in it") {
    for (int i = 2; i <= 3; ++i) {
      Suspect other = Report(i);
      other.fingerprint = Fingerprint(100 + static_cast<uint64_t>(i));
      table.OnFailure(kStart + Duration::Milliseconds(500), other, Domain(1));
    }
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(1), kFingerprint) ==
            SuspectStatus::kClear);
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(1), Fingerprint(102)) ==
            SuspectStatus::kClear);
  }
  SECTION(
      "a request on all endpoints of a lost domain runs alone and is not "
      "refused") {
    for (int i = 2; i <= 4; ++i) table.OnFailure(kStart, Report(i), Domain(1));
    REQUIRE(table.StatusOf(kStart, kFingerprint) == SuspectStatus::kRunAlone);
  }
  SECTION("many suspects with one failure do not evict a refused one") {
    table.OnFailure(kStart, Report(2), Domain(2));
    for (uint64_t i = 0; i < 5000; ++i) {
      const EndpointId endpoint("other-" + std::to_string(i));
      table.OnFailure(
          kStart + Duration::Seconds(5) * static_cast<int64_t>(i % 50),
          {Fingerprint(1000 + i), endpoint, BootNumber(1), Duration()},
          Domain(5));
    }
    REQUIRE(table.size() <= 4096);
    REQUIRE(table.StatusOf(kStart + Duration::Seconds(250), kFingerprint) ==
            SuspectStatus::kRefuse);
  }
}

// Guards against a suspect that runs at two VMs at once.
TEST_CASE("One VM at a time holds the lease to run a suspect") {
  SuspectTable table;
  table.OnFailure(kStart, Report(1), Domain(1));
  SuspectLeases leases(table);
  const VmId a("vm-a");
  const VmId b("vm-b");
  const SuspectLeaseRequest acquire_a{kFingerprint, RequestId("ra"), false,
                                      false, false};
  const SuspectLeaseRequest acquire_b{kFingerprint, RequestId("rb"), false,
                                      false, false};
  REQUIRE(leases.OnLeaseRequest(kStart, a, acquire_a).decision ==
          LeaseDecision::kGranted);
  REQUIRE(leases.OnLeaseRequest(kStart, b, acquire_b).decision ==
          LeaseDecision::kWait);
  SECTION("a repeated request gets the same answer") {
    REQUIRE(leases.OnLeaseRequest(kStart, a, acquire_a).decision ==
            LeaseDecision::kGranted);
  }
  SECTION("the lease expires without renewal") {
    const TimePoint later = kStart + Duration::Seconds(16);
    REQUIRE(leases.OnLeaseRequest(later, b, acquire_b).decision ==
            LeaseDecision::kGranted);
    SuspectLeaseRequest renewal = acquire_a;
    renewal.renewal = true;
    REQUIRE(leases.OnLeaseRequest(later, a, renewal).decision ==
            LeaseDecision::kWait);
  }
  SECTION("a second failure refuses the next request") {
    leases.OnLeaseRequest(kStart, a,
                          {kFingerprint, RequestId("ra"), false, true, false});
    table.OnFailure(kStart, Report(2), Domain(2));
    REQUIRE(leases.OnLeaseRequest(kStart, b, acquire_b).decision ==
            LeaseDecision::kRefused);
  }
  SECTION("a completed run clears the suspect for the next request") {
    leases.OnLeaseRequest(kStart, a,
                          {kFingerprint, RequestId("ra"), false, true, true});
    REQUIRE(leases.OnLeaseRequest(kStart, b, acquire_b).decision ==
            LeaseDecision::kClear);
  }
  SECTION("a new locator grants no lease until the holder can have renewed") {
    SuspectTable other_table;
    SuspectLeases other(other_table);
    other.OnViewChanged(kStart);
    REQUIRE(other.OnLeaseRequest(kStart + Duration::Seconds(1), b, acquire_b)
                .decision == LeaseDecision::kWait);
    SuspectLeaseRequest renewal = acquire_a;
    renewal.renewal = true;
    REQUIRE(other.OnLeaseRequest(kStart + Duration::Seconds(14), a, renewal)
                .decision == LeaseDecision::kGranted);
    REQUIRE(other.OnLeaseRequest(kStart + Duration::Seconds(16), b, acquire_b)
                .decision == LeaseDecision::kWait);
  }
}

/** Four VMs with their directories; messages are delivered at once. */
struct TestCluster {
  std::vector<VmId> vms;
  std::map<VmId, StreamDirectory> directories;
  TimePoint now = kStart;

  TestCluster() {
    for (const char* name : {"vm-a", "vm-b", "vm-c", "vm-d"}) {
      vms.emplace_back(name);
      directories.emplace(vms.back(), StreamDirectory(vms.back()));
    }
  }
  StreamSearch Search(const VmId& from, const StreamLookup& query,
                      const VmId& unreachable = VmId()) {
    StreamSearch search(query, vms);
    std::vector<OutgoingMessage> messages = search.Start(now);
    while (!messages.empty()) {
      const OutgoingMessage out = messages.back();
      messages.pop_back();
      auto more =
          out.to == unreachable
              ? search.OnVmUnreachable(now, unreachable)
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
  TestCluster cluster;
  const VmId a("vm-a");
  const VmId b("vm-b");
  StreamLookup query;
  query.request = RequestId("r");
  query.team = TeamId("team");
  query.fingerprint = kFingerprint;
  SECTION("while the first call awaits admission") {
    const StreamSearch first = cluster.Search(a, query);
    REQUIRE(first.ended());
    REQUIRE_FALSE(first.found());
    REQUIRE(first.certain());
    const StreamSearch second = cluster.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->holder == a);
  }
  SECTION("but a first call does not find itself") {
    // The directories may lack claims after a change of the view, so all VMs
    // are queried.
    for (auto& [vm, directory] : cluster.directories) {
      directory.OnViewChanged(kStart);
    }
    StreamLocation own;
    own.request = query.request;
    own.team = query.team;
    own.fingerprint = kFingerprint;
    cluster.directories.at(a).SetLocal(own);
    const StreamSearch first = cluster.Search(a, query);
    REQUIRE(first.ended());
    REQUIRE_FALSE(first.found());
    const StreamSearch second = cluster.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->holder == a);
  }
  SECTION("with another prompt it is a conflict") {
    cluster.Search(a, query);
    query.fingerprint = Fingerprint(8);
    const StreamSearch second = cluster.Search(b, query);
    REQUIRE(second.found());
    REQUIRE(second.found()->conflict);
  }
  SECTION("after its VM went down, from the owners' lists") {
    HeldGrant held;
    held.request = query.request;
    held.attempt = AttemptNumber(3);
    held.number = GrantNumber(9);
    held.owner = VmId("vm-c");
    held.fingerprint = kFingerprint;
    HeldGrant member = held;
    member.owner = VmId("vm-d");
    member.number = GrantNumber(4);
    member.gather_endpoint = EndpointId("engine-1");
    member.gather_stream = MakeStreamId(held);
    StreamDirectory& c = cluster.directories.at(VmId("vm-c"));
    StreamDirectory& d = cluster.directories.at(VmId("vm-d"));
    c.OnHeldGrants(kStart,
                   {{a, Incarnation(1), 1}, EndpointId("engine-1"), {held}});
    d.OnHeldGrants(kStart,
                   {{a, Incarnation(1), 1}, EndpointId("engine-2"), {member}});
    for (auto& [vm, directory] : cluster.directories) {
      directory.OnVmDown(a);
      directory.OnViewChanged(kStart);
    }
    const StreamSearch search = cluster.Search(b, query, a);
    REQUIRE(search.found());
    REQUIRE(search.found()->holder.empty());
    REQUIRE(search.found()->stream == MakeStreamId(held));
    REQUIRE(search.found()->endpoint == EndpointId("engine-1"));
    REQUIRE(search.found()->grants.size() == 2);
    REQUIRE(search.found()->grants.front().endpoint == EndpointId("engine-1"));
    SECTION("a released grant is not taken over") {
      GrantRelease release;
      release.request = query.request;
      release.endpoint = EndpointId("engine-2");
      release.number = GrantNumber(4);
      d.OnRelease(release);
      REQUIRE(cluster.Search(b, query, a).found()->grants.size() == 1);
    }
    SECTION("lists expire") {
      cluster.now = kStart + Duration::Seconds(20);
      REQUIRE_FALSE(cluster.Search(b, query, a).found());
    }
  }
}

// Guards against a match of a block that follows different text, and against
// unbounded messages.
TEST_CASE(
    "Prompts with a common beginning share the hashes of their common blocks") {
  const std::string common(2048, 'a');
  const PromptCost one =
      PromptCost::Estimate("m", common + std::string(1024, 'b'));
  const PromptCost two =
      PromptCost::Estimate("m", common + std::string(1024, 'c'));
  REQUIRE(one.tokens == TokenCount(768));
  REQUIRE(one.prefixes.size() == 3);
  REQUIRE(one.prefixes[1] == two.prefixes[1]);
  REQUIRE(one.prefixes[2] != two.prefixes[2]);
  REQUIRE(one.prefixes[0] != one.prefixes[1]);
  REQUIRE(PromptCost::Estimate("n", common).prefixes[0] != one.prefixes[0]);
  REQUIRE(
      PromptCost::Estimate("m", std::string(4'000'000, 'x')).prefixes.size() ==
      PromptCost::kMaxBlocks);
  REQUIRE(PromptCost::Estimate("m", common, TokenCount(1)).tokens ==
          TokenCount(128));
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
