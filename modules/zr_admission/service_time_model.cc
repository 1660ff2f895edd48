#include "zr_admission/service_time_model.h"

#include <algorithm>
#include <cmath>

namespace zr {
namespace {

// Weight of a new observation in the running means.
constexpr double kGain = 0.15;
// Initial estimate of the decode slowdown, until it is observed: a batch of
// about this many streams halves the speed of each stream.
constexpr double kHalvingBatch = 64;
// An observation has full weight if its prefill takes at least this long.
constexpr double kFullWeightPrefillSeconds = 1;
// In prefills of this length, errors of the estimated contention average out.
constexpr double kLongPrefillSeconds = 0.5;
// A prefill is uncontended up to this factor of its time without contention.
constexpr double kUncontendedFactor = 1.2;
// Shorter answers don't show the decode speed.
constexpr double kMinAnswerTokens = 8;
// An answer shows the effect of prefill on decode if the overlap is at least
// this share of its time.
constexpr double kMinOverlapShare = 0.25;
constexpr double kMaxStalledShare = 0.5;
constexpr double kMinDecodeShare = 0.05;
// Slows increases of the overlap decode share. The overlap time is itself an
// estimate and often too long, which makes the share look too high, and a late
// answer costs more than unused capacity.
constexpr double kUpwardGainFactor = 0.05;
// Answer shares are used after this many observations.
constexpr int64_t kMinSamples = 8;
constexpr double kInitialPlainSeconds = 0.05;
// Observed speeds are clamped to these factors of the initial estimate, so that
// an outlier (such as a stalled caller) doesn't distort the model.
constexpr double kMinSpeedFactor = 0.02;
constexpr double kMaxSpeedFactor = 50;

}  // namespace

ServiceTimeModel::ServiceTimeModel(const PoolPolicy& policy)
    : initial_prefill_speed_(static_cast<double>(
          std::max<int64_t>(1, policy.prefill_tokens_per_second))),
      initial_decode_speed_(static_cast<double>(
          std::max<int64_t>(1, policy.decode_tokens_per_second))),
      prefill_speed_(initial_prefill_speed_) {}

void ServiceTimeModel::RunningMean::Add(double value) {
  // Arithmetic mean of the first observations, exponential average afterwards.
  const double gain = std::max(kGain, 1.0 / static_cast<double>(samples + 1));
  const double error = value - mean;
  mean += gain * error;
  deviation += gain * (std::abs(error) - deviation);
  if (samples == 0) deviation = 0;
  ++samples;
}

void ServiceTimeModel::ObserveModelCall(const Observation& o) {
  if (o.max_answer > 0) {
    answer_share_[o.request_class].Add(
        std::min(1.0, o.answered / o.max_answer));
  }
  const double run = o.run_time.seconds();
  if (run <= 0) return;
  const double prefill = o.prefill_seconds;
  // During the overlap the answer proceeds at a share of the decode speed; the
  // rest of the overlap is a stall.
  const double stalled = o.overlap_seconds * (1 - overlap_decode_share_);
  const double decode = o.answered / DecodeSpeed(o.batch) + stalled;
  const double measured_prefill = o.first_token.seconds();
  if (measured_prefill > 0 && measured_prefill < run) {
    CorrectPrefill(o, measured_prefill);
    CorrectAnswer(o, run - measured_prefill);
  } else if (decode >= prefill) {
    // Without the time to first token, correct only the longer of prefill and
    // decode: small errors of the longer one are large for the shorter one.
    CorrectAnswer(o, std::max(run - prefill, run * 0.1));
  } else {
    CorrectPrefill(o, std::max(run - decode, run * 0.1));
  }
}

void ServiceTimeModel::CorrectPrefill(const Observation& o, double measured) {
  const double alone = o.prefill_tokens / prefill_speed_;
  if (alone <= 0 || measured <= 0) return;
  double ratio = 1;
  if (measured < alone) {
    // Faster than expected without contention: the speed is at least this.
    ratio = alone / measured;
  } else if (alone >= kLongPrefillSeconds ||
             o.prefill_seconds <= alone * kUncontendedFactor) {
    ratio = o.prefill_seconds / measured;
  } else {
    // The contention among short prompts is estimated too inaccurately.
    return;
  }
  // Short prefills have a low weight: their times include network delays.
  const double gain = kGain * std::min(1.0, alone / kFullWeightPrefillSeconds);
  prefill_speed_ = std::clamp(
      prefill_speed_ * (1 + gain * (std::clamp(ratio, 0.5, 2.0) - 1)),
      initial_prefill_speed_ * kMinSpeedFactor,
      initial_prefill_speed_ * kMaxSpeedFactor);
}

void ServiceTimeModel::CorrectAnswer(const Observation& o, double measured) {
  const double overlap = std::min(o.overlap_seconds, measured);
  if (o.answered >= kMinAnswerTokens &&
      overlap >= measured * kMinOverlapShare) {
    // Tokens not explained by the time without overlap were decoded during it.
    const double speed = DecodeSpeed(o.batch);
    const double share =
        (o.answered - speed * (measured - overlap)) / (speed * overlap);
    const double measured_share = std::clamp(share, kMinDecodeShare, 1.0);
    const double gain = measured_share < overlap_decode_share_
                            ? kGain
                            : kGain * kUpwardGainFactor;
    overlap_decode_share_ += gain * (measured_share - overlap_decode_share_);
    // A stalled answer doesn't show the decode speed without overlap.
    if (share < kMaxStalledShare) return;
  }
  CorrectDecode(o, std::max(measured - overlap * (1 - overlap_decode_share_),
                            measured * 0.1));
}

void ServiceTimeModel::CorrectDecode(const Observation& o, double measured) {
  if (o.answered < kMinAnswerTokens || measured <= 0) return;
  const double prior = PriorDecodeSpeed(o.batch);
  const double before = DecodeSpeed(o.batch) / prior;
  const double ratio =
      std::clamp(o.answered / measured / prior, before * 0.5, before * 2);
  decode_ratio_[BucketOf(o.batch)] = std::clamp(
      before + kGain * (ratio - before), kMinSpeedFactor, kMaxSpeedFactor);
}

void ServiceTimeModel::ObservePlainCall(const ClassId& request_class,
                                        Duration run_time) {
  plain_time_[request_class].Add(run_time.seconds());
}

int ServiceTimeModel::BucketOf(double batch) {
  const double level = std::round(std::log2(std::max(1.0, batch)));
  return std::clamp(static_cast<int>(level), 0, kBuckets - 1);
}

double ServiceTimeModel::PriorDecodeSpeed(double batch) const {
  return initial_decode_speed_ /
         (1.0 + (std::max(1.0, batch) - 1.0) / kHalvingBatch);
}

double ServiceTimeModel::RatioOf(int bucket) const {
  // The nearest bucket with observations corrects the initial estimate.
  for (int distance = 0; distance < kBuckets; ++distance) {
    for (const int near : {bucket + distance, bucket - distance}) {
      if (near >= 0 && near < kBuckets && decode_ratio_[near] > 0) {
        return decode_ratio_[near];
      }
    }
  }
  return 1;
}

double ServiceTimeModel::DecodeSpeed(double batch) const {
  // Interpolates between buckets: with a step up at a bucket's edge, adding a
  // stream would seem to speed up the others.
  const double level =
      std::clamp(std::log2(std::max(1.0, batch)), 0.0, kBuckets - 1.0);
  const int low = std::min(static_cast<int>(level), kBuckets - 2);
  const double fraction = level - low;
  return PriorDecodeSpeed(batch) *
         (RatioOf(low) * (1 - fraction) + RatioOf(low + 1) * fraction);
}

double ServiceTimeModel::AnswerSeconds(double answer, double batch,
                                       double overlap_seconds) const {
  const double speed = DecodeSpeed(batch);
  const double overlap_tokens = speed * overlap_decode_share_ * overlap_seconds;
  if (answer <= overlap_tokens) return answer / (speed * overlap_decode_share_);
  return overlap_seconds + (answer - overlap_tokens) / speed;
}

double ServiceTimeModel::ExpectedAnswer(const ClassId& request_class,
                                        TokenCount max_answer) const {
  const auto bound =
      static_cast<double>(std::max<int64_t>(0, max_answer.value()));
  const auto it = answer_share_.find(request_class);
  if (it == answer_share_.end() || it->second.samples < kMinSamples) {
    return bound;
  }
  // Two deviations above the mean: a longer answer than expected makes the
  // request late, a shorter one only leaves capacity unused for a moment.
  return bound * std::min(1.0, it->second.mean + 2 * it->second.deviation);
}

Duration ServiceTimeModel::PlainCallTime(const ClassId& request_class) const {
  const auto it = plain_time_.find(request_class);
  const double seconds = it == plain_time_.end()
                             ? kInitialPlainSeconds
                             : it->second.mean + 2 * it->second.deviation;
  return Duration::Microseconds(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace zr
