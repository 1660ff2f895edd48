#include "zr_membership/ownership.h"

#include <catch2/catch.hpp>

#include "zr_membership/summary_table.h"

namespace zr {
namespace {

ClusterView ThreeDomains(int vms_each) {
  ClusterView view;
  for (const char* domain : {"d1", "d2", "d3"}) {
    for (int i = 0; i < vms_each; ++i) {
      VmView vm;
      vm.vm = VmId(std::string(domain) + "-" + std::to_string(i));
      vm.domain = DomainId(domain);
      vm.region = std::string(domain) == "d3" ? "far" : "near";
      vm.config_version = ObjectVersion(1);
      view.live[vm.vm] = vm;
    }
  }
  return view;
}

EndpointInfo Endpoint(int number, const std::string& domain) {
  EndpointInfo info;
  info.endpoint = EndpointId("e" + std::to_string(number));
  info.domain = DomainId(domain);
  info.region = "near";
  return info;
}

// Guards against ownership that moves without cause, and against work sent to
// leaving VMs.
TEST_CASE("Ownership") {
  ClusterView view = ThreeDomains(5);
  constexpr int kEndpoints = 2000;
  const auto owners = [&] {
    std::vector<VmId> all;
    all.reserve(kEndpoints);
    for (int i = 0; i < kEndpoints; ++i) {
      all.push_back(*OwnerOf(Endpoint(i, "d1"), view));
    }
    return all;
  };
  const std::vector<VmId> before = owners();

  SECTION("stays in the endpoint's domain and is spread by weight") {
    view.live[VmId("d1-0")].weight = 3;
    std::map<VmId, int> count;
    for (const VmId& owner : owners()) ++count[owner];
    REQUIRE(count.size() == 5);
    // 3 of 7 shares of 2000 are 857; the bound is more than 8 standard
    // deviations wide.
    REQUIRE(std::abs(count[VmId("d1-0")] - 857) < 180);
  }
  SECTION("moves only the keys of a VM that fails or leaves") {
    const VmId removed("d1-2");
    SECTION("fails") { view.live.erase(removed); }
    SECTION("leaves") { view.live[removed].leaving = true; }
    SECTION("is drained") { view.live[removed].vm_drained = true; }
    SECTION("has no configuration") {
      view.live[removed].config_version = ObjectVersion();
    }
    const std::vector<VmId> after = owners();
    for (int i = 0; i < kEndpoints; ++i) {
      REQUIRE(after[i] != removed);
      REQUIRE((before[i] == removed || after[i] == before[i]));
    }
  }
  SECTION("falls back to the region, then to any VM, never to a leaving one") {
    for (auto& [id, vm] : view.live) vm.leaving = vm.domain == DomainId("d1");
    for (const VmId& owner : owners()) {
      REQUIRE(view.live[owner].domain == DomainId("d2"));
    }
    for (auto& [id, vm] : view.live) vm.leaving = vm.domain != DomainId("d3");
    for (const VmId& owner : owners()) {
      REQUIRE(view.live[owner].domain == DomainId("d3"));
    }
    for (auto& [id, vm] : view.live) vm.leaving = true;
    REQUIRE_FALSE(OwnerOf(Endpoint(1, "d1"), view));
    REQUIRE_FALSE(CoordinatorOf(PoolId("p"), view));
  }
  SECTION("a drained domain keeps its own endpoints and gets no others") {
    for (auto& [id, vm] : view.live) {
      vm.domain_drained = vm.domain == DomainId("d1");
    }
    REQUIRE(owners() == before);
    for (auto& [id, vm] : view.live) vm.leaving = vm.domain == DomainId("d2");
    REQUIRE(view.live[*OwnerOf(Endpoint(1, "d2"), view)].domain ==
            DomainId("d3"));
    for (int i = 0; i < 200; ++i) {
      const std::string name = std::to_string(i);
      REQUIRE(view.live[*CoordinatorOf(PoolId(name), view)].domain !=
              DomainId("d1"));
      REQUIRE(view.live[*LocatorOf(RequestId(name), view)].domain !=
              DomainId("d1"));
    }
  }
}

// Guards against stale summaries that hide an endpoint's current state after a
// change of owner.
TEST_CASE("Summaries from two VMs that claim an endpoint") {
  SummaryTable table(Duration::Seconds(3));
  const auto summary = [](const std::string& owner, uint64_t incarnation,
                          uint64_t sequence) {
    EndpointSummary s;
    s.endpoint = EndpointId("e1");
    s.pool = PoolId("p");
    s.owner = VmId(owner);
    s.owner_incarnation = Incarnation(incarnation);
    s.sequence = sequence;
    s.accepts_new = true;
    return s;
  };
  const auto owner_a = [](const EndpointId&) {
    return std::optional(VmId("a"));
  };
  const auto at = [](int64_t ms) {
    return TimePoint::FromMicroseconds(ms * 1000);
  };
  REQUIRE(table.OnSummary(at(0), summary("a", 1, 7)));
  REQUIRE_FALSE(table.OnSummary(at(1), summary("a", 1, 7)));
  REQUIRE(table.OnSummary(at(2), summary("a", 2, 1)));
  REQUIRE_FALSE(table.OnSummary(at(3), summary("a", 1, 9)));
  REQUIRE(table.OnSummary(at(1000), summary("b", 1, 1)));

  SECTION("the owner in the view is preferred, then the newest") {
    REQUIRE(table.Find(at(1000), EndpointId("e1"), owner_a)->summary->owner ==
            VmId("a"));
    REQUIRE(table.Find(at(1000), EndpointId("e1"), nullptr)->summary->owner ==
            VmId("b"));
    REQUIRE(table.Candidates(at(1000), PoolId("p"), owner_a).size() == 1);
  }
  SECTION("expired summaries and those of failed owners are not used") {
    REQUIRE(table.Find(at(3500), EndpointId("e1"), owner_a)->summary->owner ==
            VmId("b"));
    table.OnVmDown(VmId("b"), Incarnation(1));
    REQUIRE_FALSE(table.Find(at(3500), EndpointId("e1"), owner_a));
    table.OnTick(at(3500));
    REQUIRE(table.size() == 0);
    REQUIRE(table.Candidates(at(3500), PoolId("p"), owner_a).empty());
  }
  SECTION("an endpoint that moved to another pool leaves the old one") {
    EndpointSummary moved = summary("a", 2, 2);
    moved.pool = PoolId("q");
    REQUIRE(table.OnSummary(at(1100), moved));
    REQUIRE(table.Candidates(at(1100), PoolId("p"), owner_a).empty());
    REQUIRE(table.Candidates(at(1100), PoolId("q"), owner_a).size() == 1);
  }
}

}  // namespace
}  // namespace zr
