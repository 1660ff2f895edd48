#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "zr_admission/zr_admission.h"
#include "zr_daemon/node_context.h"

namespace zr {

/** Thread-safe wrapper of the TeamLimiter. */
class TeamGate {
 public:
  explicit TeamGate(const NodeContext& context)
      : limiter_(context.settings.vm, std::make_shared<const TeamPolicies>()) {}
  TeamGate(const TeamGate&) = delete;
  TeamGate& operator=(const TeamGate&) = delete;

  void OnPolicies(std::shared_ptr<const TeamPolicies> teams) {
    std::lock_guard lock(mutex_);
    if (teams) limiter_.OnPolicies(std::move(teams));
  }
  void OnPeerDemand(const VmId& vm, const std::vector<TeamDemand>& demand) {
    std::lock_guard lock(mutex_);
    limiter_.OnPeerDemand(vm, demand);
  }
  void OnVmDown(const VmId& vm) {
    std::lock_guard lock(mutex_);
    limiter_.OnVmDown(vm);
  }
  std::vector<TeamDemand> PublishDemand() {
    std::lock_guard lock(mutex_);
    return limiter_.PublishDemand(SteadyNow());
  }
  /** @param tokens  prompt plus maximum answer; counted as work and as KV
   * memory */
  LimitDecision TryAdmit(const TeamId& team, TokenCount tokens) {
    std::lock_guard lock(mutex_);
    return limiter_.TryAdmit(SteadyNow(), team, tokens, tokens);
  }
  void OnFinished(const TeamId& team, TokenCount tokens) {
    std::lock_guard lock(mutex_);
    limiter_.OnFinished(SteadyNow(), team, tokens, TokenCount(0));
  }

 private:
  std::mutex mutex_;
  TeamLimiter limiter_;
};

}  // namespace zr
