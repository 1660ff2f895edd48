#include "zr_gateway/start_rule.h"

#include <algorithm>
#include <cmath>

namespace zr {

void StartRule::OnArrival(TimePoint now, double read_ms, double value) {
  const double age = std::max(0.0, (now - noted_at_).seconds());
  const double kept = std::exp2(-age / options_.memory.seconds());
  noted_at_ = now;
  value_sum_ = value_sum_ * kept + value;
  read_sum_ = read_sum_ * kept + read_ms;
}

double StartRule::UsualDensity() const {
  return read_sum_ > 0 ? value_sum_ / read_sum_ : 0;
}

StartDecision StartRule::Decide(double backlog_ms,
                                const StartFacts& facts) const {
  const bool late = facts.first_token > facts.objective_left;
  const bool ends = facts.first_token + options_.answer_time < facts.time_left;
  const double worth =
      !ends ? 0 : facts.value * (late ? options_.late_share : 1.0);
  const double price = facts.read_ms * UsualDensity() *
                       std::min(1.0, backlog_ms / options_.full_backlog_ms);
  if (ends && worth >= price) return StartDecision::kStart;
  if (CanWait(facts)) return StartDecision::kWait;
  return ends ? StartDecision::kStart : StartDecision::kRefuse;
}

StartDecision StartRule::DecideWithoutRoom(const StartFacts& facts) const {
  return CanWait(facts) ? StartDecision::kWait : StartDecision::kRefuse;
}

bool StartRule::CanWait(const StartFacts& facts) const {
  return facts.time_left - facts.soonest - options_.answer_time >
         options_.last_call;
}

}  // namespace zr
