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

/** Result of an admission check against a team's limits. */
struct LimitDecision {
  bool allowed = true;
  Duration retry_after;  // if not allowed: time until a retry may succeed
};

/**
 * Enforces this VM's share of the fleet-wide team limits. A limit is split in
 * proportion to demand, except for a small fraction that is split evenly, so
 * that a VM without previous demand can admit requests. The shares add up to
 * the limit once all VMs know the same demand.
 */
class TeamLimiter {
 public:
  TeamLimiter(VmId self, std::shared_ptr<const TeamPolicies> teams);

  void OnPolicies(std::shared_ptr<const TeamPolicies> teams) {
    teams_ = std::move(teams);
  }
  /** Demand from another live VM's heartbeat; may be empty. */
  void OnPeerDemand(const VmId& vm, const std::vector<TeamDemand>& demand);
  /** Drops the demand of a VM that is no longer live. */
  void OnVmDown(const VmId& vm) { others_.erase(vm); }
  /**
   * Returns this VM's demand for its heartbeat. Its shares follow the published
   * demand, so call this once per heartbeat.
   */
  std::vector<TeamDemand> PublishDemand(TimePoint now);

  /**
   * Takes tokens and KV tokens from a team's limits if both suffice.
   *
   * @param tokens  prompt and answer limit, charged to the rate limit
   * @param kv      KV tokens, returned by OnFinished
   */
  LimitDecision TryAdmit(TimePoint now, const TeamId& team, TokenCount tokens,
                         TokenCount kv);
  /** Returns the KV tokens of an admitted request and its unused tokens. */
  void OnFinished(TimePoint now, const TeamId& team, TokenCount kv,
                  TokenCount unused_tokens);

  /** This VM's share of the team's tokens per second; 0 if unlimited. */
  double RateShare(const TeamId& team) const;
  /** This VM's share of the team's KV tokens; 0 if unlimited. */
  TokenCount KvShare(const TeamId& team) const;

 private:
  struct TeamUsage {
    RateMeter offered;
    TokenCount kv_held;
    TokenCount refused_kv;  // largest recent refusal for lack of KV tokens
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
