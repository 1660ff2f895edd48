#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_membership/cluster_view.h"

namespace zr {

/** Location of a VM. */
struct PeerSite {
  VmId vm;
  DomainId domain;
  std::string region;
  friend auto operator<=>(const PeerSite&, const PeerSite&) = default;
};

struct PeerPlannerOptions {
  /** Up to this number of VMs, each VM links to every other. */
  size_t full_mesh_up_to = 32;
  /**
   * Number of links within the VM's own domain, within its region across
   * domains, and across regions; even.
   */
  size_t in_domain = 12;
  size_t in_region = 4;
  size_t to_other_regions = 2;
};

/**
 * Plans which VMs a VM links to.
 *
 * Above `full_mesh_up_to` VMs, the VMs of each domain, of each region and of
 * the whole fleet are arranged in rings by hash, and a VM links to both
 * neighbours in each ring. VMs that know the same sites therefore plan the same
 * links from both ends, and a change of one VM changes few links. The rings of
 * a region alternate between domains, and those of the fleet between regions.
 */
class PeerPlanner {
 public:
  explicit PeerPlanner(PeerPlannerOptions options = {}) : options_(options) {}

  /**
   * Returns the links of a VM among the given sites; `self` must be one of
   * them.
   */
  std::set<VmId> LinksOf(const VmId& self,
                         const std::vector<PeerSite>& sites) const;

  /**
   * Whether each VM links to a subset of the sites only, so that heartbeats
   * must be relayed.
   */
  bool IsPartialMesh(const std::vector<PeerSite>& sites) const {
    return sites.size() > options_.full_mesh_up_to;
  }

  /** Returns the sites of a view's live VMs. */
  static std::vector<PeerSite> SitesOf(const ClusterView& view);

 private:
  PeerPlannerOptions options_;
};

}  // namespace zr
