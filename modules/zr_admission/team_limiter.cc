#include "zr_admission/team_limiter.h"

#include <algorithm>

namespace zr {
namespace {

// Fraction of each limit that is split evenly among the live VMs.
constexpr double kEvenFraction = 0.05;
// Bucket size, in seconds of the VM's rate share.
constexpr double kBurstSeconds = 2;
// A request refused for lack of KV tokens counts as demand for this long: a few
// heartbeats, so that the VM's share grows before the retry.
constexpr Duration kKvDemandLifetime = Duration::Seconds(2);
constexpr Duration kKvRetryDelay = Duration::Milliseconds(500);

}  // namespace

TeamLimiter::TeamLimiter(VmId self, std::shared_ptr<const TeamPolicies> teams)
    : self_(std::move(self)), teams_(std::move(teams)) {}

const TeamPolicy* TeamLimiter::Policy(const TeamId& team) const {
  if (!teams_) return nullptr;
  const auto it = teams_->find(team);
  return it == teams_->end() ? nullptr : &it->second;
}

void TeamLimiter::OnPeerDemand(const VmId& vm,
                               const std::vector<TeamDemand>& demand) {
  if (vm != self_) others_[vm] = demand;
}

std::vector<TeamDemand> TeamLimiter::PublishDemand(TimePoint now) {
  std::vector<TeamDemand> all;
  for (auto it = own_.begin(); it != own_.end();) {
    TeamUsage& team = it->second;
    if (now >= team.refused_kv_until) team.refused_kv = TokenCount(0);
    team.published.team = it->first;
    team.published.tokens_per_second =
        static_cast<int64_t>(team.offered.RateAt(now));
    team.published.kv_held = team.kv_held + team.refused_kv;
    const bool idle = team.published.tokens_per_second == 0 &&
                      team.published.kv_held == TokenCount(0) &&
                      Policy(it->first) == nullptr;
    if (!idle) all.push_back(team.published);
    it = idle ? own_.erase(it) : std::next(it);
  }
  return all;
}

double TeamLimiter::Share(const TeamId& team, double limit,
                          double (*demand_of)(const TeamDemand&)) const {
  double sum = 0;
  double own_demand = 0;
  if (const auto it = own_.find(team); it != own_.end()) {
    own_demand = std::max(0.0, demand_of(it->second.published));
    sum += own_demand;
  }
  for (const auto& [vm, demands] : others_) {
    for (const TeamDemand& demand : demands) {
      if (demand.team == team) sum += std::max(0.0, demand_of(demand));
    }
  }
  const auto vms = static_cast<double>(others_.size() + 1);
  if (sum <= 0) return limit / vms;
  return limit * (kEvenFraction / vms + (1 - kEvenFraction) * own_demand / sum);
}

double TeamLimiter::RateShare(const TeamId& team) const {
  const TeamPolicy* policy = Policy(team);
  if (policy == nullptr || policy->tokens_per_second <= 0) return 0;
  return Share(team, static_cast<double>(policy->tokens_per_second),
               [](const TeamDemand& demand) {
                 return static_cast<double>(demand.tokens_per_second);
               });
}

TokenCount TeamLimiter::KvShare(const TeamId& team) const {
  const TeamPolicy* policy = Policy(team);
  if (policy == nullptr || policy->kv_limit <= TokenCount(0)) {
    return TokenCount(0);
  }
  return TokenCount(static_cast<int64_t>(
      Share(team, static_cast<double>(policy->kv_limit.value()),
            [](const TeamDemand& demand) {
              return static_cast<double>(demand.kv_held.value());
            })));
}

LimitDecision TeamLimiter::TryAdmit(TimePoint now, const TeamId& team,
                                    TokenCount tokens, TokenCount kv) {
  const TeamPolicy* policy = Policy(team);
  TeamUsage& own = own_[team];
  const auto amount = static_cast<double>(std::max<int64_t>(0, tokens.value()));
  own.offered.Add(now, amount);
  if (policy != nullptr && policy->kv_limit > TokenCount(0) &&
      own.kv_held + kv > KvShare(team)) {
    own.refused_kv =
        now < own.refused_kv_until ? std::max(own.refused_kv, kv) : kv;
    own.refused_kv_until = now + kKvDemandLifetime;
    return LimitDecision{false, kKvRetryDelay};
  }
  if (const double rate = RateShare(team); rate > 0) {
    const double burst = rate * kBurstSeconds;
    if (!own.bucket_ready) own.bucket = TokenBucket(rate, burst);
    own.bucket_ready = true;
    // Refills the bucket at the previous rate before the rate changes.
    own.bucket.TryTake(now, 0);
    own.bucket.Configure(rate, burst);
    // A request larger than the bucket is allowed if the bucket is full, and
    // leaves a debt; otherwise a long prompt could never pass a small limit.
    const double taken = std::min(amount, burst);
    if (!own.bucket.TryTake(now, taken)) {
      return LimitDecision{false, own.bucket.TimeUntil(now, taken)};
    }
    own.bucket.Add(taken - amount);
  }
  own.kv_held += kv;
  return LimitDecision{};
}

void TeamLimiter::OnFinished(TimePoint /*now*/, const TeamId& team,
                             TokenCount kv, TokenCount unused_tokens) {
  const auto it = own_.find(team);
  if (it == own_.end()) return;
  TeamUsage& own = it->second;
  ZR_ASSERT(own.kv_held >= kv, "team returned more KV tokens than it held");
  own.kv_held = std::max(TokenCount(0), own.kv_held - kv);
  if (own.bucket_ready) {
    own.bucket.Add(
        static_cast<double>(std::max<int64_t>(0, unused_tokens.value())));
  }
}

}  // namespace zr
