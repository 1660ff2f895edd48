#include "zr_membership/peer_planner.h"

#include <catch2/catch.hpp>
#include <deque>
#include <iostream>

#include "zr_wire/cbor_codec.h"

namespace zr {
namespace {

/** 9 domains in 4 regions, as in the target fleet. */
std::vector<PeerSite> Fleet(int vms) {
  static const char* const kRegions[] = {"r1", "r1", "r1", "r2", "r2",
                                         "r3", "r3", "r4", "r4"};
  std::vector<PeerSite> sites;
  sites.reserve(vms);
  for (int i = 0; i < vms; ++i) {
    sites.push_back({VmId("entry-" + std::to_string(i)),
                     DomainId("d" + std::to_string(i % 9)), kRegions[i % 9]});
  }
  return sites;
}

using Graph = std::map<VmId, std::set<VmId>>;

Graph Plan(const std::vector<PeerSite>& sites) {
  Graph graph;
  for (const PeerSite& site : sites) {
    graph[site.vm] = PeerPlanner().LinksOf(site.vm, sites);
  }
  return graph;
}

size_t CountReachable(const Graph& graph, const std::set<VmId>& without) {
  std::set<VmId> seen;
  std::deque<VmId> queue;
  for (const auto& [vm, links] : graph) {
    if (without.contains(vm)) continue;
    seen.insert(vm);
    queue.push_back(vm);
    break;
  }
  for (; !queue.empty(); queue.pop_front()) {
    for (const VmId& link : graph.at(queue.front())) {
      if (!without.contains(link) && seen.insert(link).second) {
        queue.push_back(link);
      }
    }
  }
  return seen.size();
}

// Guards against a mesh that a domain failure disconnects, and against links
// that only one end plans.
TEST_CASE("Planned links") {
  for (const int vms : {1, 2, 18, 32, 33, 60, 120, 420}) {
    INFO(vms << " VMs");
    const std::vector<PeerSite> sites = Fleet(vms);
    const Graph graph = Plan(sites);
    for (const auto& [vm, links] : graph) {
      REQUIRE_FALSE(links.contains(vm));
      REQUIRE(links.size() <= (vms > 32 ? 18U : 31U));
      for (const VmId& link : links) REQUIRE(graph.at(link).contains(vm));
    }
    REQUIRE(CountReachable(graph, {}) == sites.size());
    for (int domain = 0; domain < 9 && vms >= 18; ++domain) {
      std::set<VmId> failed;
      for (const PeerSite& site : sites) {
        if (site.domain == DomainId("d" + std::to_string(domain))) {
          failed.insert(site.vm);
        }
      }
      REQUIRE(CountReachable(graph, failed) == sites.size() - failed.size());
    }
  }
}

/**
 * Returns the number of messages that each VM sends if one heartbeat of every
 * VM is relayed to all VMs within a hop limit.
 */
std::map<VmId, size_t> CountFlood(const Graph& graph, uint32_t hop_limit) {
  std::map<VmId, size_t> sent;
  for (const auto& [origin, links] : graph) {
    std::set<VmId> seen = {origin};
    std::deque<std::tuple<VmId, VmId, uint32_t>> queue = {{origin, origin, 0}};
    for (; !queue.empty(); queue.pop_front()) {
      const auto [vm, from, hops] = queue.front();
      if (hops > hop_limit) continue;
      for (const VmId& link : graph.at(vm)) {
        if (link == from || link == origin) continue;
        ++sent[vm];
        if (seen.insert(link).second) queue.emplace_back(link, vm, hops + 1);
      }
    }
  }
  return sent;
}

// Guards against documented figures that no run produces; prints bytes/s of
// heartbeats per VM.
TEST_CASE("Control traffic of heartbeats by fleet size", "[figures]") {
  Heartbeat heartbeat;
  heartbeat.origin = {VmId("entry-400"), Incarnation(1'700'000'000'000'000),
                      345'600};
  heartbeat.domain = DomainId("d4");
  heartbeat.region = "r2";
  heartbeat.peer_address = "10.20.30.40:7000";
  heartbeat.config_version = ObjectVersion(1'000'000);
  heartbeat.config_digest = std::string(64, 'a');
  constexpr size_t kFrameHeader = 8;  // websocket, masked
  const size_t bytes = EncodeMessage(heartbeat).size() + kFrameHeader;
  for (const int vms : {18, 60, 120, 420}) {
    const Graph graph = Plan(Fleet(vms));
    size_t links = 0;
    for (const auto& [vm, peers] : graph) links += peers.size();
    size_t flooded = 0;
    if (vms <= 32) {
      flooded = links;
    } else {
      for (const auto& [vm, count] : CountFlood(graph, 6)) flooded += count;
    }
    std::cout << "membership: " << vms << " VMs, " << links / vms << " links, "
              << bytes << " bytes a heartbeat, every 250 ms: links only "
              << links * bytes * 4 / vms << " bytes/s, relayed to all "
              << flooded * bytes * 4 / vms << " bytes/s\n";
    REQUIRE(flooded >= static_cast<size_t>(vms) * (vms - 1));
  }
}

}  // namespace
}  // namespace zr
