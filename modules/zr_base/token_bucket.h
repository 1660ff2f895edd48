#pragma once

#include "zr_base/time.h"

namespace zr {

/** A token bucket that takes the current time as a parameter. */
class TokenBucket {
 public:
  /**
   * @param rate   tokens added per second
   * @param burst  maximum number of tokens; the bucket starts full
   */
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  /** Takes the tokens and returns true if the bucket holds enough. */
  bool TryTake(TimePoint now, double tokens = 1.0);
  /** Adds tokens, up to the burst size. */
  void Add(double tokens);
  /** Changes rate and burst size; keeps the level, up to the new burst size. */
  void Configure(double rate, double burst);
  /** Returns the number of tokens at the given time. */
  double LevelAt(TimePoint now) const;
  /**
   * Returns the time until the bucket holds the given number of tokens;
   * Duration::Max() if never.
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
