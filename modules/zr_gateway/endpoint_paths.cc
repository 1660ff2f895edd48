#include "zr_gateway/endpoint_paths.h"

#include <algorithm>

namespace zr {

void EndpointPaths::OnConnected(TimePoint now, const ServiceName& service) {
  ServicePaths& paths = services_[service];
  if (paths.cut_off) return AddProbe(now, paths, true);
  paths.unreachable.clear();
}

void EndpointPaths::OnUnreachable(TimePoint now, const ServiceName& service,
                                  const EndpointId& endpoint, size_t active) {
  ServicePaths& paths = services_[service];
  if (paths.cut_off) return AddProbe(now, paths, false);
  paths.unreachable[endpoint] = now;
  std::erase_if(paths.unreachable, [now](const auto& failure) {
    return now - failure.second > kFailureMemory;
  });
  if (paths.unreachable.size() < std::min(kMinUnreachable, active)) return;
  paths.cut_off = true;
  paths.probes.clear();
  paths.next_probe = now + kProbePeriod;
}

void EndpointPaths::AddProbe(TimePoint now, ServicePaths& paths, bool reached) {
  paths.probes.push_back(reached);
  if (paths.probes.size() > kRecentProbes) {
    paths.probes.erase(paths.probes.begin());
  }
  const auto good = static_cast<size_t>(
      std::count(paths.probes.begin(), paths.probes.end(), true));
  if (!reached || good < kMinGoodProbes) return;
  paths.cut_off = false;
  paths.unreachable.clear();
  paths.next_probe = now;
}

bool EndpointPaths::IsCutOff(const ServiceName& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.cut_off;
}

std::set<ServiceName> EndpointPaths::cut_off() const {
  std::set<ServiceName> services;
  for (const auto& [service, paths] : services_) {
    if (paths.cut_off) services.insert(service);
  }
  return services;
}

std::optional<ServiceName> EndpointPaths::NextProbe(TimePoint now) {
  for (auto& [service, paths] : services_) {
    if (!paths.cut_off || now < paths.next_probe) continue;
    paths.next_probe = now + kProbePeriod;
    return service;
  }
  return std::nullopt;
}

void EndpointPaths::SetVms(const std::vector<VmId>& vms) {
  std::map<VmId, Helper> helpers;
  for (const VmId& vm : vms) {
    if (vm != self_) helpers[vm] = std::move(helpers_[vm]);
  }
  helpers_ = std::move(helpers);
}

void EndpointPaths::OnHelped(TimePoint now, const VmId& vm, bool reached) {
  const auto it = helpers_.find(vm);
  if (it == helpers_.end()) return;
  Helper& helper = it->second;
  helper.trusted_until = reached ? now + kHelperTrust : TimePoint();
  helper.backoff_until = reached ? TimePoint() : now + kHelperBackoff;
}

bool EndpointPaths::OnReport(TimePoint now, const PathReport& report) {
  const auto it = helpers_.find(report.vm);
  if (it == helpers_.end() || report.number <= it->second.report) return false;
  it->second.report = report.number;
  it->second.cut_off = {report.cut_off.begin(), report.cut_off.end()};
  it->second.reported_at = now;
  return true;
}

std::optional<PathReport> EndpointPaths::NextReport(TimePoint now) {
  const std::set<ServiceName> lost = cut_off();
  if (lost == reported_ && (lost.empty() || now < next_report_)) {
    return std::nullopt;
  }
  reported_ = lost;
  next_report_ = now + kReportPeriod;
  // Rises over restarts of the process, as the clock does.
  const auto number = static_cast<uint64_t>(now.microseconds());
  return PathReport{self_, number, {lost.begin(), lost.end()}};
}

std::optional<VmId> EndpointPaths::ChooseHelper(
    TimePoint now, const ServiceName& service, const std::set<VmId>& excluded,
    const std::function<bool(const VmId&)>& usable, Random& random) const {
  constexpr double kSearchChance = 0.25;
  std::vector<VmId> trusted;
  std::vector<VmId> others;
  std::optional<VmId> last_resort;
  TimePoint soonest;
  for (const auto& [vm, helper] : helpers_) {
    const bool reported = now - helper.reported_at < kReportLife &&
                          helper.cut_off.contains(service);
    if (reported || excluded.contains(vm) || !usable(vm)) continue;
    if (now < helper.backoff_until) {
      if (!last_resort || helper.backoff_until < soonest) {
        last_resort = vm;
        soonest = helper.backoff_until;
      }
      continue;
    }
    (now < helper.trusted_until ? trusted : others).push_back(vm);
  }
  const bool search = trusted.size() < kEnoughHelpers && !others.empty() &&
                      random.Chance(kSearchChance);
  const auto& candidates = trusted.empty() || search ? others : trusted;
  if (candidates.empty()) return last_resort;
  return candidates[random.Below(candidates.size())];
}

}  // namespace zr
