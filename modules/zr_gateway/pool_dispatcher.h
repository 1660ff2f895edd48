#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_board.h"
#include "zr_gateway/gateway_config.h"
#include "zr_gateway/placement.h"
#include "zr_gateway/start_rule.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Places the calls of all VMs to a pool, so that one place knows what every
 * endpoint is doing. Any VM can be a pool's dispatcher; which one is, the VMs
 * choose by rendezvous hashing over those that they know. Two dispatchers at
 * once place less well and break nothing: endpoints protect their own memory
 * and slots, and no promise to a caller depends on the load known here.
 *
 * A new dispatcher learns of calls in progress by the HeldCalls of each VM.
 */
class PoolDispatcher {
 public:
  PoolDispatcher(const Placement& placement, uint64_t seed)
      : placement_(placement), random_(seed) {}

  /** The endpoints with the calls of all VMs. */
  EndpointBoard& board() { return board_; }
  const EndpointBoard& board() const { return board_; }

  /** A VM asks; the answer names no endpoint if none takes the call. */
  CallPlaced OnPlaceCall(TimePoint now, const VmId& vm,
                         const GatewayConfig& config, const PlaceCall& call);
  void OnProgress(TimePoint now, const VmId& vm, const CallProgress& progress);
  void OnHeldCalls(TimePoint now, const VmId& vm, const HeldCalls& held);
  void OnVmGone(TimePoint now, const VmId& vm);
  void Tick(TimePoint now);

  size_t calls() const { return calls_.size(); }

 private:
  struct PlacedCall {
    PoolId pool;
    CallEndpoints endpoints;
    TimePoint expires;
  };

  /** Whether a long prompt starts now; see StartRule. */
  StartDecision DecidePrefill(TimePoint now, const EngineFigures& engine,
                              const PlaceCall& call, const CallNeeds& needs,
                              const std::optional<PlacementPlan>& plan);
  void AddCall(TimePoint now, const CallKey& key, const PoolId& pool,
               CallEndpoints endpoints, const CallLoad& load);
  void RemoveCall(TimePoint now, const CallKey& key);

  const Placement& placement_;
  Random random_;
  EndpointBoard board_;
  std::map<CallKey, PlacedCall> calls_;
  std::map<PoolId, StartRule> prefill_admissions_;
};

/**
 * The VMs that come first for a pool by rendezvous hashing; the first of them
 * that lives dispatches it.
 *
 * @param count  how many to return at most
 */
std::vector<VmId> RankDispatchers(const PoolId& pool, std::vector<VmId> vms,
                                  size_t count);

}  // namespace zr
