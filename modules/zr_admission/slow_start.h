#pragma once

#include <algorithm>
#include <cstdint>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/**
 * How much a possibly fresh endpoint may carry.
 *
 * Two VMs may each believe that they own an endpoint. Each starts at half of
 * what a fresh endpoint bears and grows only with the work that it saw
 * completed, so their sum stays within what the endpoint bears.
 */
class SlowStart {
 public:
  explicit SlowStart(const PoolPolicy& policy) { Configure(policy); }

  void Configure(const PoolPolicy& policy);
  /** The endpoint is (or acts like) a freshly started one. */
  void Reset();
  /** A call ended normally. */
  void OnCompleted() { ++completed_; }
  /**
   * Observed speed relative to the expected one, from a load report. Three
   * successive values below a third of the average reset the ramp.
   *
   * @returns true if the ramp was reset
   */
  bool OnSpeed(double ratio);
  /** Requests that a previous owner's grants show the endpoint to bear. */
  void SetDemonstratedLoad(int64_t requests) { demonstrated_ = requests; }
  /** The endpoint is known to be warm. */
  void SetWarm() { completed_ = std::max(completed_, warm_after_); }

  /** Start-up allowance A: half of what a fresh endpoint bears, at least 1. */
  int64_t StartAllowance() const;
  /** Concurrent requests that this owner may have granted. */
  int64_t OwnLimit() const;
  /**
   * Concurrent requests, those of others included. Another owner may add its
   * own limit at the same moment, so the two of them must fit.
   */
  int64_t TotalLimit() const;
  /** Prompt tokens in prefill at once; a single larger prompt may go alone. */
  int64_t PrefillLimit() const;
  bool warm() const { return completed_ >= warm_after_; }
  uint64_t completed() const { return static_cast<uint64_t>(completed_); }

 private:
  int64_t WarmUpIncrease() const;

  int64_t fresh_limit_ = 1;
  int64_t max_limit_ = 1;
  int64_t warm_after_ = 0;
  int64_t prefill_limit_ = 0;
  int64_t completed_ = 0;
  int64_t demonstrated_ = 0;
  double average_speed_ratio_ = 0;
  int64_t speed_samples_ = 0;
  int low_speed_reports_ = 0;
};

}  // namespace zr
