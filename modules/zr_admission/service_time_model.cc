#include "zr_admission/service_time_model.h"

#include <algorithm>
#include <cmath>

namespace zr {
namespace {

// Weight of a new observation in the running means.
constexpr double kGain = 0.15;
// The first estimate of the decode slow-down: a batch of this many streams
// halves the speed of each. Observation replaces it.
constexpr double kHalvingBatch = 64;
// Answer shares and plain times are used after this many observations.
constexpr int64_t kMinSamples = 8;
constexpr double kFirstPlainSeconds = 0.05;
// Observed speeds outside these factors of the first estimate are clamped, so
// that one odd call (a stalled caller) does not distort the model.
constexpr double kLowestFactor = 0.02;
constexpr double kHighestFactor = 50;

}  // namespace

ServiceTimeModel::ServiceTimeModel(const PoolPolicy& policy)
    : first_prefill_(static_cast<double>(std::max<int64_t>(1, policy.prefill_tokens_per_second))),
      first_decode_(static_cast<double>(std::max<int64_t>(1, policy.decode_tokens_per_second))),
      prefill_(first_prefill_) {}

void ServiceTimeModel::Running::Add(double value) {
  // The first observations are averaged evenly, later ones exponentially.
  const double gain = std::max(kGain, 1.0 / static_cast<double>(samples + 1));
  const double error = value - mean;
  mean += gain * error;
  deviation += gain * (std::abs(error) - deviation);
  if (samples == 0) deviation = 0;
  ++samples;
}

void ServiceTimeModel::ObserveModelCall(const Observation& o) {
  if (o.max_answer > 0)
    answer_share_[o.request_class].Add(std::min(1.0, o.answered / o.max_answer));
  const double run = o.run_time.seconds();
  if (run <= 0) return;
  const double decode_time = o.answered / DecodeSpeed(o.batch);
  // The part that dominates the expected time takes the correction; the other
  // part would amplify small errors of the first.
  if (decode_time >= o.prefill_seconds) {
    const double observed = o.answered / std::max(run - o.prefill_seconds, run * 0.1);
    const double ratio = observed / PriorDecodeSpeed(o.batch);
    decode_ratio_[BucketOf(o.batch)].Add(std::clamp(ratio, kLowestFactor, kHighestFactor));
  } else {
    const double observed = prefill_ * o.prefill_seconds / std::max(run - decode_time, run * 0.1);
    const double bounded =
        std::clamp(observed, first_prefill_ * kLowestFactor, first_prefill_ * kHighestFactor);
    prefill_ += kGain * (bounded - prefill_);
  }
}

void ServiceTimeModel::ObservePlainCall(const ClassId& request_class, Duration run_time) {
  plain_time_[request_class].Add(run_time.seconds());
}

int ServiceTimeModel::BucketOf(double batch) {
  const double level = std::ceil(std::log2(std::max(1.0, batch)));
  return std::clamp(static_cast<int>(level), 0, kBuckets - 1);
}

double ServiceTimeModel::BucketSize(int bucket) { return std::exp2(bucket); }

double ServiceTimeModel::PriorDecodeSpeed(double batch) const {
  return first_decode_ / (1.0 + (std::max(1.0, batch) - 1.0) / kHalvingBatch);
}

double ServiceTimeModel::DecodeSpeed(double batch) const {
  const int wanted = BucketOf(batch);
  // The nearest bucket with observations corrects the first estimate; a larger
  // batch is preferred at equal distance because it gives the lower speed.
  for (int distance = 0; distance < kBuckets; ++distance) {
    for (int bucket : {wanted + distance, wanted - distance}) {
      if (bucket < 0 || bucket >= kBuckets || decode_ratio_[bucket].samples == 0) continue;
      return PriorDecodeSpeed(batch) * decode_ratio_[bucket].mean;
    }
  }
  return PriorDecodeSpeed(batch);
}

double ServiceTimeModel::ExpectedAnswer(const ClassId& request_class, TokenCount max_answer) const {
  const auto bound = static_cast<double>(std::max<int64_t>(0, max_answer.value()));
  const auto it = answer_share_.find(request_class);
  if (it == answer_share_.end() || it->second.samples < kMinSamples) return bound;
  // Two deviations above the mean: an answer longer than expected makes its
  // request late, a shorter one only leaves capacity for a moment.
  return bound * std::min(1.0, it->second.mean + 2 * it->second.deviation);
}

Duration ServiceTimeModel::PlainTime(const ClassId& request_class) const {
  const auto it = plain_time_.find(request_class);
  const double seconds =
      it == plain_time_.end() ? kFirstPlainSeconds : it->second.mean + 2 * it->second.deviation;
  return Duration::Microseconds(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace zr
