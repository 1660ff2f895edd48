#include "zr_gateway/duty_rank.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zr {
namespace {

/** 0 below kMinDutyCores, then one more for each doubling. */
int SizeClass(double cores) {
  if (cores < kMinDutyCores) return 0;
  return 1 + static_cast<int>(std::floor(std::log2(cores / kMinDutyCores)));
}

}  // namespace

std::vector<VmId> RankForDuty(const std::string& duty, std::vector<VmId> vms,
                              size_t count, const VmCores& cores) {
  using Rank = std::pair<int, double>;
  std::vector<std::pair<Rank, VmId>> ranked;
  ranked.reserve(vms.size());
  for (VmId& vm : vms) {
    const auto announced = cores.find(vm);
    const int size =
        announced == cores.end() ? 0 : SizeClass(announced->second);
    const Rank rank{size, RendezvousScore(duty, vm.value())};
    ranked.emplace_back(rank, std::move(vm));
  }
  count = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<int64_t>(count),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<VmId> chosen;
  chosen.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    chosen.push_back(std::move(ranked[i].second));
  }
  return chosen;
}

}  // namespace zr
