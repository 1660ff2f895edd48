#pragma once

#include <vector>

#include "zr_admission/grant_table.h"
#include "zr_admission/service_time_model.h"
#include "zr_base/zr_base.h"

namespace zr {

/** The work of one request, as the forecast sees it. */
struct WorkDemand {
  double prefill = 0;        // uncached prompt tokens
  double answer = 0;         // expected answer tokens
  double plain_seconds = 0;  // for plain calls
  int32_t priority = 0;      // at the engine
};

/**
 * A fluid model of the endpoint: prompts in prefill share the prefill speed,
 * higher priorities first, as engines honour priorities; streams decode at the
 * speed of the present batch size.
 */
class WorkForecast {
 public:
  /** Moves the remaining work of all grants forward by the elapsed time. */
  static void Advance(GrantTable& grants, const ServiceTimeModel& model,
                      Duration elapsed);

  /** Requests that share the engine: all entries besides gathered reservations.
   */
  static int64_t Batch(const GrantTable& grants);

  /** Run time of a request that starts now among the grants, at the given batch
   * size. */
  static Duration RunTime(const GrantTable& grants,
                          const ServiceTimeModel& model,
                          const WorkDemand& demand, double batch);

  /** Run time of a request alone on the endpoint. */
  static Duration RunTimeAlone(const ServiceTimeModel& model,
                               const WorkDemand& demand);

  /** Remaining time of a grant, with the extra work beside it if that is given.
   */
  static Duration Remaining(const GrantTable& grants,
                            const ServiceTimeModel& model,
                            const GrantEntry& entry, double batch,
                            const WorkDemand* extra);

  /**
   * True if some grant that now meets its deadline would miss it once the
   * demand runs beside it.
   */
  static bool WouldDelayPastDeadline(const GrantTable& grants,
                                     const ServiceTimeModel& model,
                                     const WorkDemand& demand, TimePoint now);

  /** Prompt tokens in prefill, of the given and higher priorities. */
  static double PrefillInProgress(const GrantTable& grants, int32_t priority);
  /** Prompt tokens in prefill, of long prompts. */
  static double LongPrefillInProgress(const GrantTable& grants);
};

/** Time added to an estimated run time to allow for errors of the estimate. */
Duration EstimateMargin(Duration run_time);

/** Times at which memory and slots become free, for placing waiting requests in
 * order. */
class CapacityTimeline {
 public:
  CapacityTimeline(TimePoint now, TokenCount free_kv, int64_t free_slots)
      : now_(now), free_kv_(free_kv), free_slots_(free_slots) {}

  /** A running request that frees its memory and slot at the given time. */
  void AddRunning(TimePoint end, TokenCount kv);
  /** Places a request after all placed before. @returns its start, Max() if it
   * never fits. */
  TimePoint Place(TokenCount kv, Duration run_time);
  /** Start of a request if it were placed next, without placing it. */
  TimePoint PeekStart(TokenCount kv) const;
  /** Memory free at a time, if nothing else is placed. */
  TokenCount FreeKvAt(TimePoint time) const;
  /** Slots free at a time, if nothing else is placed. */
  int64_t FreeSlotsAt(TimePoint time) const;

 private:
  struct Completion {
    TimePoint at;
    TokenCount kv;
    friend auto operator<=>(const Completion&, const Completion&) = default;
  };

  TimePoint now_;
  TokenCount free_kv_;
  int64_t free_slots_;
  std::vector<Completion> completions_;  // min-heap by time
};

}  // namespace zr
