#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/** What one VM knows about an entry VM (itself or a peer). */
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
      last_seen;  // local time; in the VM's own entry, the time of the snapshot
  TimePoint first_seen;  // when this VM learned of it; kept over its restarts
                         // until it is forgotten
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

/** Immutable snapshot of the cluster as one VM sees it. */
struct ClusterView {
  VmId self;
  /**
   * Incremented when a VM appears, fails, or changes anything besides freshness
   * and demand.
   */
  uint64_t revision = 0;
  /**
   * False after the start and after a pause of this process until one heartbeat
   * round has passed; the live set may then be out of date.
   */
  bool settled = false;
  TimePoint taken_at;
  /**
   * Start of this process or end of its last pause. Missing heartbeats before
   * this time are no evidence that a peer failed.
   */
  TimePoint listening_since;
  bool has_platform_list =
      false;  // received a platform list that names this VM
  /**
   * Whether all VMs of the environment should be known: from a platform list,
   * or because this VM has received heartbeats for as long as silent VMs are
   * remembered.
   */
  bool members_known = false;
  std::map<VmId, VmView> live;    // includes the VM itself
  std::map<VmId, VmView> silent;  // not live, but not forgotten yet
  /**
   * Peer addresses from the platform list and from heartbeats; without this VM.
   */
  std::map<VmId, std::string> peer_addresses;
  /**
   * VMs on the platform list that it does not mark as leaving; without this VM.
   */
  std::map<VmId, DomainId> listed;
  std::map<TeamId, TeamTotal> team_demand;
  std::map<PoolId, PoolTotal> pool_demand;

  /** Returns the entry of a live VM, or nullptr. */
  const VmView* FindLive(const VmId& vm) const;
};

/** Whether a VM may own endpoints, coordinate pools or locate requests. */
bool MayOwn(const VmView& vm);

}  // namespace zr
