#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "zr_admission/engine_reports.h"
#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"
#include "zr_wire/messages.h"

namespace zr {

/** An endpoint that can be a member of a gather. */
struct GatherCandidate {
  EndpointId endpoint;
  VmId owner;
  TokenCount kv_free;
  TokenCount kv_capacity;
  bool accepts_new = false;
};

/**
 * Reserves KV tokens on three or more endpoints for a prompt that doesn't fit
 * one engine. Runs at the rendezvous owner of the pool's name.
 *
 * A pool runs one gather at a time. Its members are reserved one by one, in
 * ascending order of endpoint ids. If a reservation fails, all are released and
 * the gather is retried with exponential backoff until its deadline can't be
 * met. On success the ingress gets one grant that names all members, and
 * renews their reservations with its lists of held grants.
 */
class GatherCoordinator {
 public:
  using Messages = std::vector<OutgoingMessage>;

  /** @param seed  for the jitter of the backoff; differs between VMs */
  GatherCoordinator(VmId self, PoolPolicy policy, uint64_t seed);
  GatherCoordinator(const GatherCoordinator&) = delete;
  GatherCoordinator& operator=(const GatherCoordinator&) = delete;

  /** Sets the pool's endpoints, from summaries; used by the next round. */
  void OnCandidates(std::vector<GatherCandidate> candidates);
  void OnPolicy(const PoolPolicy& policy) { policy_ = policy; }
  /** Most tokens that a gather over these endpoints can hold; 0 if there are
   * too few endpoints. */
  static TokenCount MaxGatherTokens(
      const std::vector<GatherCandidate>& endpoints, const PoolPolicy& policy);

  /** Handles a gather request: an AdmissionRequest with an empty endpoint. */
  Messages OnRequest(TimePoint now, const VmId& from,
                     const AdmissionRequest& request);
  Messages OnReply(TimePoint now, const VmId& from, const GatherReply& reply);
  Messages OnCancel(TimePoint now, const VmId& from,
                    const CancelAdmission& cancel);
  Messages OnVmDown(TimePoint now, const VmId& vm);
  Messages OnTick(TimePoint now);
  TimePoint NextWakeup() const;

  /** Number of gathers that are queued or in progress. */
  size_t pending() const { return gathers_.size(); }

 private:
  enum class MemberState : uint8_t { kPlanned, kRequested, kReserved };
  struct Member {
    EndpointId endpoint;
    VmId owner;
    TokenCount kv;
    MemberState state = MemberState::kPlanned;
    GrantNumber number;
    Incarnation owner_incarnation;
    TimePoint requested_at;
  };
  struct Gather {
    VmId from;
    AdmissionRequest request;
    TimePoint deadline;
    std::vector<Member> members;  // ascending endpoint id; empty between rounds
    TimePoint retry_at;
    int failed_rounds = 0;
  };
  struct CompletedGather {
    StreamKey key;
    VmId from;
    Grant grant;
    TimePoint at;
  };

  /** Advances the gather at the front until it waits for a reply. */
  void AdvanceFront(TimePoint now, Messages& out);
  /** Chooses the members; false if all endpoints together are too small. */
  bool PlanMembers(Gather& gather) const;
  void ReserveNext(TimePoint now, Gather& gather, Messages& out);
  void Complete(TimePoint now, Messages& out);
  /** Releases all reservations and schedules the next round. */
  void AbortAndBackOff(TimePoint now, Gather& gather, Messages& out);
  void ReleaseMembers(Gather& gather, Messages& out);
  void Refuse(const Gather& gather, RefusalReason reason, Duration wait_hint,
              Messages& out) const;
  /** Latest completion of the gather that can meet the deadline. */
  TimePoint LatestStart(const Gather& gather) const;

  VmId self_;
  PoolPolicy policy_;
  Random random_;
  std::vector<GatherCandidate> candidates_;
  std::deque<Gather> gathers_;  // the front is in progress
  std::deque<CompletedGather> done_;
};

}  // namespace zr
