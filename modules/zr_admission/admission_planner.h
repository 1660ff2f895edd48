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

/** What to do next with the queue. */
struct Plan {
  std::vector<PlannedRefusal> refusals;
  std::optional<StreamKey> start;
};

/** Memory wanted by a gather that could not be reserved yet. */
struct PendingGather {
  StreamKey key;
  TokenCount kv;
  TimePoint until;
};

/**
 * Decides which queued request may start now and when others could. Reads the
 * owner's state and changes nothing but the take-over state's end.
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

  /** Memory that may still be reserved; may be negative after an import. */
  TokenCount FreeKv() const;
  /** Requests that may still be granted now; may be negative. */
  int64_t FreeSlots(TimePoint now) const;

  /** True if memory, slots and prefill bounds allow the request beside the
   * grants. */
  bool Fits(const QueuedRequest& item, TimePoint now) const;
  /** True if the request can start now without itself or a grant becoming late.
   */
  bool CanStart(const QueuedRequest& item, TimePoint now) const;

  /** The next step for the queue. Call again after carrying out a start. */
  Plan MakePlan(TimePoint now,
                const std::optional<PendingGather>& gather) const;

  /**
   * Expected start of a request after those ahead of it; TimePoint::Max() if
   * it never fits.
   *
   * @param ahead  order of service, of which the last is the request itself
   */
  TimePoint ExpectedStart(const std::vector<const QueuedRequest*>& ahead,
                          TimePoint now) const;

  /** Time until all present grants have ended. */
  Duration DrainTime() const;
  /** Prompt tokens that may be in prefill before another short prompt is
   * granted. */
  double PrefillBacklogLimit() const;
  /** Batch size to expect when a request starts now or later. */
  double ExpectedBatch() const;

 private:
  /** Capacity that is gathered for a request which does not fit yet. */
  struct Reservation {
    const QueuedRequest* holder = nullptr;  // nullptr for a part of a gather
    TimePoint start;
    TokenCount kv;
  };

  CapacityTimeline MakeTimeline(TimePoint now, int64_t free_slots) const;
  /** The reservation of the first long prompt that has waited long enough for
   * one. */
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
