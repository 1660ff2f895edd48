#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_config.h"
#include "zr_gateway/lateness.h"
#include "zr_gateway/placement_policy.h"
#include "zr_gateway/placement_report.h"
#include "zr_gateway/pool_queue.h"
#include "zr_gateway/prefill_admission.h"
#include "zr_gateway/refusal_memory.h"
#include "zr_wire/messages.h"

namespace zr {

/** What has happened to a request in a pool's queue. */
struct QueueEvent {
  enum class Kind : uint8_t { kQueued, kGranted, kRefused };

  Kind kind = Kind::kQueued;
  VmId vm;  // that has the caller
  PoolId pool;
  TeamId team;
  /** For a request that was queued before, `reply` has to be sent to the VM. */
  bool push = false;
  DispatchReply reply;
  size_t position = 0;      // if queued: requests that go before it
  Duration waited;          // since it was received
  double engine_ms = 0;     // if granted; see EngineCostMs()
  const char* reason = "";  // if refused
  friend auto operator<=>(const QueueEvent&, const QueueEvent&) = default;
};

/**
 * Chooses the endpoints for the calls of all VMs to a pool, so that one VM
 * knows the load of every endpoint. The dispatcher of a pool is the first
 * reachable VM by RankForDuty(). Two concurrent dispatchers
 * choose less well but are safe: endpoints protect their own memory and slots,
 * and no guarantee to a caller depends on the load known here.
 *
 * A new dispatcher learns of calls in progress from the InFlightCalls of each
 * VM.
 *
 * Requests for engines wait in a PoolQueue until an engine has room for them;
 * see QueueEvent.
 */
class PoolDispatcher {
 public:
  PoolDispatcher(const PlacementPolicy& placement, uint64_t seed)
      : placement_(placement), random_(seed) {}

  /** The endpoints with the load of the calls of all VMs. */
  EndpointTracker& tracker() { return tracker_; }
  const EndpointTracker& tracker() const { return tracker_; }
  /** Enables the queue of pools of engines; on by default. */
  void SetFairQueue(bool enabled) { fair_queue_ = enabled; }
  /** Requests for the service may wait in a queue: it has engines, its routes
   * name a latency objective and there are several teams. */
  bool HasQueue(const GatewayConfig& config,
                const ServicePolicy& service) const {
    return fair_queue_ && service.engine && config.team_count() >= 2 &&
           config.HasObjective(service.name);
  }

  /** Chooses the endpoints of a call; the reply has none if none accepts it, or
   * says that the request is queued. */
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
  /** Drops what has expired and serves the queues; call at least every 40 ms.
   */
  void Tick(TimePoint now);
  /** Returns what has happened in the queues since the last call. */
  std::vector<QueueEvent> TakeEvents() {
    return std::exchange(events_, std::vector<QueueEvent>());
  }

  /** Explains what OnDispatchRequest() would decide; changes nothing. */
  PlacementReport Explain(TimePoint now, const ServicePolicy& service,
                          const DispatchRequest& request) const;

  size_t calls() const { return calls_.size(); }
  /** Length of the queue of each pool that has had one. */
  std::map<PoolId, size_t> QueueLengths() const;
  /** The queue of a pool; null if it has had none. */
  const PoolQueue* QueueOf(const PoolId& pool) const;

 private:
  struct PlacedCall {
    PoolId pool;
    CallEndpoints endpoints;
    TimePoint expires;
    bool plain = false;  // of a plain service
  };

  /** A pool of engines whose requests may wait. */
  struct QueuedPool {
    EngineProfile engine;  // as last configured
    PoolQueue queue;
    RefusalMemory refusals;
    /** Times until which classes of requests found no room are not tried. */
    std::array<TimePoint, PoolQueue::kClasses> blocked_until;
  };
  enum class Attempt : uint8_t {
    kGranted,
    kNoRoom,   // nor has any request of its size
    kTooLate,  // another engine may still have room in time
    kHarmful,  // others would be late
    kDefer,    // see PrefillAdmission
    kRefuse,
  };

  //============================================================================
  // The queue (pool_dispatcher_queue.cc)

  bool MayQueue(const GatewayConfig& config, const ServicePolicy& service,
                const DispatchRequest& request) const;
  DispatchReply OnQueueableRequest(TimePoint now, const VmId& vm,
                                   const EngineProfile& engine,
                                   const DispatchRequest& request);
  QueuedCall MakeQueuedCall(TimePoint now, const VmId& vm, QueuedPool& pool,
                            const DispatchRequest& request) const;
  /**
   * Grants the request if an engine has room.
   *
   * @param first_token  set to its forecast, if it was granted or is too late
   */
  Attempt TryGrant(TimePoint now, QueuedPool& pool, const QueuedCall& call,
                   DispatchReply& reply, TimePoint& first_token);
  /** Whether a short request starts by a plan with room. */
  Attempt MayStart(TimePoint now, const QueuedPool& pool,
                   const QueuedCall& call, const PlacementPlan& plan) const;
  /** Grants as many queued requests as there is room for.
   * @param room_freed  tries also classes that found no room just before */
  void ServeQueue(TimePoint now, const PoolId& pool_id,
                  bool room_freed = false);
  void RefuseHopeless(TimePoint now, const PoolId& pool_id, QueuedPool& pool);
  DispatchReply Refusal(TimePoint now, QueuedPool& pool,
                        const QueuedCall& call);
  void AddEvent(TimePoint now, QueueEvent::Kind kind, const QueuedCall& call,
                const DispatchReply& reply, bool push, const char* reason = "");

  //============================================================================
  // Placement

  CallRequirements RequirementsOf(const DispatchRequest& request) const;
  /** Places the call at the plan's endpoints, and names them in the reply. */
  void Grant(TimePoint now, const VmId& vm, const DispatchRequest& request,
             const PlacementPlan& plan, Duration time_left,
             TimePoint first_token_by, DispatchReply& reply);
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
  bool fair_queue_ = true;
  std::map<PoolId, QueuedPool> queued_pools_;
  std::vector<QueueEvent> events_;
};

}  // namespace zr
