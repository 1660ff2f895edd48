#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "zr_admission/admission_planner.h"
#include "zr_admission/admission_queue.h"
#include "zr_admission/engine_reconciler.h"
#include "zr_admission/grant_table.h"
#include "zr_admission/owner_types.h"
#include "zr_admission/prefix_index.h"
#include "zr_admission/service_time_model.h"
#include "zr_admission/slow_start.h"

namespace zr {

/**
 * All state of one endpoint at the VM that owns it: grants and their memory,
 * the queue, the slow start and what the engine reports.
 *
 * Safety does not depend on being the only owner: another VM may own the
 * endpoint as well for a while. Each event returns the actions to carry out;
 * `now` must not go back between events.
 */
class EndpointOwner {
 public:
  /**
   * @returns kInvalidArgument if an id is empty, the endpoint is of another
   *          pool, or policies are missing or out of range
   */
  static Result<std::unique_ptr<EndpointOwner>> Create(OwnerOptions options,
                                                       TimePoint now);

  EndpointOwner(const EndpointOwner&) = delete;
  EndpointOwner& operator=(const EndpointOwner&) = delete;

  // ---------------------------------------------------------------------------
  // Messages of other VMs

  OwnerActions OnAdmissionRequest(TimePoint now, const VmId& from,
                                  const AdmissionRequest& request);
  OwnerActions OnCancel(TimePoint now, const VmId& from,
                        const CancelAdmission& cancel);
  OwnerActions OnRelease(TimePoint now, const VmId& from,
                         const GrantRelease& release);
  OwnerActions OnHeldGrants(TimePoint now, const HeldGrants& list);
  OwnerActions OnGatherReserve(TimePoint now, const VmId& from,
                               const GatherReserve& reserve);
  OwnerActions OnGatherRelease(TimePoint now, const VmId& from,
                               const GatherRelease& release);

  // ---------------------------------------------------------------------------
  // Reports of the engine

  OwnerActions OnLoadReport(TimePoint now, const EngineLoad& load);
  /** Answer to RequestStreamList. */
  OwnerActions OnStreamList(TimePoint now, const EngineStreams& list);
  OwnerActions OnCacheEvents(TimePoint now, const CacheEvents& events);
  /** The endpoint refuses connections or answers no more; it counts as dead. */
  OwnerActions OnEndpointUnreachable(TimePoint now);

  // ---------------------------------------------------------------------------
  // Local events

  OwnerActions OnVmDead(TimePoint now, const VmId& vm);
  OwnerActions OnPolicy(TimePoint now, const EndpointState& state,
                        const OwnerPolicies& policies);
  /** This process was paused longer than others wait before they take over. */
  OwnerActions OnSelfPaused(TimePoint now);
  OwnerActions OnTick(TimePoint now);

  /** Time of the next OnTick; TimePoint::Max() if none is needed. */
  TimePoint NextWakeup() const;

  // ---------------------------------------------------------------------------
  // Views

  EndpointSummary MakeSummary(TimePoint now);
  OwnerSnapshot Snapshot() const;
  /** The newest attempt of a request that has a grant here. */
  std::optional<KnownStream> FindStream(const RequestId& request) const;
  const GrantTable& grants() const { return grants_; }
  /** Sequence after which cache events are to be fetched. */
  uint64_t LastCacheEvent() const { return prefixes_.last_sequence(); }
  /** Highest grant number used; see OwnerOptions::last_grant. */
  GrantNumber last_grant() const { return last_grant_; }

 private:
  EndpointOwner(OwnerOptions options, TimePoint now);

  /** Moves the estimates of remaining work to `now`; first step of each event.
   */
  void Advance(TimePoint now);
  /** Starts what can start, asks for lists and checks the invariants; last
   * step. */
  OwnerActions Finish(TimePoint now, OwnerActions actions);
  void Pump(TimePoint now, OwnerActions& actions);
  void Expire(TimePoint now, OwnerActions& actions);
  void CheckInvariants(TimePoint now) const;

  bool Accepting() const;
  QueuedRequest MakeQueued(TimePoint now, const VmId& from,
                           const AdmissionRequest& request) const;
  /** Sends the grant again, or refuses, if the attempt is known. @returns true
   * if so */
  bool AnswerRepeat(TimePoint now, const VmId& from,
                    const AdmissionRequest& request, OwnerActions& actions);
  /** Refuses a request that just joined the queue if its expected start is too
   * late. */
  void JudgeQueued(TimePoint now, const StreamKey& key, OwnerActions& actions);
  void GrantQueued(TimePoint now, const StreamKey& key, OwnerActions& actions);
  void SendGrant(const GrantEntry& entry, OwnerActions& actions) const;
  void Refuse(const QueuedRequest& item, RefusalReason reason,
              Duration wait_hint, OwnerActions& actions);
  void RefuseAll(RefusalReason reason, OwnerActions& actions);

  void ApplyHeld(TimePoint now, const VmId& holder, const HeldGrant& held,
                 OwnerActions& actions);
  void Adopt(TimePoint now, const VmId& holder, const HeldGrant& held);
  /** Takes a grant back: cancels its stream, keeps its memory until that is
   * confirmed. */
  void Reclaim(TimePoint now, GrantEntry& entry, OwnerActions& actions);
  void ObserveCompleted(const GrantEntry& entry, const GrantRelease& release);
  void ReplyGather(const VmId& to, const GatherReserve& reserve,
                   const GrantEntry* entry, Duration wait_hint,
                   OwnerActions& actions) const;
  /** Reports a call as one that was in progress when the endpoint died. */
  void ReportSuspect(const GrantEntry& entry, OwnerActions& actions) const;
  /** The engine started again; what ended with it is known from the next list.
   */
  void OnNewBoot();
  /** Ends the grants of earlier boots that a list of the present boot lacks. */
  void EndOldBoots(TimePoint now, OwnerActions& actions);
  /** Compares the reported speed with the expected one. */
  void ObserveSpeed(TimePoint now, const EngineLoad& load);

  OwnerOptions options_;
  EndpointState state_;
  bool engine_leaving_ = false;
  bool reachable_ = true;
  GrantTable grants_;
  AdmissionQueue queue_;
  ServiceTimeModel model_;
  SlowStart ramp_;
  EngineReconciler engine_;
  PrefixIndex prefixes_;
  AdmissionPlanner planner_;
  std::optional<WantedGather> wanted_gather_;
  std::map<VmId, SenderStamp> last_list_;  // newest list of each holder
  std::set<VmId> gone_vms_;                // reported dead and not heard since
  GrantNumber last_grant_;
  uint64_t summary_sequence_ = 0;
  TimePoint advanced_to_;
  OwnerSnapshot counters_;
};

}  // namespace zr
