#include "zr_admission/slow_start.h"

#include <algorithm>

namespace zr {
namespace {

constexpr double kSpeedGain = 0.1;
// Averages over fewer reports are too uncertain to detect a collapse.
constexpr int64_t kMinSpeedSamples = 8;
constexpr int kLowSpeedReports = 3;

}  // namespace

void SlowStart::Configure(const PoolPolicy& policy) {
  max_limit_ = std::max<int64_t>(1, policy.max_requests);
  fresh_limit_ = std::clamp<int64_t>(policy.fresh_requests, 1, max_limit_);
  warm_after_ = std::max<int64_t>(0, policy.warm_after_requests);
  prefill_limit_ = std::max<int64_t>(1, policy.long_prefill_limit.value());
}

void SlowStart::Reset() {
  completed_ = 0;
  demonstrated_ = 0;
  average_speed_ratio_ = 0;
  speed_samples_ = 0;
  low_speed_reports_ = 0;
}

bool SlowStart::OnSpeed(double ratio) {
  if (speed_samples_ >= kMinSpeedSamples && ratio < average_speed_ratio_ / 3) {
    if (++low_speed_reports_ < kLowSpeedReports) return false;
    Reset();
    return true;
  }
  low_speed_reports_ = 0;
  const double gain =
      std::max(kSpeedGain, 1.0 / static_cast<double>(speed_samples_ + 1));
  average_speed_ratio_ += gain * (ratio - average_speed_ratio_);
  ++speed_samples_;
  return false;
}

int64_t SlowStart::StartAllowance() const {
  return std::max<int64_t>(1, fresh_limit_ / 2);
}

int64_t SlowStart::WarmUpIncrease() const {
  if (warm_after_ == 0) return 0;
  return (max_limit_ - fresh_limit_) * std::min(completed_, warm_after_) /
         warm_after_;
}

int64_t SlowStart::OwnLimit() const {
  return warm() ? max_limit_
                : std::min(max_limit_, StartAllowance() + WarmUpIncrease());
}

int64_t SlowStart::TotalLimit() const {
  if (warm()) return max_limit_;
  // A fresh endpoint handles up to its limit too, so such a count proves
  // nothing.
  return std::min(
      max_limit_,
      std::max(OwnLimit(), demonstrated_ > fresh_limit_ ? demonstrated_ : 0));
}

int64_t SlowStart::PrefillLimit() const {
  if (warm()) return prefill_limit_;
  return std::max<int64_t>(1, prefill_limit_ * OwnLimit() / max_limit_);
}

}  // namespace zr
