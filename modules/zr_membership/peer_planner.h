#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_membership/cluster_view.h"

namespace zr {

/** A VM as the planner places it. */
struct PeerSite {
  VmId vm;
  DomainId domain;
  std::string region;
  friend auto operator<=>(const PeerSite&, const PeerSite&) = default;
};

struct PeerPlannerOptions {
  /** Up to this number of VMs, each VM links to every other. */
  size_t full_mesh_up_to = 32;
  /** Links in the VM's own domain, to the rest of its region, and to other
   * regions; even. */
  size_t in_domain = 12;
  size_t in_region = 4;
  size_t to_other_regions = 2;
};

/**
 * Which VMs to link to.
 *
 * Above the full mesh, the VMs of a domain, of a region and of the whole fleet
 * are each arranged in rings by hash, and a VM links to both neighbours in each
 * ring. VMs that know the same sites therefore plan the same links from both
 * ends, and a change of one VM changes few links. The rings of a region and of
 * the fleet alternate between domains and between regions.
 */
class PeerPlanner {
 public:
  explicit PeerPlanner(PeerPlannerOptions options = {}) : options_(options) {}

  /** Links of a VM among the given sites; `self` must be one of them. */
  std::set<VmId> LinksOf(const VmId& self,
                         const std::vector<PeerSite>& sites) const;

  /** Whether links are bounded, so that heartbeats need relays. */
  bool Bounded(const std::vector<PeerSite>& sites) const {
    return sites.size() > options_.full_mesh_up_to;
  }

  /** The sites of a view's live VMs. */
  static std::vector<PeerSite> SitesOf(const ClusterView& view);

 private:
  PeerPlannerOptions options_;
};

}  // namespace zr
