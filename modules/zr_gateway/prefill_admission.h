#pragma once

#include <cstdint>

#include "zr_base/zr_base.h"

namespace zr {

/** Decision on a prompt with a long prefill. */
enum class PrefillDecision : uint8_t {
  kStart,
  kDefer,   // decide again later
  kRefuse,  // can't be served in time any more
};

/** A long prompt that waits for its prefill. */
struct PrefillCandidate {
  double prefill_ms = 0;          // on a single engine
  double value = 0;               // see RequestValue()
  Duration first_token;           // forecast, if it starts now
  Duration earliest_first_token;  // the same, if the pool were idle
  Duration objective_left;        // time left of the latency objective
  Duration time_left;             // until the deadline
  friend auto operator<=>(const PrefillCandidate&,
                          const PrefillCandidate&) = default;
};

/**
 * Admission control for long prompts, when they arrive faster than the pool
 * can prefill them. In first-come, first-served order every prompt of such an
 * overload would be late, as each delays the next.
 *
 * Prefill time has a price that rises with the pool's backlog, up to the mean
 * value per prefill time of recent prompts. A prompt is deferred if its value
 * is below its price; a prompt that is late already counts with a part of its
 * value. Close to its deadline a deferred prompt starts, or is refused if it
 * can't finish in time.
 */
class PrefillAdmission {
 public:
  struct Options {
    /** Mean prefill backlog per engine from which the full price holds. */
    double full_backlog_ms = 600;
    /** Share of its value with which a late answer counts. */
    double late_value_share = 0.25;
    /** Time reserved for the answer after its first token. */
    Duration decode_time = Duration::Seconds(3);
    /** Deferred prompts start once they have no more spare time than this. */
    Duration min_slack = Duration::Seconds(1);
    /** Time after which past prompts count half in the price. */
    Duration half_life = Duration::Seconds(5);
  };

  PrefillAdmission() : PrefillAdmission(Options{}) {}
  explicit PrefillAdmission(Options options) : options_(options) {}

  /** Counts a prompt in the price; call once per prompt, not on later
   * decisions. */
  void OnArrival(TimePoint now, double prefill_ms, double value);
  /** @param backlog_ms  pending prefill, mean of all engines */
  PrefillDecision Decide(double backlog_ms,
                         const PrefillCandidate& candidate) const;
  /** Decides on a prompt for which no endpoint has free memory now. */
  PrefillDecision DecideWithoutMemory(const PrefillCandidate& candidate) const;
  /** Mean value of recent prompts per millisecond of prefill. */
  double RecentValueDensity() const;

 private:
  /** The prompt can still finish in time if it starts later. */
  bool CanDefer(const PrefillCandidate& candidate) const;

  Options options_;
  TimePoint last_arrival_;
  double value_sum_ = 0;
  double prefill_ms_sum_ = 0;
};

}  // namespace zr
