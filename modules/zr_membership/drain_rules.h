#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/** How much work an endpoint or VM may get; a higher value is stricter. */
enum class ServiceState : uint8_t {
  kInService,  // new work is allowed
  kProbing,    // after failures: a single piece of repeatable work at a time
  kDraining,   // no new work; running work ends
  kDown,       // no new work; running work there is lost
};

/** The source that determined a ServiceState. */
enum class DrainSource : uint8_t {
  kNone,
  kFailures,       // calls or load reports failed
  kSelfReported,   // the endpoint or VM said that it is leaving
  kPlatformList,   // the platform's list marks it as leaving
  kEndpointDrain,  // operators drained the endpoint
  kVmDrain,        // operators drained the VM
  kDomainDrain,    // operators drained the failure domain
};

/** Stable names, for example "draining" and "domain_drain". */
std::string_view ToString(ServiceState state);
std::string_view ToString(DrainSource source);

/** The strictest state with the source that demands it. */
struct DrainDecision {
  ServiceState state = ServiceState::kInService;
  DrainSource source = DrainSource::kNone;
  friend auto operator<=>(const DrainDecision&, const DrainDecision&) = default;
};

/** What is known about an endpoint besides drains. */
struct EndpointSignals {
  bool reported = false;  // a load report of its current boot was received
  bool reported_leaving = false;  // its own word in that report
  bool listed_leaving = false;    // the platform's list or registry marks it
  int64_t consecutive_failures =
      0;                       // refused or broken calls since the last success
  int64_t missed_reports = 0;  // failed load polls since the last report
};

/** What is known about an entry VM besides drains. */
struct VmSignals {
  bool live = false;               // heard recently
  bool announced_leaving = false;  // its own word
  bool listed_leaving = false;     // the platform's list marks it
};

/** Failure counts at which an endpoint loses its work. */
struct DrainLimits {
  int64_t probing_after_failures = 3;
  int64_t down_after_failures = 8;
  int64_t probing_after_missed_reports = 2;
  int64_t down_after_missed_reports = 5;
};

/** The drains of the configuration in force, in the order of the document. */
using Drains = std::vector<Drain>;

/**
 * State of an endpoint: the strictest of drains of itself or its domain, the
 * platform's mark, its own word, and its failures. An endpoint without a
 * report is probed, since its capacity is unknown.
 */
DrainDecision DecideEndpoint(const EndpointInfo& endpoint,
                             const EndpointSignals& signals,
                             const Drains& drains,
                             const DrainLimits& limits = {});

/** State of an entry VM: the strictest of drains, the platform's mark, its word
 * and silence. */
DrainDecision DecideVm(const VmId& vm, const DomainId& domain,
                       const VmSignals& signals, const Drains& drains);

}  // namespace zr
