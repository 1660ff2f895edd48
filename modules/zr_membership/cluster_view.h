#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/** What one VM knows about an entry VM. */
struct VmView {
  VmId vm;
  Incarnation incarnation;
  DomainId domain;
  std::string region;
  std::string peer_address;  // "ip:port"
  uint32_t weight = 1;       // relative share of endpoints to own
  bool ready = false;
  bool leaving = false;         // announced by the VM or marked by the platform
  bool vm_drained = false;      // a drain names the VM
  bool domain_drained = false;  // a drain names the VM's domain
  ObjectVersion config_version;
  std::string config_digest;
  TimePoint
      last_seen;  // local time; for the VM itself the time of the snapshot
  TimePoint first_seen;  // of any incarnation since the VM was last forgotten
  friend auto operator<=>(const VmView&, const VmView&) = default;
};

/** Demand of a team, summed over live VMs. */
struct TeamTotal {
  int64_t tokens_per_second = 0;
  TokenCount kv_held;
  friend auto operator<=>(const TeamTotal&, const TeamTotal&) = default;
};

/** Offered load of a pool, summed over live VMs. */
struct PoolTotal {
  int64_t short_tokens_per_second = 0;
  int64_t long_tokens_per_second = 0;
  friend auto operator<=>(const PoolTotal&, const PoolTotal&) = default;
};

/** Immutable snapshot of the VMs as one VM sees them. */
struct ClusterView {
  VmId self;
  /** Rises when a VM appears, dies, or changes anything besides freshness and
   * demand. */
  uint64_t revision = 0;
  /**
   * False after the start and after a pause of this process until one
   * heartbeat round has passed; the live set may then be out of date.
   */
  bool settled = false;
  TimePoint taken_at;
  /** Start of this process or end of its last pause; silence before it says
   * nothing. */
  TimePoint listening_since;
  bool has_platform_list =
      false;  // a platform list that names this VM was received
  /**
   * Whether all VMs of the environment should be known: from a platform list,
   * or by listening for as long as silent VMs are remembered.
   */
  bool members_known = false;
  std::map<VmId, VmView> live;    // includes the VM itself
  std::map<VmId, VmView> silent;  // remembered, not live
  /** Addresses to link to, from the platform list and from heartbeats; without
   * self. */
  std::map<VmId, std::string> candidates;
  /** Members of the platform list that it does not mark as leaving; without
   * self. */
  std::map<VmId, DomainId> listed;
  std::map<TeamId, TeamTotal> team_demand;
  std::map<PoolId, PoolTotal> pool_demand;

  /** The entry of a live VM, or nullptr. */
  const VmView* FindLive(const VmId& vm) const;
};

/** Whether a VM may own endpoints, coordinate pools or locate requests. */
bool MayOwn(const VmView& vm);

}  // namespace zr
