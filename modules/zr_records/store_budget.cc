#include "zr_records/store_budget.h"

#include <algorithm>
#include <numeric>

namespace zr {

std::string_view ToString(StorePurpose purpose) {
  static constexpr std::array<std::string_view, kStorePurposeCount> kNames = {
      "config", "records", "lease", "status", "endpoints"};
  return kNames[static_cast<size_t>(purpose)];
}

StoreBudget::StoreBudget(StoreBudgetOptions options) : options_(options) {
  ZR_ASSERT(std::accumulate(options_.shares.begin(), options_.shares.end(),
                            0.0) <= 1.0 + 1e-9,
            "the shares of a store budget exceed 1");
  for (size_t i = 0; i < kStorePurposeCount; ++i) {
    const auto bucket = [&](double total) {
      const double rate = total * options_.shares[i];
      return TokenBucket(rate, std::max(1.0, rate * options_.burst_seconds));
    };
    buckets_[i].reads = bucket(options_.reads_per_second);
    buckets_[i].writes = bucket(options_.writes_per_second);
  }
}

void StoreBudget::SetVmCount(int vms) {
  ZR_ASSERT(vms >= 1, "a store budget is shared by at least one VM");
  for (size_t i = 0; i < kStorePurposeCount; ++i) {
    const auto configure = [&](TokenBucket& bucket, double total) {
      const double rate = total * options_.shares[i] / std::max(1, vms);
      bucket.Configure(rate, std::max(1.0, rate * options_.burst_seconds));
    };
    configure(buckets_[i].reads, options_.reads_per_second);
    configure(buckets_[i].writes, options_.writes_per_second);
  }
}

bool StoreBudget::TryAcquire(Buckets& buckets, TokenBucket& bucket,
                             TimePoint now) {
  if (bucket.TryTake(now)) return true;
  ++buckets.refused;
  return false;
}

bool StoreBudget::TryAcquireRead(StorePurpose purpose, TimePoint now) {
  return TryAcquire(BucketsFor(purpose), BucketsFor(purpose).reads, now);
}

bool StoreBudget::TryAcquireWrite(StorePurpose purpose, TimePoint now) {
  return TryAcquire(BucketsFor(purpose), BucketsFor(purpose).writes, now);
}

bool StoreBudget::TryAcquireWatch(StorePurpose purpose, TimePoint now) {
  return TryAcquireRead(purpose, now);
}

Duration StoreBudget::TimeUntilRead(StorePurpose purpose, TimePoint now) const {
  return BucketsFor(purpose).reads.TimeUntil(now, 1);
}

Duration StoreBudget::TimeUntilWrite(StorePurpose purpose,
                                     TimePoint now) const {
  return BucketsFor(purpose).writes.TimeUntil(now, 1);
}

uint64_t StoreBudget::refused(StorePurpose purpose) const {
  return BucketsFor(purpose).refused;
}

}  // namespace zr
