#include "zinniarill_load/load_histogram.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace zr {
namespace {

// Buckets a doubling of the duration.
constexpr double kBucketsPerOctave = 22;

int BucketOf(int64_t us) {
  return static_cast<int>(
      std::floor(std::log2(static_cast<double>(us)) * kBucketsPerOctave));
}

/** Upper edge of a bucket. */
double EdgeMs(int bucket) {
  return std::exp2((bucket + 1) / kBucketsPerOctave) / 1e3;
}

}  // namespace

void LoadHistogram::Add(Duration sample) {
  const int64_t us = std::max<int64_t>(1, sample.microseconds());
  ++buckets_[BucketOf(us)];
  ++count_;
  sum_us_ += us;
  max_us_ = std::max(max_us_, us);
}

void LoadHistogram::Merge(const LoadHistogram& other) {
  for (const auto& [bucket, count] : other.buckets_) buckets_[bucket] += count;
  count_ += other.count_;
  sum_us_ += other.sum_us_;
  max_us_ = std::max(max_us_, other.max_us_);
}

double LoadHistogram::QuantileMs(double q) const {
  if (count_ == 0) return 0;
  const auto rank =
      std::max<int64_t>(1, static_cast<int64_t>(std::ceil(q * count_)));
  int64_t seen = 0;
  for (const auto& [bucket, count] : buckets_) {
    seen += count;
    if (seen >= rank) {
      return std::min(EdgeMs(bucket), static_cast<double>(max_us_) / 1e3);
    }
  }
  return static_cast<double>(max_us_) / 1e3;
}

double LoadHistogram::MeanMs() const {
  return count_ == 0
             ? 0
             : static_cast<double>(sum_us_) / 1e3 / static_cast<double>(count_);
}

nlohmann::json LoadHistogram::ToJson() const {
  nlohmann::json buckets = nlohmann::json::object();
  for (const auto& [bucket, count] : buckets_) {
    buckets[std::to_string(bucket)] = count;
  }
  return {{"count", count_},
          {"sum_us", sum_us_},
          {"max_us", max_us_},
          {"p50_ms", QuantileMs(0.5)},
          {"p95_ms", QuantileMs(0.95)},
          {"p99_ms", QuantileMs(0.99)},
          {"buckets", std::move(buckets)}};
}

LoadHistogram LoadHistogram::FromJson(const nlohmann::json& json) {
  LoadHistogram histogram;
  if (!json.is_object()) return histogram;
  histogram.count_ = json.value("count", int64_t{0});
  histogram.sum_us_ = json.value("sum_us", int64_t{0});
  histogram.max_us_ = json.value("max_us", int64_t{0});
  const auto buckets = json.value("buckets", nlohmann::json::object());
  for (const auto& [bucket, count] : buckets.items()) {
    histogram.buckets_[std::stoi(bucket)] = count;
  }
  return histogram;
}

}  // namespace zr
