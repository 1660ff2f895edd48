#pragma once

#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * How many times slower than forecast an endpoint answers, from the ratios of
 * observed to forecast times of its calls.
 *
 * Uses the lower median of the latest ratios, so that one call that was late
 * for another reason changes nothing. Calls that are overdue count with the
 * ratio that they have reached, as a slow endpoint would otherwise get many
 * more calls before the first of them is answered. Ratios that sound endpoints
 * have in normal operation give a value of exactly 1.
 */
class SlownessEstimate {
 public:
  /** Ratios from which an endpoint is taken for slow. Forecasts of sound
   * engines are exceeded by up to 1.7 at p90. */
  static constexpr double kSlowRatio = 1.8;
  /** Upper bound: one that is slower gets calls only if all others are, too. */
  static constexpr double kMaxSlowness = 12;

  /** A call was answered. */
  void Add(TimePoint now, double ratio);
  /** Updates the value; call regularly.
   * @param overdue  ratios of calls that have not been answered yet */
  void Update(TimePoint now, const std::vector<double>& overdue);
  /** From 1, if it is not slow, to kMaxSlowness. */
  double value() const { return value_; }

 private:
  struct Sample {
    TimePoint time;
    double ratio = 1;
  };

  std::vector<Sample> samples_;  // oldest first
  double value_ = 1;
  double measured_ = 1;  // value by the last evidence
  TimePoint measured_at_;
};

}  // namespace zr
