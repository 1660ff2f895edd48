#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zr_admission/owner_types.h"
#include "zr_admission/work_forecast.h"
#include "zr_base/zr_base.h"

namespace zr {

/** A request that waits for admission. */
struct QueuedRequest {
  VmId from;
  AdmissionRequest request;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint busy_after = TimePoint::Max();  // answered "busy" at this time
  TokenCount kv;                            // to reserve
  TokenCount uncached_tokens;               // prompt tokens to prefill
  WorkDemand demand;
  Duration run_time;   // expected, beside the usual load
  double cost = 1;     // token cost for sharing among teams
  double density = 1;  // class weight for each second of the endpoint's time
  int32_t priority = 0;
  bool long_prompt = false;
  uint64_t arrival_sequence = 0;

  StreamKey key() const { return StreamKey{request.request, request.attempt}; }
  /** The last moment at which a start can meet the deadline. */
  TimePoint LatestStart() const {
    return deadline - run_time - EstimateMargin(run_time);
  }
  /** From here on capacity is gathered for the request, if it does not fit. */
  TimePoint ReserveAfter() const;
  /** From here on the request goes ahead of its team's turn (ageing). */
  TimePoint UrgentAfter() const;
};

/**
 * The waiting requests of an endpoint and their order: within a team by class
 * weight for the endpoint's time and by slack, among teams by deficit round
 * robin on token cost. A request that has used most of its slack goes first
 * if its team is not overserved and the endpoint refuses nothing of more worth.
 */
class AdmissionQueue {
 public:
  AdmissionQueue() = default;
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  void SetTeams(std::shared_ptr<const TeamPolicies> teams) {
    teams_ = std::move(teams);
  }

  /** Adds a request; an attempt may wait only once. */
  void Push(QueuedRequest item);
  QueuedRequest* Find(const StreamKey& key);
  /** Takes a request out without charging its team. */
  std::optional<QueuedRequest> Remove(const StreamKey& key);
  /** Takes a request out that was granted and charges its team. */
  std::optional<QueuedRequest> RemoveGranted(const StreamKey& key);
  /** Charges a team for a request that never waited. */
  void Charge(const TeamId& team, double cost);
  /** Takes all requests out. */
  std::vector<QueuedRequest> Clear();

  /** All requests in the order of service as of now. */
  std::vector<const QueuedRequest*> Ordered(TimePoint now) const;
  /** Order of service if the candidate waited as well; the candidate ends the
   * list. */
  std::vector<const QueuedRequest*> OrderedUpTo(const QueuedRequest& candidate,
                                                TimePoint now);

  /** Notes that work of this density was refused for lack of capacity. */
  void OnCapacityRefusal(TimePoint now, double density);
  /** Highest density refused of late; ageing protects nothing below it. */
  double MinDensity(TimePoint now) const;

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  const std::map<StreamKey, QueuedRequest>& items() const { return items_; }
  std::map<StreamKey, QueuedRequest>& items() { return items_; }

 private:
  struct TeamQueue {
    std::vector<const QueuedRequest*> waiting;  // best last
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
