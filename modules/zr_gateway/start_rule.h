#pragma once

#include <cstdint>

#include "zr_base/zr_base.h"

namespace zr {

/** What is decided about a prompt that takes much reading. */
enum class StartDecision : uint8_t {
  kStart,
  kWait,    // it is to be asked about again
  kRefuse,  // it can no longer be served
};

/** A prompt that could start now. */
struct StartFacts {
  double total_prefill_ms = 0;  // to read it on one engine
  double value = 0;             // see RequestValue()
  Duration first_token;         // forecast, if it starts now
  Duration
      earliest_first_token;  // the same, if the pool had nothing else to read
  Duration objective_left;   // until the answer is late
  Duration time_left;        // until its deadline
  friend auto operator<=>(const StartFacts&, const StartFacts&) = default;
};

/**
 * Decides which long prompts a pool reads when they arrive faster than it can
 * read them. This answers loads whose longest kind alone needs more than the
 * engines' time: served in the order of arrival, every one is late, and each
 * takes its reading time from the next.
 *
 * Reading time has a price that rises with the pool's backlog, up to the value
 * that recent prompts brought for their reading time. A prompt worth
 * less than its price waits; one that is late already is worth a part
 * of its value. Near its deadline a prompt that has waited starts, or is
 * refused if it can't end.
 */
class StartRule {
 public:
  struct Options {
    /** Reading time on each engine, in milliseconds, with the full price. */
    double full_backlog_ms = 600;
    /** Part of its value that a late answer is worth. */
    double late_value_share = 0.25;
    /** Time kept for the answer after its first token. */
    Duration decode_time = Duration::Seconds(3);
    /** A prompt that has waited until so much time is spare starts. */
    Duration min_slack = Duration::Seconds(1);
    /** Time after which past prompts count half in the price. */
    Duration half_life = Duration::Seconds(5);
  };

  StartRule() : StartRule(Options{}) {}
  explicit StartRule(Options options) : options_(options) {}

  /** A prompt has arrived; asked about again, it isn't counted again. */
  void OnArrival(TimePoint now, double total_prefill_ms, double value);
  /** @param backlog_ms  reading time not yet done, mean of all engines */
  StartDecision Decide(double backlog_ms, const StartFacts& facts) const;
  /** No endpoint has the memory for the prompt now. */
  StartDecision DecideWithoutMemory(const StartFacts& facts) const;
  /** Value that a millisecond of reading brought recently. */
  double RecentValueDensity() const;

 private:
  /** It may still end in time if the pool becomes free. */
  bool CanDefer(const StartFacts& facts) const;

  Options options_;
  TimePoint last_arrival_;
  double value_sum_ = 0;
  double prefill_ms_sum_ = 0;
};

}  // namespace zr
