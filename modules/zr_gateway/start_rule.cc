#include "zr_gateway/start_rule.h"

#include <algorithm>
#include <cmath>

namespace zr {

void StartRule::OnArrival(TimePoint now, double total_prefill_ms,
                          double value) {
  const double age = std::max(0.0, (now - last_arrival_).seconds());
  const double decay = std::exp2(-age / options_.half_life.seconds());
  last_arrival_ = now;
  value_sum_ = value_sum_ * decay + value;
  prefill_ms_sum_ = prefill_ms_sum_ * decay + total_prefill_ms;
}

double StartRule::RecentValueDensity() const {
  return prefill_ms_sum_ > 0 ? value_sum_ / prefill_ms_sum_ : 0;
}

StartDecision StartRule::Decide(double backlog_ms,
                                const StartFacts& facts) const {
  const bool late = facts.first_token > facts.objective_left;
  const bool meets_deadline =
      facts.first_token + options_.decode_time < facts.time_left;
  const double expected_value =
      !meets_deadline ? 0
                      : facts.value * (late ? options_.late_value_share : 1.0);
  const double price = facts.total_prefill_ms * RecentValueDensity() *
                       std::min(1.0, backlog_ms / options_.full_backlog_ms);
  if (meets_deadline && expected_value >= price) return StartDecision::kStart;
  if (CanDefer(facts)) return StartDecision::kWait;
  return meets_deadline ? StartDecision::kStart : StartDecision::kRefuse;
}

StartDecision StartRule::DecideWithoutMemory(const StartFacts& facts) const {
  return CanDefer(facts) ? StartDecision::kWait : StartDecision::kRefuse;
}

bool StartRule::CanDefer(const StartFacts& facts) const {
  return facts.time_left - facts.earliest_first_token - options_.decode_time >
         options_.min_slack;
}

}  // namespace zr
