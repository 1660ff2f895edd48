#pragma once

#include <algorithm>
#include <cstdint>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/**
 * Limits the load of an endpoint that may be fresh.
 *
 * Two VMs may own the endpoint at the same time. Each starts at half the limit
 * of a fresh endpoint and raises its limit only with the work that it saw
 * completed, so together they stay within what the endpoint can handle.
 */
class SlowStart {
 public:
  explicit SlowStart(const PoolPolicy& policy) { Configure(policy); }

  void Configure(const PoolPolicy& policy);
  /** Restarts slow start: the endpoint is fresh or behaves like a fresh one. */
  void Reset();
  /** Counts a call that ended normally. */
  void OnCompleted() { ++completed_; }
  /**
   * Handles the observed speed from a load report, relative to the expected
   * one. Three successive values below a third of the average cause a reset.
   *
   * @returns true if slow start was reset
   */
  bool OnSpeed(double ratio);
  /** Sets the concurrent requests that the endpoint is known to handle, from
   * the grants found at a takeover. */
  void SetDemonstratedLoad(int64_t requests) { demonstrated_ = requests; }
  /** Ends slow start: the endpoint is known to be warm. */
  void SetWarm() { completed_ = std::max(completed_, warm_after_); }

  /** Start-up allowance: half the limit of a fresh endpoint, at least 1. */
  int64_t StartAllowance() const;
  /** Limit of concurrent requests granted by this owner. */
  int64_t OwnLimit() const;
  /**
   * Limit of concurrent requests, including foreign ones. Another owner may use
   * its own limit at the same time, so both together must fit.
   */
  int64_t TotalLimit() const;
  /** Limit of prompt tokens in prefill; a larger prompt may run alone. */
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
