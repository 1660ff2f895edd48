#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_config.h"
#include "zr_gateway/lateness.h"
#include "zr_gateway/placement_policy.h"
#include "zr_gateway/placement_report.h"
#include "zr_gateway/prefill_admission.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Chooses the endpoints for the calls of all VMs to a pool, so that one VM
 * knows the load of every endpoint. The dispatcher of a pool is the first
 * reachable VM by RankForDuty(). Two concurrent dispatchers
 * choose less well but are safe: endpoints protect their own memory and slots,
 * and no guarantee to a caller depends on the load known here.
 *
 * A new dispatcher learns of calls in progress from the InFlightCalls of each
 * VM.
 */
class PoolDispatcher {
 public:
  PoolDispatcher(const PlacementPolicy& placement, uint64_t seed)
      : placement_(placement), random_(seed) {}

  /** The endpoints with the load of the calls of all VMs. */
  EndpointTracker& tracker() { return tracker_; }
  const EndpointTracker& tracker() const { return tracker_; }

  /** Chooses the endpoints of a call; the reply has none if none accepts it. */
  DispatchReply OnDispatchRequest(TimePoint now, const VmId& vm,
                                  const GatewayConfig& config,
                                  const DispatchRequest& request);
  /** @returns the longest pause of an ended call, if its caller does not allow
   * it */
  std::optional<LongPause> OnProgress(TimePoint now, const VmId& vm,
                                      const CallProgress& progress);
  void OnInFlightCalls(TimePoint now, const VmId& vm,
                       const InFlightCalls& in_flight);
  void OnVmDown(TimePoint now, const VmId& vm);
  void Tick(TimePoint now);

  /** Explains what OnDispatchRequest() would decide; changes nothing. */
  PlacementReport Explain(TimePoint now, const ServicePolicy& service,
                          const DispatchRequest& request) const;

  size_t calls() const { return calls_.size(); }

 private:
  struct PlacedCall {
    PoolId pool;
    CallEndpoints endpoints;
    TimePoint expires;
  };

  /** Decides whether a long prompt starts now; see PrefillAdmission. */
  PrefillDecision DecidePrefill(TimePoint now, const EngineProfile& engine,
                                const DispatchRequest& request,
                                const CallRequirements& requirements,
                                const std::optional<PlacementPlan>& plan,
                                PrefillAdmission& policy) const;
  void AddCall(TimePoint now, const CallKey& key, const PoolId& pool,
               CallEndpoints endpoints, const CallLoad& load);
  void RemoveCall(TimePoint now, const CallKey& key);

  const PlacementPolicy& placement_;
  Random random_;
  EndpointTracker tracker_;
  std::map<CallKey, PlacedCall> calls_;
  PauseHistory pauses_;
  std::map<PoolId, PrefillAdmission> prefill_admissions_;
};

}  // namespace zr
