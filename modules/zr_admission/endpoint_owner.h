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
 * State of one endpoint at the VM that owns it: grants and the KV tokens they
 * reserve, the admission queue, slow start and the engine's reports.
 *
 * Safe with several owners: another VM may own the same endpoint for a while.
 * Each event returns the actions to perform. `now` must not decrease between
 * events.
 */
class EndpointOwner {
 public:
  /**
   * @returns kInvalidArgument if an id is empty, the endpoint belongs to
   *          another pool, or a policy is missing or out of range
   */
  static Result<std::unique_ptr<EndpointOwner>> Create(OwnerOptions options,
                                                       TimePoint now);

  EndpointOwner(const EndpointOwner&) = delete;
  EndpointOwner& operator=(const EndpointOwner&) = delete;

  // ---------------------------------------------------------------------------
  // Messages from other VMs

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
  // Engine reports

  OwnerActions OnLoadReport(TimePoint now, const EngineLoad& load);
  /** Handles the reply to RequestStreamList. */
  OwnerActions OnStreamList(TimePoint now, const EngineStreams& list);
  OwnerActions OnCacheEvents(TimePoint now, const CacheEvents& events);
  /** The endpoint refuses connections or doesn't respond; treated as failed. */
  OwnerActions OnEndpointUnreachable(TimePoint now);

  // ---------------------------------------------------------------------------
  // Local events

  OwnerActions OnVmDown(TimePoint now, const VmId& vm);
  OwnerActions OnPolicy(TimePoint now, const EndpointAdminState& state,
                        const OwnerPolicies& policies);
  /** This process was paused for longer than other VMs wait to take over. */
  OwnerActions OnSelfPaused(TimePoint now);
  OwnerActions OnTick(TimePoint now);

  /** Time at which OnTick is due; TimePoint::Max() if it isn't needed. */
  TimePoint NextWakeup() const;

  // ---------------------------------------------------------------------------
  // Queries

  EndpointSummary MakeSummary(TimePoint now);
  OwnerSnapshot Snapshot() const;
  /** Returns the newest attempt of the request that has a grant here. */
  std::optional<GrantedStream> FindStream(const RequestId& request) const;
  const GrantTable& grants() const { return grants_; }
  /** Sequence number of the last cache event applied. */
  uint64_t LastCacheSequence() const { return prefixes_.last_sequence(); }
  /** Highest grant number issued; see OwnerOptions::last_grant. */
  GrantNumber last_grant() const { return last_grant_; }

 private:
  EndpointOwner(OwnerOptions options, TimePoint now);

  /** Advances the estimates of remaining work to `now`; called first in each
   * event. */
  void Advance(TimePoint now);
  /** Expires grants, serves the queue, requests stream lists and checks the
   * invariants; called last in each event. */
  OwnerActions Finish(TimePoint now, OwnerActions actions);
  void ProcessQueue(TimePoint now, OwnerActions& actions);
  void ExpireGrants(TimePoint now, OwnerActions& actions);
  void CheckInvariants(TimePoint now) const;

  bool AcceptsNew() const;
  QueuedRequest MakeQueuedRequest(TimePoint now, const VmId& from,
                                  const AdmissionRequest& request) const;
  /** Answers a repeated request for a queued or granted attempt.
   * @returns false if the attempt is new */
  bool AnswerDuplicate(TimePoint now, const VmId& from,
                       const AdmissionRequest& request, OwnerActions& actions);
  /** Refuses a request that was just queued if its expected start is too
   * late. */
  void CheckExpectedStart(TimePoint now, const StreamKey& key,
                          OwnerActions& actions);
  void GrantQueued(TimePoint now, const StreamKey& key, OwnerActions& actions);
  void SendGrant(const GrantEntry& entry, OwnerActions& actions) const;
  void Refuse(const QueuedRequest& item, RefusalReason reason,
              Duration wait_hint, OwnerActions& actions);
  void RefuseAll(RefusalReason reason, OwnerActions& actions);

  void ApplyHeldGrant(TimePoint now, const VmId& holder, const HeldGrant& held,
                      OwnerActions& actions);
  void AdoptGrant(TimePoint now, const VmId& holder, const HeldGrant& held);
  /** Cancels a grant's stream; its KV tokens stay reserved until the engine
   * confirms the end. */
  void Reclaim(TimePoint now, GrantEntry& entry, OwnerActions& actions);
  void ObserveCompleted(const GrantEntry& entry, const GrantRelease& release);
  void ReplyGather(const VmId& to, const GatherReserve& reserve,
                   const GrantEntry* entry, Duration wait_hint,
                   OwnerActions& actions) const;
  /** Reports a call that was in flight when the endpoint failed. */
  void ReportSuspect(const GrantEntry& entry, OwnerActions& actions) const;
  /** Handles a restart of the engine. The next stream list shows which grants
   * ended with the previous boot. */
  void OnNewBoot();
  /** Ends grants of earlier boots that the current boot's list doesn't name. */
  void EndGrantsOfOldBoots(TimePoint now, OwnerActions& actions);
  /** Compares the reported decode speed with the expected one. */
  void ObserveSpeed(TimePoint now, const EngineLoad& load);

  OwnerOptions options_;
  EndpointAdminState state_;
  bool engine_leaving_ = false;
  bool reachable_ = true;
  GrantTable grants_;
  AdmissionQueue queue_;
  ServiceTimeModel model_;
  SlowStart slow_start_;
  EngineReconciler engine_;
  PrefixIndex prefixes_;
  AdmissionPlanner planner_;
  std::optional<PendingGather> pending_gather_;
  std::map<VmId, SenderStamp>
      newest_lists_;           // stamp of each holder's newest list
  std::set<VmId> failed_vms_;  // failed, no list received since
  GrantNumber last_grant_;
  uint64_t summary_sequence_ = 0;
  TimePoint advanced_to_;
  OwnerSnapshot counters_;
};

}  // namespace zr
