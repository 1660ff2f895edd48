#include "zr_base/token_bucket.h"

#include <algorithm>

namespace zr {

bool TokenBucket::TryTake(TimePoint now, double tokens) {
  level_ = LevelAt(now);
  updated_ = now;
  started_ = true;
  if (level_ < tokens) return false;
  level_ -= tokens;
  return true;
}

void TokenBucket::Add(double tokens) {
  level_ = std::min(burst_, level_ + tokens);
}

void TokenBucket::Configure(double rate, double burst) {
  rate_ = rate;
  burst_ = burst;
  level_ = std::min(level_, burst);
}

double TokenBucket::LevelAt(TimePoint now) const {
  if (!started_ || now <= updated_) return level_;
  return std::min(burst_, level_ + rate_ * (now - updated_).seconds());
}

Duration TokenBucket::TimeUntil(TimePoint now, double tokens) const {
  const double missing = tokens - LevelAt(now);
  if (missing <= 0) return Duration();
  if (rate_ <= 0 || tokens > burst_) return Duration::Max();
  return Duration::Microseconds(static_cast<int64_t>(missing / rate_ * 1e6) +
                                1);
}

}  // namespace zr
