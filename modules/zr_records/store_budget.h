#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** Purpose of a call to the object API. */
enum class StorePurpose : uint8_t {
  kConfig,
  kRecords,
  kLease,
  kStatus,
  kEndpoints
};

inline constexpr size_t kStorePurposeCount = 5;

/** "config", "records", "lease", "status" or "endpoints". */
std::string_view ToString(StorePurpose purpose);

struct StoreBudgetOptions {
  double reads_per_second =
      1'600;  // of all VMs; below the platform's limit of 2,000
  double writes_per_second =
      240;  // of all VMs; below the platform's limit of several hundred
  double burst_seconds =
      2;  // burst of a bucket, in seconds of its rate; at least one call
  /** Share of each purpose, in the order of StorePurpose. The sum is at most 1.
   */
  std::array<double, kStorePurposeCount> shares = {0.15, 0.6, 0.05, 0.1, 0.1};
};

/**
 * Rate limiter for one VM's share of the object API's rate, split by purpose.
 * Purposes do not borrow from one another, so that a burst of record calls
 * delays neither the configuration nor the lease.
 */
class StoreBudget {
 public:
  explicit StoreBudget(StoreBudgetOptions options);

  /**
   * Sets the number of VMs that share the rate.
   *
   * @param vms  live VMs including this one, at least 1
   */
  void SetVmCount(int vms);

  /** Takes a permit for one get or list. Returns false if the limit is
   * exceeded; the caller then waits or rejects its request. */
  bool TryAcquireRead(StorePurpose purpose, TimePoint now);
  /** Takes a permit for one put or delete. */
  bool TryAcquireWrite(StorePurpose purpose, TimePoint now);
  /** Takes a permit for one watch, which counts as one read regardless of its
   * duration. */
  bool TryAcquireWatch(StorePurpose purpose, TimePoint now);

  /** Time until TryAcquireRead can succeed; Duration::Max() if never. */
  Duration TimeUntilRead(StorePurpose purpose, TimePoint now) const;
  /** Time until TryAcquireWrite can succeed; Duration::Max() if never. */
  Duration TimeUntilWrite(StorePurpose purpose, TimePoint now) const;

  /** Number of calls rejected since the start. */
  uint64_t refused(StorePurpose purpose) const;

 private:
  struct Buckets {
    TokenBucket reads{0, 0};
    TokenBucket writes{0, 0};
    uint64_t refused = 0;
  };

  bool TryAcquire(Buckets& buckets, TokenBucket& bucket, TimePoint now);
  Buckets& BucketsFor(StorePurpose purpose) {
    return buckets_[static_cast<size_t>(purpose)];
  }
  const Buckets& BucketsFor(StorePurpose purpose) const {
    return buckets_[static_cast<size_t>(purpose)];
  }

  StoreBudgetOptions options_;
  std::array<Buckets, kStorePurposeCount> buckets_;
};

}  // namespace zr
