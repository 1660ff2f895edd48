#include "zr_membership/in_force_report.h"

#include <algorithm>

namespace zr {
namespace {

bool HasVersion(const VmView& vm, ObjectVersion version,
                const std::string& digest) {
  if (vm.config_version == version) return vm.config_digest == digest;
  return vm.config_version > version;
}

}  // namespace

InForceReport MakeInForceReport(TimePoint now, ObjectVersion version,
                                const std::string& digest,
                                const ClusterView& view, Duration silence) {
  InForceReport report;
  report.members_known = view.members_known;
  size_t total = 0;
  const auto add = [&](const VmId& id, TimePoint last_seen) {
    const bool silent =
        now - std::max(last_seen, view.listening_since) > silence;
    (silent ? report.silent : report.lagging).push_back(id);
  };
  // Leaving VMs must have the version while they are live, but are not counted
  // in the total, because silent VMs do not count them in their own majority
  // either.
  for (const auto& [id, vm] : view.live) {
    if (!vm.leaving) ++total;
    if (!HasVersion(vm, version, digest)) add(id, vm.last_seen);
  }
  for (const auto& [id, vm] : view.silent) {
    if (vm.leaving) continue;
    ++total;
    if (!HasVersion(vm, version, digest)) add(id, vm.last_seen);
  }
  // A listed VM that never sent a heartbeat may run with an older version.
  for (const auto& [id, domain] : view.listed) {
    if (view.live.contains(id) || view.silent.contains(id)) continue;
    ++total;
    add(id, view.listening_since);
  }
  const bool silent_are_fewer = report.silent.size() * 2 < total;
  if (view.settled && view.members_known && report.lagging.empty() &&
      silent_are_fewer) {
    report.state = InForceReport::State::kAccepted;
  }
  return report;
}

}  // namespace zr
