#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zr_admission/owner_types.h"
#include "zr_admission/work_forecast.h"
#include "zr_base/zr_base.h"

namespace zr {

/** A request that is queued for admission. */
struct QueuedRequest {
  VmId from;
  AdmissionRequest request;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint busy_after = TimePoint::Max();  // refused as busy at this time
  TokenCount kv;                            // KV tokens to reserve
  TokenCount uncached_tokens;               // prompt tokens to prefill
  WorkDemand demand;
  Duration run_time;   // expected, at the expected batch size
  double cost = 1;     // tokens charged to the team (deficit round robin)
  double density = 1;  // class weight per second of endpoint time
  int32_t priority = 0;
  bool long_prompt = false;
  uint64_t arrival_sequence = 0;

  StreamKey key() const { return StreamKey{request.request, request.attempt}; }
  /** Latest start that is expected to meet the deadline. */
  TimePoint LatestStart() const {
    return deadline - run_time - EstimateMargin(run_time);
  }
  /** From this time on, capacity is set aside if the request doesn't fit. */
  TimePoint ReserveAfter() const;
  /** From this time on, the request precedes the round-robin order (ageing). */
  TimePoint UrgentAfter() const;
};

/**
 * The queued requests of an endpoint and their order: within a team by density
 * (class weight per endpoint time) and slack, among teams by deficit round
 * robin on token cost. A request that has used most of its slack goes first,
 * unless its team is overserved or the endpoint recently refused denser
 * requests.
 */
class AdmissionQueue {
 public:
  AdmissionQueue() = default;
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  void SetTeams(std::shared_ptr<const TeamPolicies> teams) {
    teams_ = std::move(teams);
  }

  /** Adds a request; replaces an entry of the same attempt. */
  void Push(QueuedRequest item);
  QueuedRequest* Find(const StreamKey& key);
  /** Removes a request without charging its team. */
  std::optional<QueuedRequest> Remove(const StreamKey& key);
  /** Removes a granted request and charges its team. */
  std::optional<QueuedRequest> RemoveGranted(const StreamKey& key);
  /** Charges a team for a request that wasn't queued. */
  void Charge(const TeamId& team, double cost);
  /** Removes and returns all requests. */
  std::vector<QueuedRequest> Clear();

  /** All requests in the current order of service. */
  std::vector<const QueuedRequest*> Ordered(TimePoint now) const;
  /** Requests served before the candidate if it were queued, followed by the
   * candidate. */
  std::vector<const QueuedRequest*> OrderedUpTo(const QueuedRequest& candidate,
                                                TimePoint now);

  /** Records that a request of this density was refused for lack of capacity.
   */
  void OnCapacityRefusal(TimePoint now, double density);
  /** Highest density refused recently, decaying. Less dense requests don't age,
   * and long prompts among them get no early reservation. */
  double MinDensity(TimePoint now) const;

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  const std::map<StreamKey, QueuedRequest>& items() const { return items_; }
  std::map<StreamKey, QueuedRequest>& items() { return items_; }

 private:
  struct TeamQueue {
    std::vector<const QueuedRequest*> waiting;  // ascending rank
    double deficit = 0;
    double quantum = 1;
  };

  double Quantum(const TeamId& team) const;
  bool Urgent(const QueuedRequest& item, TimePoint now) const;
  double RoundsUntilAffordable(const TeamQueue& queue) const;

  std::shared_ptr<const TeamPolicies> teams_;
  std::map<StreamKey, QueuedRequest> items_;
  std::map<TeamId, double> deficits_;
  uint64_t next_arrival_ = 1;
  double min_density_ = 0;
  TimePoint min_density_at_;
};

}  // namespace zr
