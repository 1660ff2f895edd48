#include "zr_gateway/fair_shares.h"

#include <cmath>

namespace zr {
namespace {

// Scaled values grow by a factor of 4,096 until they are rebased.
constexpr Duration kRebasePeriod = FairShares::kHalfLife * 12;

}  // namespace

double FairShares::Scale(TimePoint now) const {
  return std::exp2((now - reference_).seconds() / kHalfLife.seconds());
}

void FairShares::Rebase(TimePoint now) {
  const double factor = 1 / Scale(now);
  for (auto& [team, usage] : teams_) usage.scaled_ms *= factor;
  for (auto& [domain, usage] : domains_) usage.scaled_ms *= factor;
  reference_ = now;
}

void FairShares::Charge(TimePoint now, const TeamId& team,
                        const DomainId& domain, double engine_ms) {
  if (now - reference_ > kRebasePeriod) Rebase(now);
  const double scaled_ms = engine_ms * Scale(now);
  teams_[team].scaled_ms += scaled_ms;
  domains_[domain].scaled_ms += scaled_ms;
}

double FairShares::TeamMilliseconds(TimePoint now, const TeamId& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.scaled_ms / Scale(now);
}

}  // namespace zr
