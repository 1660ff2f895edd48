#pragma once

#include <cmath>

#include "zr_base/zr_base.h"

namespace zr {

/** An exponentially fading rate, in units a second. */
class RateMeter {
 public:
  /** @param fade  time in which past amounts fade to 1/e */
  explicit RateMeter(Duration fade = Duration::Seconds(5))
      : fade_seconds_(fade.seconds()) {}

  void Add(TimePoint now, double amount) {
    rate_ = RateAt(now) + amount / fade_seconds_;
    updated_ = now;
  }

  double RateAt(TimePoint now) const {
    const double elapsed = (now - updated_).seconds();
    return elapsed <= 0 ? rate_ : rate_ * std::exp(-elapsed / fade_seconds_);
  }

 private:
  double fade_seconds_;
  double rate_ = 0;
  TimePoint updated_;
};

}  // namespace zr
