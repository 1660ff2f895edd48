#include "zr_admission/long_prompt_share.h"

#include <algorithm>
#include <cmath>

namespace zr {
namespace {

// Long prompts below this many tokens per second are ignored.
constexpr double kNegligibleRate = 1;
// Hysteresis of the number of endpoints.
constexpr double kHysteresis = 0.25;
// Target utilisation of the endpoints for long prompts. The remaining endpoints
// take short prompts: a split by share alone left one endpoint of 12 for 14
// short requests per second, and most of them ran beside long prompts.
constexpr double kLongUtilisation = 0.85;

}  // namespace

void LongPromptShare::OnOffered(TimePoint now, const PoolId& pool,
                                TokenCount tokens, bool long_prompt) {
  OfferedRates& offered = own_[pool];
  RateMeter& meter = long_prompt ? offered.long_tokens : offered.short_tokens;
  meter.Add(now, static_cast<double>(std::max<int64_t>(0, tokens.value())));
}

void LongPromptShare::OnPeerDemand(const VmId& vm,
                                   const std::vector<PoolDemand>& demand) {
  if (vm != self_) others_[vm] = demand;
}

std::vector<PoolDemand> LongPromptShare::OwnDemand(TimePoint now) const {
  std::vector<PoolDemand> demand;
  for (const auto& [pool, offered] : own_) {
    demand.push_back(
        PoolDemand{pool, static_cast<int64_t>(offered.short_tokens.RateAt(now)),
                   static_cast<int64_t>(offered.long_tokens.RateAt(now))});
  }
  return demand;
}

LongPromptShare::Rates LongPromptShare::RatesOf(TimePoint now,
                                                const PoolId& pool) const {
  double short_rate = 0;
  double long_rate = 0;
  if (const auto it = own_.find(pool); it != own_.end()) {
    short_rate += it->second.short_tokens.RateAt(now);
    long_rate += it->second.long_tokens.RateAt(now);
  }
  for (const auto& [vm, demands] : others_) {
    for (const PoolDemand& demand : demands) {
      if (demand.pool != pool) continue;
      short_rate += static_cast<double>(
          std::max<int64_t>(0, demand.short_tokens_per_second));
      long_rate += static_cast<double>(
          std::max<int64_t>(0, demand.long_tokens_per_second));
    }
  }
  return {short_rate, long_rate};
}

double LongPromptShare::ShareOf(TimePoint now, const PoolId& pool) const {
  const Rates rates = RatesOf(now, pool);
  if (rates.long_tokens < kNegligibleRate) return 0;
  return rates.long_tokens / (rates.short_tokens + rates.long_tokens);
}

int64_t LongPromptShare::LongPromptEndpoints(TimePoint now, const PoolId& pool,
                                             int64_t endpoints,
                                             int64_t tokens_per_second) {
  const double share = ShareOf(now, pool);
  int64_t& chosen = chosen_[pool];
  if (share <= 0 || endpoints <= 0) {
    chosen = 0;
    return chosen;
  }
  double target = share * static_cast<double>(endpoints);
  if (tokens_per_second > 0) {
    const double capacity =
        kLongUtilisation * static_cast<double>(tokens_per_second);
    target = std::min(target, RatesOf(now, pool).long_tokens / capacity);
  }
  const bool clear_change =
      target > static_cast<double>(chosen) + kHysteresis ||
      target < static_cast<double>(chosen) - 1 - kHysteresis;
  if (clear_change) {
    chosen = static_cast<int64_t>(std::ceil(target - kHysteresis));
  }
  chosen = std::clamp<int64_t>(chosen, 1, std::max<int64_t>(1, endpoints - 1));
  return chosen;
}

}  // namespace zr
