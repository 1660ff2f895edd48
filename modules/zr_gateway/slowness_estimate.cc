#include "zr_gateway/slowness_estimate.h"

#include <algorithm>
#include <cmath>

namespace zr {
namespace {

// A value above 1 holds until the ratio falls below this, so that it doesn't
// alternate around kSlowRatio.
constexpr double kSoundRatio = 1.4;
constexpr size_t kMaxSamples = 5;
// An endpoint that becomes slow or sound does so within seconds.
constexpr Duration kSampleLife = Duration::Seconds(4);
// Without evidence, the excess over 1 halves in this time. Otherwise an
// endpoint that was slow once would get no calls that show that it has
// recovered.
constexpr Duration kForgetHalfLife = Duration::Seconds(2);

}  // namespace

void SlownessEstimate::Add(TimePoint now, double ratio) {
  samples_.push_back({now, ratio});
  if (samples_.size() > kMaxSamples) samples_.erase(samples_.begin());
  Update(now, {});
}

void SlownessEstimate::Update(TimePoint now,
                              const std::vector<double>& overdue) {
  std::erase_if(samples_, [now](const Sample& sample) {
    return now - sample.time > kSampleLife;
  });
  std::vector<double> ratios = overdue;
  for (const Sample& sample : samples_) ratios.push_back(sample.ratio);
  const bool was_slow = value_ > 1;
  const size_t needed = was_slow ? 1 : 2;
  if (ratios.size() >= needed) {
    const auto median =
        ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), median, ratios.end());
    measured_ = std::clamp(*median, 1.0, kMaxSlowness);
    measured_at_ = now;
    value_ = measured_;
  } else if (was_slow) {
    const double half_lives =
        (now - measured_at_).seconds() / kForgetHalfLife.seconds();
    value_ = 1 + (measured_ - 1) * std::exp2(-half_lives);
  }
  if (value_ < (was_slow ? kSoundRatio : kSlowRatio)) value_ = 1;
}

}  // namespace zr
