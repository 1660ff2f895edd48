#pragma once

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Limits the retries of a pool to a share of its successful requests, so that
 * retries cannot multiply the load of a pool whose endpoints fail.
 */
class RetryBudget {
 public:
  /**
   * @param share     retries earned by each success
   * @param min_rate  retries per second that are always allowed
   * @param burst     maximum number of accumulated retries
   */
  explicit RetryBudget(double share = 0.1, double min_rate = 0.5,
                       double burst = 20)
      : share_(share), bucket_(min_rate, burst) {}

  /** A request of the pool completed. */
  void OnSuccess() { bucket_.Add(share_); }
  /** Consumes one retry; false if the budget is exhausted. */
  bool TryRetry(TimePoint now);
  /** Whether TryRetry() would succeed. */
  bool CanRetry(TimePoint now) const { return bucket_.LevelAt(now) >= 1; }

  /** Retries allowed and refused so far. */
  uint64_t allowed() const { return allowed_; }
  uint64_t refused() const { return refused_; }

 private:
  double share_;
  TokenBucket bucket_;
  uint64_t allowed_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace zr
