#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * A histogram of durations with logarithmic buckets. Quantiles are off by at
 * most 3.2%, the width of a bucket.
 */
class LoadHistogram {
 public:
  void Add(Duration sample);
  void Merge(const LoadHistogram& other);

  int64_t count() const { return count_; }
  /** Quantile in milliseconds, 0 without samples. @param q  0 to 1 */
  double QuantileMs(double q) const;
  double MeanMs() const;

  /** {"count","sum_us","max_us","buckets":{"index":count}} with the quantiles
   * for readers. */
  nlohmann::json ToJson() const;
  static LoadHistogram FromJson(const nlohmann::json& json);

 private:
  std::map<int, int64_t> buckets_;
  int64_t count_ = 0;
  int64_t sum_us_ = 0;
  int64_t max_us_ = 0;
};

}  // namespace zr
