#pragma once

#include <vector>

#include "zr_admission/grant_table.h"
#include "zr_admission/service_time_model.h"
#include "zr_base/zr_base.h"

namespace zr {

/** Work of one request. */
struct WorkDemand {
  double prefill = 0;        // uncached prompt tokens
  double answer = 0;         // expected answer tokens
  double plain_seconds = 0;  // for plain calls
  int32_t priority = 0;      // at the engine
};

/**
 * Fluid model of an endpoint. Prompts in prefill share the prefill speed,
 * higher priorities first, as engines honour priorities. Streams decode at the
 * speed for the current batch size.
 */
class WorkForecast {
 public:
  /** Reduces the remaining work of all grants by the elapsed time. */
  static void Advance(GrantTable& grants, const ServiceTimeModel& model,
                      Duration elapsed);

  /** Number of requests that share the engine: all entries except gathered
   * reservations. */
  static int64_t Batch(const GrantTable& grants);

  /** Run time of a request that starts now next to the current grants, at the
   * given batch size. */
  static Duration RunTime(const GrantTable& grants,
                          const ServiceTimeModel& model,
                          const WorkDemand& demand, double batch);

  /** Run time of a request alone on the endpoint. */
  static Duration RunTimeAlone(const ServiceTimeModel& model,
                               const WorkDemand& demand);

  /** Remaining time of a grant.
   * @param extra  further work on the endpoint; may be nullptr */
  static Duration Remaining(const GrantTable& grants,
                            const ServiceTimeModel& model,
                            const GrantEntry& entry, double batch,
                            const WorkDemand* extra);

  /**
   * True if the added demand would make a grant miss a deadline that it is
   * expected to meet without it.
   */
  static bool WouldDelayPastDeadline(const GrantTable& grants,
                                     const ServiceTimeModel& model,
                                     const WorkDemand& demand, TimePoint now);

  /** Prompt tokens in prefill, at the given priority or higher. */
  static double PrefillInProgress(const GrantTable& grants, int32_t priority);
  /** Prompt tokens of long prompts in prefill. */
  static double LongPrefillInProgress(const GrantTable& grants);
};

/** Safety margin to add to an estimated run time. */
Duration EstimateMargin(Duration run_time);

/** Times at which KV tokens and slots become free; places queued requests in
 * order. */
class CapacityTimeline {
 public:
  CapacityTimeline(TimePoint now, TokenCount free_kv, int64_t free_slots)
      : now_(now), free_kv_(free_kv), free_slots_(free_slots) {}

  /** Adds a running request that frees its KV tokens and slot at `end`. */
  void AddRunning(TimePoint end, TokenCount kv);
  /** Places a request after all earlier ones.
   * @returns its start; TimePoint::Max() if it never fits */
  TimePoint Place(TokenCount kv, Duration run_time);
  /** Start of a request if it were placed next; doesn't place it. */
  TimePoint PeekStart(TokenCount kv) const;
  /** KV tokens free at a time, if nothing else is placed. */
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
