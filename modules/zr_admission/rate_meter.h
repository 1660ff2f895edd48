#pragma once

#include <cmath>

#include "zr_base/zr_base.h"

namespace zr {

/** Exponentially decaying average of a rate, in units per second. */
class RateMeter {
 public:
  /** @param time_constant  time in which past amounts decay to 1/e */
  explicit RateMeter(Duration time_constant = Duration::Seconds(5))
      : time_constant_seconds_(time_constant.seconds()) {}

  void Add(TimePoint now, double amount) {
    rate_ = RateAt(now) + amount / time_constant_seconds_;
    updated_ = now;
  }

  double RateAt(TimePoint now) const {
    const double elapsed = (now - updated_).seconds();
    return elapsed <= 0 ? rate_
                        : rate_ * std::exp(-elapsed / time_constant_seconds_);
  }

 private:
  double time_constant_seconds_;
  double rate_ = 0;
  TimePoint updated_;
};

}  // namespace zr
