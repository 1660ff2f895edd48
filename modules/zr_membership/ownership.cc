#include "zr_membership/ownership.h"

#include <algorithm>
#include <string>
#include <utility>

namespace zr {
namespace {

// Prefixes the name with its kind, so that keys of different kinds with the
// same name map to unrelated VMs.
std::string Key(std::string_view kind, std::string_view name) {
  return std::string(kind) + '/' + std::string(name);
}

double Score(const std::string& key, const VmView& vm) {
  return RendezvousScore(key, vm.vm.value(), vm.weight);
}

/**
 * The VM with the highest score among those that pass the filter; ties go to
 * the lower name.
 */
template <typename Filter>
std::optional<VmId> Best(const std::string& key, const ClusterView& view,
                         Filter filter) {
  const VmView* best = nullptr;
  double best_score = 0;
  for (const auto& [id, vm] : view.live) {
    if (!filter(vm)) continue;
    const double score = Score(key, vm);
    if (best == nullptr || score > best_score) {
      best = &vm;
      best_score = score;
    }
  }
  if (best == nullptr) return std::nullopt;
  return best->vm;
}

template <typename Filter>
std::vector<VmId> Ranked(const std::string& key, const ClusterView& view,
                         size_t count, Filter filter) {
  std::vector<std::pair<double, VmId>> scored;
  for (const auto& [id, vm] : view.live) {
    if (filter(vm)) scored.emplace_back(-Score(key, vm), id);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<VmId> ranked;
  for (size_t i = 0; i < std::min(count, scored.size()); ++i) {
    ranked.push_back(scored[i].second);
  }
  return ranked;
}

bool MayCoordinate(const VmView& vm) {
  return MayOwn(vm) && !vm.domain_drained;
}

}  // namespace

std::optional<VmId> OwnerOf(const EndpointInfo& endpoint,
                            const ClusterView& view) {
  const std::string key = Key("endpoint", endpoint.endpoint.value());
  const auto in_domain = [&](const VmView& vm) {
    return MayOwn(vm) && vm.domain == endpoint.domain;
  };
  const auto in_region = [&](const VmView& vm) {
    return MayCoordinate(vm) && vm.region == endpoint.region;
  };
  if (auto owner = Best(key, view, in_domain)) return owner;
  if (auto owner = Best(key, view, in_region)) return owner;
  return Best(key, view, MayCoordinate);
}

std::optional<VmId> CoordinatorOf(const PoolId& pool, const ClusterView& view) {
  return Best(Key("pool", pool.value()), view, MayCoordinate);
}

std::optional<VmId> LocatorOf(const RequestId& request,
                              const ClusterView& view) {
  return Best(Key("request", request.value()), view, MayCoordinate);
}

std::vector<VmId> WatchersOf(const DomainId& domain, const ClusterView& view,
                             size_t count) {
  return Ranked(
      Key("watch", domain.value()), view, count,
      [&](const VmView& vm) { return !vm.leaving && vm.domain == domain; });
}

std::vector<VmId> LeaseCandidates(const ClusterView& view, size_t count) {
  return Ranked(Key("lease", "placement"), view, count, MayCoordinate);
}

}  // namespace zr
