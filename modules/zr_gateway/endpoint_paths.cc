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
  std::map<VmId, OtherVm> others;
  for (const VmId& vm : vms) {
    if (vm != self_) others[vm] = std::move(others_[vm]);
  }
  others_ = std::move(others);
}

void EndpointPaths::OnTunnelResult(TimePoint now, const VmId& vm,
                                   bool reached) {
  const auto it = others_.find(vm);
  if (it == others_.end()) return;
  OtherVm& other = it->second;
  other.trusted_until = reached ? now + kTunnelTrust : TimePoint();
  other.backoff_until = reached ? TimePoint() : now + kTunnelBackoff;
}

bool EndpointPaths::OnReport(TimePoint now, const PathReport& report) {
  const auto it = others_.find(report.vm);
  if (it == others_.end() || report.number <= it->second.report) return false;
  it->second.report = report.number;
  it->second.cut_off = {report.cut_off.begin(), report.cut_off.end()};
  it->second.reads_advice = report.reads_advice;
  it->second.reported_at = now;
  return true;
}

std::set<ServiceName> EndpointPaths::ReportedBy(const VmId& vm) const {
  const auto it = others_.find(vm);
  return it == others_.end() ? std::set<ServiceName>() : it->second.cut_off;
}

PathAdvice EndpointPaths::AdviceFor(TimePoint now, const ServiceName& service,
                                    const std::set<VmId>& linked,
                                    Random& random) const {
  std::vector<VmId> candidates;
  if (!IsCutOff(service)) candidates.push_back(self_);
  for (const auto& [vm, other] : others_) {
    if (linked.contains(vm) && !other.IsCutOff(now, service)) {
      candidates.push_back(vm);
    }
  }
  PathAdvice advice{service, {}};
  while (!candidates.empty() && advice.vms.size() < kAdvisedVms) {
    std::swap(candidates[random.Below(candidates.size())], candidates.back());
    advice.vms.push_back(std::move(candidates.back()));
    candidates.pop_back();
  }
  return advice;
}

void EndpointPaths::OnAdvice(TimePoint now, const PathAdvice& advice) {
  for (const VmId& vm : advice.vms) {
    const auto it = others_.find(vm);
    if (it == others_.end()) continue;
    it->second.advised_until[advice.service] = now + kReportLife;
  }
}

std::vector<VmId> EndpointPaths::NeedingReports(
    TimePoint now, const std::set<VmId>& linked) const {
  std::vector<VmId> vms;
  for (const auto& [vm, other] : others_) {
    const bool reported =
        now - other.reported_at < kReportLife && !other.cut_off.empty();
    if (reported && !other.reads_advice && linked.contains(vm)) {
      vms.push_back(vm);
    }
  }
  return vms;
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
  return PathReport{self_, number, {lost.begin(), lost.end()}, true};
}

std::optional<VmId> EndpointPaths::ChooseTunnelVm(
    TimePoint now, const ServiceName& service, const std::set<VmId>& excluded,
    const std::function<bool(const VmId&)>& usable, Random& random) const {
  constexpr double kSearchChance = 0.25;
  std::vector<VmId> trusted;
  std::vector<VmId> advised;
  std::vector<VmId> unknown;
  std::optional<VmId> last_resort;
  TimePoint soonest;
  for (const auto& [vm, other] : others_) {
    if (other.IsCutOff(now, service) || excluded.contains(vm) || !usable(vm)) {
      continue;
    }
    if (now < other.backoff_until) {
      if (!last_resort || other.backoff_until < soonest) {
        last_resort = vm;
        soonest = other.backoff_until;
      }
      continue;
    }
    const auto advice = other.advised_until.find(service);
    const bool is_advised =
        advice != other.advised_until.end() && now < advice->second;
    (now < other.trusted_until ? trusted
     : is_advised              ? advised
                               : unknown)
        .push_back(vm);
  }
  const auto& others = advised.empty() ? unknown : advised;
  const bool search = trusted.size() < kEnoughTunnelVms && !others.empty() &&
                      random.Chance(kSearchChance);
  const auto& candidates = trusted.empty() || search ? others : trusted;
  if (candidates.empty()) return last_resort;
  return candidates[random.Below(candidates.size())];
}

}  // namespace zr
