#include "zr_gateway/prefill_admission.h"

#include <algorithm>
#include <cmath>

namespace zr {

void PrefillAdmission::OnArrival(TimePoint now, double prefill_ms,
                                 double value) {
  const double age = std::max(0.0, (now - last_arrival_).seconds());
  const double decay = std::exp2(-age / options_.half_life.seconds());
  last_arrival_ = now;
  value_sum_ = value_sum_ * decay + value;
  prefill_ms_sum_ = prefill_ms_sum_ * decay + prefill_ms;
}

double PrefillAdmission::RecentValueDensity() const {
  return prefill_ms_sum_ > 0 ? value_sum_ / prefill_ms_sum_ : 0;
}

PrefillDecision PrefillAdmission::Decide(
    double backlog_ms, const PrefillCandidate& candidate) const {
  const bool late = candidate.first_token > candidate.objective_left;
  const bool meets_deadline =
      candidate.first_token + options_.decode_time < candidate.time_left;
  const double expected_value =
      !meets_deadline
          ? 0
          : candidate.value * (late ? options_.late_value_share : 1.0);
  const double price = candidate.prefill_ms * RecentValueDensity() *
                       std::min(1.0, backlog_ms / options_.full_backlog_ms);
  if (meets_deadline && expected_value >= price) return PrefillDecision::kStart;
  if (CanDefer(candidate)) return PrefillDecision::kDefer;
  return meets_deadline ? PrefillDecision::kStart : PrefillDecision::kRefuse;
}

PrefillDecision PrefillAdmission::DecideWithoutMemory(
    const PrefillCandidate& candidate) const {
  return CanDefer(candidate) ? PrefillDecision::kDefer
                             : PrefillDecision::kRefuse;
}

bool PrefillAdmission::CanDefer(const PrefillCandidate& candidate) const {
  return candidate.time_left - candidate.earliest_first_token -
             options_.decode_time >
         options_.min_slack;
}

}  // namespace zr
