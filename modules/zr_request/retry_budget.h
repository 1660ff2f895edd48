#pragma once

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Bounds the retries of a pool to a share of its successes, so that retries
 * cannot multiply the load of a pool whose endpoints fail.
 */
class RetryBudget {
 public:
  /**
   * @param share  retries earned by each success
   * @param floor  retries a second that are always allowed
   * @param burst  most retries saved up
   */
  explicit RetryBudget(double share = 0.1, double floor = 0.5,
                       double burst = 20)
      : share_(share), bucket_(floor, burst) {}

  /** A request of the pool completed. */
  void OnSuccess() { bucket_.Add(share_); }
  /** Takes the right to one retry; false if the budget is used up. */
  bool TryRetry(TimePoint now);
  /** TryRetry() would succeed. */
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
