#include "zr_membership/peer_planner.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace zr {
namespace {

/**
 * Arranges VMs in a ring that alternates between groups in proportion to their
 * sizes: each VM is placed at its rank's fraction of its group.
 */
std::vector<VmId> MakeRing(
    const std::map<std::string, std::vector<VmId>>& groups,
    const std::string& seed) {
  std::vector<std::tuple<double, uint64_t, VmId>> placed;
  for (const auto& [group, members] : groups) {
    std::vector<std::pair<uint64_t, VmId>> ranked;
    for (const VmId& vm : members) {
      ranked.emplace_back(HashFields({seed, vm.value()}), vm);
    }
    std::sort(ranked.begin(), ranked.end());
    for (size_t i = 0; i < ranked.size(); ++i) {
      const double position =
          (static_cast<double>(i) + 0.5) / static_cast<double>(ranked.size());
      placed.emplace_back(position, HashFields({seed, group}),
                          ranked[i].second);
    }
  }
  std::sort(placed.begin(), placed.end());
  std::vector<VmId> ring;
  ring.reserve(placed.size());
  for (auto& entry : placed) ring.push_back(std::move(std::get<VmId>(entry)));
  return ring;
}

void LinkInRings(const VmId& self,
                 const std::map<std::string, std::vector<VmId>>& groups,
                 const std::string& scope, size_t links,
                 std::set<VmId>& result) {
  for (size_t ring_number = 0; ring_number < links / 2; ++ring_number) {
    const std::vector<VmId> ring =
        MakeRing(groups, scope + std::to_string(ring_number));
    const auto at = std::find(ring.begin(), ring.end(), self);
    if (at == ring.end()) return;
    const size_t i = at - ring.begin();
    result.insert(ring[(i + 1) % ring.size()]);
    result.insert(ring[(i + ring.size() - 1) % ring.size()]);
  }
}

}  // namespace

std::set<VmId> PeerPlanner::LinksOf(const VmId& self,
                                    const std::vector<PeerSite>& sites) const {
  std::set<VmId> links;
  const auto own =
      std::find_if(sites.begin(), sites.end(),
                   [&](const PeerSite& site) { return site.vm == self; });
  ZR_ASSERT(own != sites.end(), "the planner's own VM is not among the sites");
  if (own == sites.end()) return links;
  if (!IsPartialMesh(sites)) {
    for (const PeerSite& site : sites) links.insert(site.vm);
    links.erase(self);
    return links;
  }
  std::map<std::string, std::vector<VmId>> domain;
  std::map<std::string, std::vector<VmId>> region;
  std::map<std::string, std::vector<VmId>> fleet;
  for (const PeerSite& site : sites) {
    if (site.domain == own->domain) domain[""].push_back(site.vm);
    if (site.region == own->region) {
      region[site.domain.value()].push_back(site.vm);
    }
    fleet[site.region].push_back(site.vm);
  }
  LinkInRings(self, domain, "domain", options_.in_domain, links);
  // A region of one domain needs no links besides those of the domain.
  if (region.size() > 1) {
    LinkInRings(self, region, "region", options_.in_region, links);
  }
  if (fleet.size() > 1) {
    LinkInRings(self, fleet, "fleet", options_.to_other_regions, links);
  }
  links.erase(self);
  return links;
}

std::vector<PeerSite> PeerPlanner::SitesOf(const ClusterView& view) {
  std::vector<PeerSite> sites;
  for (const auto& [id, vm] : view.live) {
    sites.push_back({id, vm.domain, vm.region});
  }
  return sites;
}

}  // namespace zr
