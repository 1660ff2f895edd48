#include "zr_gateway/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <utility>

namespace zr {
namespace {

// Grants count half after this time, in which the load of a pool may change.
constexpr double kMeterHalfLifeS = 2;
// Time for which the pool's engines stand in for grants that are not known
// yet. Also keeps the forecast finite while no late request is served.
constexpr double kPriorS = 0.3;
// Grants over which the usual time to a first token is averaged.
constexpr int64_t kUsualGrants = 16;
// A queued request is refused only if its forecast exceeds its bound by this
// factor, as the forecast varies while it waits.
constexpr double kHopelessFactor = 1.25;

}  // namespace

double EngineCostMs(const EngineProfile& profile, const PromptShape& shape) {
  const double tokens = static_cast<double>(shape.prompt.value());
  const double prefill_ms =
      tokens / profile.prefill_tokens_per_ms +
      tokens * tokens / 2 / 1e6 * profile.pairs_ms_per_million;
  const double token_ms = profile.step_ms / std::max(1, profile.slots) +
                          profile.sequence_ms +
                          profile.context_ms_per_1k * tokens / 1000;
  return prefill_ms + static_cast<double>(shape.max_answer.value()) * token_ms;
}

/** Position of a request in the order; the least goes first. */
struct PoolQueue::Rank {
  bool early_repeat = false;
  bool late = false;
  double team_usage = 0;
  bool first_attempt = true;  // goes after an instructed repeat of its team
  double domain_usage = 0;
  double cost_per_value = 0;
  TimePoint objective_at;
  uint64_t sequence = 0;
  friend auto operator<=>(const Rank&, const Rank&) = default;
};

void PoolQueue::Link(QueuedCall& call) {
  if (call.team_usage_ != nullptr) return;
  call.team_usage_ = &shares_.OfTeam(call.request.team);
  call.domain_usage_ = &shares_.OfDomain(call.request.domain);
  call.sequence_ = next_sequence_++;
}

void PoolQueue::Push(QueuedCall call) {
  Link(call);
  CallKey key = call.key;
  calls_.insert_or_assign(std::move(key), std::move(call));
}

void PoolQueue::RemoveVm(const VmId& vm) {
  std::erase_if(calls_,
                [&vm](const auto& item) { return item.first.vm == vm; });
}

QueuedCall* PoolQueue::Find(const CallKey& key) {
  const auto it = calls_.find(key);
  return it == calls_.end() ? nullptr : &it->second;
}

//==============================================================================
// Order

bool PoolQueue::HasRepeatTurn(const QueuedCall& call) const {
  if (call.repeat != RepeatKind::kInstructedRepeat) return false;
  const auto it = first_attempts_granted_.find(call.request.team);
  return it != first_attempts_granted_.end() && it->second >= kRepeatTurn - 1;
}

PoolQueue::Rank PoolQueue::RankOf(TimePoint now, const QueuedCall& call) const {
  Rank rank;
  rank.early_repeat = call.repeat == RepeatKind::kEarlyRepeat;
  rank.late = !CanMeetObjective(now, call) && !HasRepeatTurn(call);
  rank.team_usage = call.team_usage_->scaled_ms;
  rank.first_attempt = call.repeat != RepeatKind::kInstructedRepeat;
  rank.domain_usage = call.domain_usage_->scaled_ms;
  rank.cost_per_value = call.cost_ms / std::max(1.0, call.value);
  rank.objective_at = call.objective_at;
  rank.sequence = call.sequence_;
  return rank;
}

const QueuedCall* PoolQueue::Starving(TimePoint now) const {
  if (now - starvation_turn_ < kStarvationBound) return nullptr;
  const QueuedCall* oldest = nullptr;
  for (const auto& [key, call] : calls_) {
    if (call.not_before > now) continue;
    if (oldest == nullptr || call.arrived < oldest->arrived) oldest = &call;
  }
  const bool waits_long =
      oldest != nullptr && now - oldest->arrived >= kStarvationBound;
  return waits_long ? oldest : nullptr;
}

bool PoolQueue::HasStarved(TimePoint now, const QueuedCall& call) const {
  const QueuedCall* starving = Starving(now);
  return starving != nullptr && starving->key == call.key;
}

QueuedCall* PoolQueue::Next(TimePoint now, const Skipped& skipped) {
  const QueuedCall* starving = Starving(now);
  QueuedCall* best = nullptr;
  Rank best_rank;
  for (auto& [key, call] : calls_) {
    const size_t index = ClassOf(now, call);
    if (call.not_before > now || skipped.classes[index]) continue;
    if (index % 2 == 0 && call.objective_at < skipped.late_before[index / 2]) {
      continue;
    }
    if (&call == starving) return &call;
    const Rank rank = RankOf(now, call);
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &call;
    best_rank = rank;
  }
  return best;
}

bool PoolQueue::HasInTime(TimePoint now, SizeClass size) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& item) {
    return item.second.size == size && CanMeetObjective(now, item.second);
  });
}

