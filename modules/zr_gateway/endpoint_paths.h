#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Decides whether this VM connects to the endpoints of a service itself or
 * through another VM, and through which one.
 *
 * A VM that can't connect to several endpoints of a service, one after the
 * other, has probably lost its own paths; a single endpoint that can't be
 * reached is taken for broken. Only new connections count, as open ones may
 * live on while new ones are refused. A VM that is cut off tries its own paths
 * from time to time, and tells the other VMs, which then don't ask it for help.
 */
class EndpointPaths {
 public:
  // Time between two trials of a VM's own paths.
  static constexpr Duration kProbePeriod = Duration::Milliseconds(300);
  // Time for which a failed connection counts.
  static constexpr Duration kFailureMemory = Duration::Seconds(3);
  // Endpoints that can't be reached when a VM takes itself for cut off, fewer
  // if the service has fewer.
  static constexpr size_t kMinUnreachable = 2;
  // Of the last probes, this many must succeed before own paths are used again.
  static constexpr size_t kRecentProbes = 3;
  static constexpr size_t kMinGoodProbes = 2;
  // A VM through which no endpoint could be reached is not asked for this long.
  static constexpr Duration kTunnelBackoff = Duration::Seconds(1);
  // Time for which a VM through which one was reached is preferred.
  static constexpr Duration kTunnelTrust = Duration::Seconds(2);
  // More of them are searched while fewer are known, to spread the load.
  static constexpr size_t kEnoughTunnelVms = 3;
  // Period of the reports of a VM that is cut off, and time after which they
  // lapse.
  static constexpr Duration kReportPeriod = Duration::Seconds(1);
  static constexpr Duration kReportLife = Duration::Seconds(3);
  // VMs named to a VM that is cut off. With several advisers it knows enough of
  // them, and a message stays small in fleets of any size.
  static constexpr size_t kAdvisedVms = 8;

  explicit EndpointPaths(VmId self) : self_(std::move(self)) {}

  //============================================================================
  // This VM's own connections

  /** A new connection to an endpoint was established. */
  void OnConnected(TimePoint now, const ServiceName& service);
  /** No connection was established.
   * @param active  number of the service's endpoints */
  void OnUnreachable(TimePoint now, const ServiceName& service,
                     const EndpointId& endpoint, size_t active);
  /** This VM's own paths to the service's endpoints are lost. */
  bool IsCutOff(const ServiceName& service) const;
  std::set<ServiceName> cut_off() const;
  /** A service whose paths are to be tried now; the result has to be reported
   * as above. */
  std::optional<ServiceName> NextProbe(TimePoint now);

  //============================================================================
  // Other VMs

  void SetVms(const std::vector<VmId>& vms);
  /** An endpoint was reached through the VM, or not. */
  void OnTunnelResult(TimePoint now, const VmId& vm, bool reached);
  /** @returns whether the report is new */
  bool OnReport(TimePoint now, const PathReport& report);
  /** The services whose endpoints the VM has last reported as lost. */
  std::set<ServiceName> ReportedBy(const VmId& vm) const;
  /** This VM's report, if it is due. */
  std::optional<PathReport> NextReport(TimePoint now);
  /**
   * VMs through which a VM that is cut off may reach the service's endpoints.
   *
   * @param linked  VMs that this one has links to
   */
  PathAdvice AdviceFor(TimePoint now, const ServiceName& service,
                       const std::set<VmId>& linked, Random& random) const;
  void OnAdvice(TimePoint now, const PathAdvice& advice);
  /** Linked VMs that are cut off and can't read advice: they have to be told
   * which other VMs are cut off. */
  std::vector<VmId> NeedingReports(TimePoint now,
                                   const std::set<VmId>& linked) const;
  /**
   * A VM through which to reach the service's endpoints.
   *
   * @param excluded  VMs that were tried
   * @param usable  whether the VM may be asked at all
   * @returns std::nullopt if there is none
   */
  std::optional<VmId> ChooseTunnelVm(
      TimePoint now, const ServiceName& service, const std::set<VmId>& excluded,
      const std::function<bool(const VmId&)>& usable, Random& random) const;

 private:
  struct ServicePaths {
    std::map<EndpointId, TimePoint> unreachable;  // time of the last failure
    bool cut_off = false;
    std::vector<bool> probes;  // results since it is cut off, newest last
    TimePoint next_probe;
  };
  struct OtherVm {
    TimePoint backoff_until;
    TimePoint trusted_until;
    uint64_t report = 0;  // number of the last one
    std::set<ServiceName> cut_off;
    bool reads_advice = false;
    TimePoint reported_at;
    std::map<ServiceName, TimePoint> advised_until;

    bool IsCutOff(TimePoint now, const ServiceName& service) const {
      return now - reported_at < kReportLife && cut_off.contains(service);
    }
  };

  void AddProbe(TimePoint now, ServicePaths& paths, bool reached);

  VmId self_;
  std::map<ServiceName, ServicePaths> services_;
  std::map<VmId, OtherVm> others_;
  TimePoint next_report_;
  std::set<ServiceName> reported_;
};

}  // namespace zr
