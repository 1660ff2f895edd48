#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/**
 * How much work an endpoint or VM may get, in ascending order of strictness.
 */
enum class ServiceState : uint8_t {
  kInService,  // new work is allowed
  kProbing,    // after failures: one repeatable request at a time
  kDraining,   // no new work; running work finishes
  kDown,       // no new work; running work there is lost
};

/** The source that determined a ServiceState. */
enum class DrainSource : uint8_t {
  kNone,
  kFailures,       // failed calls or load reports
  kSelfReported,   // the endpoint or VM reported that it is leaving
  kPlatformList,   // the platform list marks it as leaving
  kEndpointDrain,  // operators drained the endpoint
  kVmDrain,        // operators drained the VM
  kDomainDrain,    // operators drained the failure domain
};

/** Stable names, for example "draining" and "domain_drain". */
std::string_view ToString(ServiceState state);
std::string_view ToString(DrainSource source);

/** The strictest state and the source that demands it. */
struct DrainDecision {
  ServiceState state = ServiceState::kInService;
  DrainSource source = DrainSource::kNone;
  friend auto operator<=>(const DrainDecision&, const DrainDecision&) = default;
};

/** What is known about an endpoint besides drains. */
struct EndpointSignals {
  bool reported = false;          // received a load report of its current boot
  bool reported_leaving = false;  // that report says that it is leaving
  bool listed_leaving =
      false;  // the platform list or registry marks it as leaving
  int64_t consecutive_failures =
      0;                       // refused or broken calls since the last success
  int64_t missed_reports = 0;  // failed load polls since the last report
};

/** What is known about an entry VM besides drains. */
struct VmSignals {
  bool live = false;               // heartbeats arrived recently
  bool announced_leaving = false;  // its heartbeats say that it is leaving
  bool listed_leaving = false;     // the platform list marks it as leaving
};

/** Failure counts at which an endpoint is probed or considered down. */
struct DrainLimits {
  int64_t probing_after_failures = 3;
  int64_t down_after_failures = 8;
  int64_t probing_after_missed_reports = 2;
  int64_t down_after_missed_reports = 5;
};

/** The drains of the configuration in force, in the order of the document. */
using Drains = std::vector<Drain>;

/**
 * Decides the state of an endpoint. The strictest source decides: drains of the
 * endpoint or its domain, the platform's leaving mark, the endpoint's own
 * report, and its failures. An endpoint without a report is probed, because its
 * capacity is unknown.
 */
DrainDecision DecideEndpoint(const EndpointInfo& endpoint,
                             const EndpointSignals& signals,
                             const Drains& drains,
                             const DrainLimits& limits = {});

/**
 * Decides the state of an entry VM. The strictest source decides: drains of the
 * VM or its domain, the platform's leaving mark, the VM's own heartbeats, and
 * missing heartbeats.
 */
DrainDecision DecideVm(const VmId& vm, const DomainId& domain,
                       const VmSignals& signals, const Drains& drains);

}  // namespace zr