bool PoolQueue::GoesAfterOthers(TimePoint now, QueuedCall& call) {
  Link(call);
  const Rank rank = RankOf(now, call);
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& item) {
    const QueuedCall& other = item.second;
    return other.size == call.size && other.not_before <= now &&
           other.key != call.key && RankOf(now, other) < rank;
  });
}

bool PoolQueue::CanMeetObjective(TimePoint now, const QueuedCall& call) const {
  Duration first_token = call.shortest_first_token;
  if (call.size == SizeClass::kShort) {
    first_token = std::max(first_token, usual_first_token_);
  }
  return now + first_token <= call.objective_at;
}

void PoolQueue::OnGranted(TimePoint now, const QueuedCall& call,
                          Duration expected_first_token) {
  if (HasStarved(now, call)) starvation_turn_ = now;
  shares_.Charge(now, call.request.team, call.request.domain, call.cost_ms);
  int& first_attempts = first_attempts_granted_[call.request.team];
  first_attempts = call.repeat == RepeatKind::kInstructedRepeat
                       ? 0
                       : std::min(first_attempts + 1, kRepeatTurn);
  UpdateMeter(now);
  if (call.size != SizeClass::kShort || calls_.empty()) return;
  meter_.granted_ms += call.cost_ms;
  if (now + expected_first_token > call.objective_at) {
    meter_.late_granted_ms += call.cost_ms;
    return;
  }
  usual_first_token_ =
      usual_first_token_ +
      (expected_first_token - usual_first_token_) / kUsualGrants;
}

//==============================================================================
// Forecast

void PoolQueue::UpdateMeter(TimePoint now) {
  const double elapsed_s = std::max(0.0, (now - meter_.updated).seconds());
  const double decay = std::exp2(-elapsed_s / kMeterHalfLifeS);
  meter_.updated = now;
  meter_.busy_s *= decay;
  meter_.granted_ms *= decay;
  meter_.late_granted_ms *= decay;
  if (!calls_.empty()) meter_.busy_s += std::min(elapsed_s, kMeterHalfLifeS);
}

double PoolQueue::GrantRate(double granted_ms, size_t engines) const {
  const double prior_rate =
      1000.0 * static_cast<double>(std::max<size_t>(1, engines));
  return (granted_ms + prior_rate * kPriorS) / (meter_.busy_s + kPriorS);
}

QueueForecast PoolQueue::Forecast(TimePoint now, QueuedCall& call,
                                  size_t engines) {
  Link(call);
  UpdateMeter(now);
  const Rank rank = RankOf(now, call);
  QueueForecast forecast;
  double ahead_ms = 0;
  double late_ms = 0;  // of late requests
  for (const auto& [key, other] : calls_) {
    if (other.size != SizeClass::kShort || key == call.key) continue;
    if (RankOf(now, other) < rank) {
      ++forecast.position;
      ahead_ms += other.cost_ms;
    }
    if (!CanMeetObjective(now, other)) late_ms += other.cost_ms;
  }
  const double rate = GrantRate(meter_.granted_ms, engines);
  const double late_rate = GrantRate(meter_.late_granted_ms, engines);
  double wait_s =
      CanMeetObjective(now, call) ? ahead_ms / rate : ahead_ms / late_rate;
  const double slack_s =
      (call.objective_at - now - call.shortest_first_token).seconds();
  if (CanMeetObjective(now, call) && wait_s > slack_s) {
    // Becomes late, and then waits behind those that are late already.
    wait_s = slack_s + (late_ms + ahead_ms - slack_s * rate) / late_rate;
  }
  forecast.wait = Duration::Microseconds(static_cast<int64_t>(1e6 * wait_s));
  return forecast;
}

std::vector<CallKey> PoolQueue::Hopeless(TimePoint now, size_t engines) {
  UpdateMeter(now);
  std::vector<std::pair<Rank, const QueuedCall*>> late;
  for (const auto& [key, call] : calls_) {
    if (call.size != SizeClass::kShort || CanMeetObjective(now, call)) continue;
    late.emplace_back(RankOf(now, call), &call);
  }
  std::sort(late.begin(), late.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  const double late_rate = GrantRate(meter_.late_granted_ms, engines);
  std::vector<CallKey> hopeless;
  double ahead_ms = 0;
  for (const auto& [rank, call] : late) {
    const double left_s =
        (call->latest_first_token - now - call->shortest_first_token).seconds();
    const bool keep = call->repeat == RepeatKind::kInstructedRepeat ||
                      ahead_ms / late_rate <= left_s * kHopelessFactor;
    if (keep) {
      ahead_ms += call->cost_ms;
    } else {
      hopeless.push_back(call->key);
    }
  }
  return hopeless;
}

Duration PoolQueue::DrainTime(TimePoint now, size_t engines) {
  UpdateMeter(now);
  double waiting_ms = 0;
  for (const auto& [key, call] : calls_) {
    if (call.size == SizeClass::kShort) waiting_ms += call.cost_ms;
  }
  return Duration::Microseconds(static_cast<int64_t>(
      1e6 * waiting_ms / GrantRate(meter_.granted_ms, engines)));
}

}  // namespace zr
