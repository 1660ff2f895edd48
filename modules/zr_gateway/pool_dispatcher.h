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
 * Chooses the endpoints for the calls of all VMs to a pool, so that one VM
 * knows the load of every endpoint. The VMs select the dispatcher of a pool by
 * rendezvous hashing over the VMs that they know. Two concurrent dispatchers
 * choose less well but are safe: endpoints protect their own memory and slots,
 * and no guarantee to a caller depends on the load known here.
 *
 * A new dispatcher learns of calls in progress from the HeldCalls of each VM.
 */
class PoolDispatcher {
 public:
  PoolDispatcher(const Placement& placement, uint64_t seed)
      : placement_(placement), random_(seed) {}

  /** The endpoints with the load of the calls of all VMs. */
  EndpointBoard& board() { return board_; }
  const EndpointBoard& board() const { return board_; }

  /** Chooses the endpoints of a call; the reply has none if none accepts it. */
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

  /** Decides whether a long prompt starts now; see StartRule. */
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
 * Ranks the VMs for a pool by rendezvous hashing. The first of them that is
 * reachable is the dispatcher.
 *
 * @param count  maximum number of VMs to return
 */
std::vector<VmId> RankDispatchers(const PoolId& pool, std::vector<VmId> vms,
                                  size_t count);

}  // namespace zr
