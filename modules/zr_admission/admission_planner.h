#pragma once

#include <optional>
#include <vector>

#include "zr_admission/admission_queue.h"
#include "zr_admission/engine_reconciler.h"
#include "zr_admission/grant_table.h"
#include "zr_admission/service_time_model.h"
#include "zr_admission/slow_start.h"
#include "zr_admission/work_forecast.h"

namespace zr {

/** A queued request that must be refused, and why. */
struct PlannedRefusal {
  StreamKey key;
  RefusalReason reason = RefusalReason::kDeadline;
  Duration wait_hint;
};

/** The next step for the queue: requests to refuse and one to start. */
struct Plan {
  std::vector<PlannedRefusal> refusals;
  std::optional<StreamKey> start;
};

/** KV tokens that a gather requested and that could not be reserved yet. */
struct PendingGather {
  StreamKey key;
  TokenCount kv;
  TimePoint until;
};

/**
 * Decides which queued request may start now, and estimates when the others
 * could. Only reads the owner's state.
 */
class AdmissionPlanner {
 public:
  AdmissionPlanner(const PoolPolicy& policy, const GrantTable& grants,
                   const AdmissionQueue& queue, const ServiceTimeModel& model,
                   const SlowStart& slow_start, const EngineReconciler& engine)
      : policy_(policy),
        grants_(grants),
        queue_(queue),
        model_(model),
        slow_start_(slow_start),
        engine_(engine) {}
  AdmissionPlanner(const AdmissionPlanner&) = delete;
  AdmissionPlanner& operator=(const AdmissionPlanner&) = delete;

  /** KV tokens that may still be reserved; may be negative after an import. */
  TokenCount FreeKv() const;
  /** Number of requests that may be granted now; may be negative. */
  int64_t FreeSlots(TimePoint now) const;

  /** True if KV tokens, slots and prefill limits allow the request next to the
   * current grants. */
  bool Fits(const QueuedRequest& item, TimePoint now) const;
  /** True if the request can start now and neither it nor a granted one is
   * expected to miss its deadline. */
  bool CanStart(const QueuedRequest& item, TimePoint now) const;

  /** Plans the next step. Call again after each start. */
  Plan MakePlan(TimePoint now,
                const std::optional<PendingGather>& gather) const;

  /**
   * Expected start of a request that is served after the ones ahead of it;
   * TimePoint::Max() if it never fits.
   *
   * @param ahead  requests in order of service; the last is the request itself
   */
  TimePoint ExpectedStart(const std::vector<const QueuedRequest*>& ahead,
                          TimePoint now) const;

  /** Expected time until all current grants have ended. */
  Duration DrainTime() const;
  /** A short prompt is granted only while at most this many prompt tokens are
   * in prefill. */
  double PrefillBacklogLimit() const;
  /** Expected batch size while a newly queued request runs. */
  double ExpectedBatch() const;

 private:
  /** Capacity set aside for a request that doesn't fit yet. */
  struct Reservation {
    const QueuedRequest* holder = nullptr;  // nullptr for a gather member
    TimePoint start;
    TokenCount kv;
  };

  CapacityTimeline MakeTimeline(TimePoint now, int64_t free_slots) const;
  /** Returns a reservation for the first long prompt that has waited long
   * enough. */
  std::optional<Reservation> ReserveForLongPrompt(
      const std::vector<const QueuedRequest*>& order,
      const CapacityTimeline& timeline, TimePoint now) const;
  bool BackfillAllowed(const QueuedRequest& item,
                       const Reservation& reservation,
                       const CapacityTimeline& timeline, TimePoint now) const;
  std::optional<PlannedRefusal> RefusalDue(const QueuedRequest& item,
                                           TimePoint now) const;

  const PoolPolicy& policy_;
  const GrantTable& grants_;
  const AdmissionQueue& queue_;
  const ServiceTimeModel& model_;
  const SlowStart& slow_start_;
  const EngineReconciler& engine_;
};

}  // namespace zr
