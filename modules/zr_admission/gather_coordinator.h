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

/** An endpoint that may take a part of a gathered prompt. */
struct GatherCandidate {
  EndpointId endpoint;
  VmId owner;
  TokenCount kv_free;
  TokenCount kv_capacity;
  bool accepts_new = false;
};

/**
 * Reserves memory on three or more endpoints for a prompt that is larger than
 * one engine. Runs at the rendezvous owner of the pool's name.
 *
 * One gather runs at a time in a pool. Its reservations are asked for one by
 * one in ascending order of endpoint ids; if one fails, all are returned and
 * the gather starts again after a growing pause, until its deadline cannot be
 * met. On success the ingress gets one grant that names all parts, and its
 * lists of held grants keep the parts alive.
 */
class GatherCoordinator {
 public:
  using Messages = std::vector<OutgoingMessage>;

  /** @param seed  for the jitter of retries; differs between VMs */
  GatherCoordinator(VmId self, PoolPolicy policy, uint64_t seed);
  GatherCoordinator(const GatherCoordinator&) = delete;
  GatherCoordinator& operator=(const GatherCoordinator&) = delete;

  /** The pool's endpoints as the summaries tell them; used by the next try. */
  void OnCandidates(std::vector<GatherCandidate> candidates);
  void OnPolicy(const PoolPolicy& policy) { policy_ = policy; }
  /** Most tokens that a gather over these endpoints can ever hold; 0 if they
   * are too few. */
  static TokenCount MaxGatherTokens(
      const std::vector<GatherCandidate>& endpoints, const PoolPolicy& policy);

  /** An ingress asks for a gather: an AdmissionRequest with an empty endpoint.
   */
  Messages OnRequest(TimePoint now, const VmId& from,
                     const AdmissionRequest& request);
  Messages OnReply(TimePoint now, const VmId& from, const GatherReply& reply);
  Messages OnCancel(TimePoint now, const VmId& from,
                    const CancelAdmission& cancel);
  Messages OnVmDown(TimePoint now, const VmId& vm);
  Messages OnTick(TimePoint now);
  TimePoint NextWakeup() const;

  /** Gathers that wait or are in progress. */
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
    std::vector<Member> members;  // ascending endpoint id; empty between tries
    TimePoint retry_at;
    int failed_rounds = 0;
  };
  struct CompletedGather {
    StreamKey key;
    VmId from;
    Grant grant;
    TimePoint at;
  };

  /** Advances the gather at the front as far as it goes without an answer. */
  void AdvanceFront(TimePoint now, Messages& out);
  /** Chooses the parts; false if even all endpoints together are too small. */
  bool PlanMembers(Gather& gather) const;
  void ReserveNext(TimePoint now, Gather& gather, Messages& out);
  void Complete(TimePoint now, Messages& out);
  /** Returns all reservations and pauses before the next try. */
  void AbortAndBackOff(TimePoint now, Gather& gather, Messages& out);
  void ReleaseMembers(Gather& gather, Messages& out);
  void Refuse(const Gather& gather, RefusalReason reason, Duration wait_hint,
              Messages& out) const;
  /** The last moment at which the gather may be complete. */
  TimePoint LatestStart(const Gather& gather) const;

  VmId self_;
  PoolPolicy policy_;
  Random random_;
  std::vector<GatherCandidate> candidates_;
  std::deque<Gather> gathers_;  // the front is in progress
  std::deque<CompletedGather> done_;
};

}  // namespace zr
