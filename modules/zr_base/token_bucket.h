#pragma once

#include "zr_base/time.h"

namespace zr {

/** A token bucket whose clock is passed in. */
class TokenBucket {
 public:
  /**
   * @param rate   tokens added a second
   * @param burst  most tokens held; the bucket starts full
   */
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  /** Takes tokens if the bucket holds them. */
  bool TryTake(TimePoint now, double tokens = 1.0);
  /** Adds tokens, up to the burst. */
  void Add(double tokens);
  /** Changes rate and burst, keeping the level. */
  void Configure(double rate, double burst);
  /** Tokens held at the given time. */
  double LevelAt(TimePoint now) const;
  /** Time until the given number of tokens is held; Duration::Max() if never.
   */
  Duration TimeUntil(TimePoint now, double tokens) const;

 private:
  double rate_;
  double burst_;
  double level_;
  TimePoint updated_;
  bool started_ = false;
};

}  // namespace zr
