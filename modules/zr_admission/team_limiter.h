#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "zr_admission/owner_types.h"
#include "zr_admission/rate_meter.h"
#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** Whether a team's limits allow a request at this VM. */
struct LimitDecision {
  bool allowed = true;
  Duration retry_after;  // when a retry may succeed, if not allowed
};

/**
 * This VM's part of the fleet-wide team limits. A limit is split by demand; a
 * small part of it is split evenly, so that a VM without demand so far can
 * start. Once all VMs see the same demand, the parts sum up to the limit.
 */
class TeamLimiter {
 public:
  TeamLimiter(VmId self, std::shared_ptr<const TeamPolicies> teams);

  void OnPolicies(std::shared_ptr<const TeamPolicies> teams) {
    teams_ = std::move(teams);
  }
  /** Demand that another live VM tells in its heartbeat; may be empty. */
  void OnPeerDemand(const VmId& vm, const std::vector<TeamDemand>& demand);
  /** Forgets a VM that is no longer live. */
  void OnVmDown(const VmId& vm) { others_.erase(vm); }
  /**
   * This VM's demand, for its heartbeat. The parts of the limits follow the
   * demand as published, so call it once for each heartbeat.
   */
  std::vector<TeamDemand> PublishDemand(TimePoint now);

  /**
   * Takes tokens and memory of a team's limits, if they allow.
   *
   * @param tokens  prompt and answer bound
   * @param kv      memory, returned by OnFinished
   */
  LimitDecision TryAdmit(TimePoint now, const TeamId& team, TokenCount tokens,
                         TokenCount kv);
  /** Returns the memory of an admitted request, and the tokens it did not use.
   */
  void OnFinished(TimePoint now, const TeamId& team, TokenCount kv,
                  TokenCount unused_tokens);

  /** This VM's part of the team's tokens a second; 0 if the team has no limit.
   */
  double RateShare(const TeamId& team) const;
  /** This VM's part of the team's memory; 0 if the team has no limit. */
  TokenCount KvShare(const TeamId& team) const;

 private:
  struct TeamUsage {
    RateMeter offered;
    TokenCount kv_held;
    TokenCount refused_kv;  // largest request refused for memory of late
    TimePoint refused_kv_until;
    TokenBucket bucket{0, 0};
    bool bucket_ready = false;
    TeamDemand published;
  };

  const TeamPolicy* Policy(const TeamId& team) const;
  double Share(const TeamId& team, double limit,
               double (*demand_of)(const TeamDemand&)) const;

  VmId self_;
  std::shared_ptr<const TeamPolicies> teams_;
  std::map<TeamId, TeamUsage> own_;
  std::map<VmId, std::vector<TeamDemand>> others_;
};

}  // namespace zr
