#include "zr_admission/admission_planner.h"

#include <algorithm>

namespace zr {
namespace {

// Requests of the queue that are tried for a start; bounds the time of a plan.
constexpr int kMaxExamined = 64;

}  // namespace

TokenCount AdmissionPlanner::FreeKv() const { return engine_.KvLimit() - grants_.reserved(); }

int64_t AdmissionPlanner::FreeSlots() const {
  int64_t own = ramp_.OwnLimit() - grants_.OwnCount();
  const int64_t total = ramp_.TotalLimit() - grants_.size() - engine_.foreign_requests();
  if (engine_.taking_over()) {
    // What an earlier owner granted is not known yet, so only the start-up
    // allowance may be added to it.
    const TimePoint since = engine_.TakeOverSince();
    int64_t granted = 0;
    for (const auto& [key, entry] : grants_.entries()) {
      if (!entry.adopted && entry.granted >= since) ++granted;
    }
    own = std::min(own, ramp_.StartAllowance() - granted);
  }
  if (policy_.kind == PoolKind::kModel && !engine_.BootConfirmed()) {
    // The engine may have restarted unnoticed while nothing ran on it.
    own = std::min(own, ramp_.StartAllowance() - grants_.OwnCount());
  }
  return std::min(own, total);
}

bool AdmissionPlanner::Fits(const QueuedRequest& item) const {
  if (grants_.AnyRunAlone() || FreeSlots() < 1) return false;
  if (item.request.run_alone &&
      (grants_.size() > 0 || engine_.foreign_requests() > 0 || engine_.taking_over())) {
    return false;
  }
  if (item.request.plain_service) return true;
  if (!engine_.has_load() || FreeKv() < item.kv) return false;
  const double prefill = WorkForecast::PrefillInProgress(grants_, false);
  const auto added = static_cast<double>(item.uncached.value());
  if (!ramp_.warm() && prefill > 0 && prefill + added > static_cast<double>(ramp_.PrefillLimit())) {
    return false;
  }
  if (!item.long_prompt) return true;
  const double long_prefill = WorkForecast::PrefillInProgress(grants_, true);
  return long_prefill <= 0 ||
         long_prefill + added <= static_cast<double>(policy_.long_prefill_limit.value());
}

bool AdmissionPlanner::CanStart(const QueuedRequest& item, TimePoint now) const {
  if (!Fits(item)) return false;
  const auto batch = static_cast<double>(WorkForecast::Batch(grants_) + 1);
  const Duration run = WorkForecast::RunTime(grants_, model_, item.demand, batch);
  if (now + run + EstimateMargin(run) > item.deadline) return false;
  return !WorkForecast::WouldDelayPastDeadline(grants_, model_, item.demand, now);
}

double AdmissionPlanner::UsualBatch() const {
  const int64_t waiting = static_cast<int64_t>(queue_.size()) + 1;
  const int64_t batch = WorkForecast::Batch(grants_);
  return static_cast<double>(
      std::clamp<int64_t>(batch + waiting, 1, std::max<int64_t>(1, ramp_.OwnLimit())));
}

Duration AdmissionPlanner::DrainTime() const {
  const auto batch = static_cast<double>(std::max<int64_t>(1, WorkForecast::Batch(grants_)));
  Duration longest;
  for (const auto& [key, entry] : grants_.entries()) {
    longest = std::max(longest, WorkForecast::Remaining(grants_, model_, entry, batch, 0));
  }
  return longest;
}

CapacityTimeline AdmissionPlanner::MakeTimeline(TimePoint now, int64_t free_slots) const {
  CapacityTimeline timeline(now, FreeKv(), free_slots);
  const auto batch = static_cast<double>(std::max<int64_t>(1, WorkForecast::Batch(grants_)));
  for (const auto& [key, entry] : grants_.entries()) {
    const Duration left = WorkForecast::Remaining(grants_, model_, entry, batch, 0);
    const TimePoint end = entry.state == GrantState::kCancelling ? entry.expires : now + left;
    timeline.AddRunning(end, entry.kv);
  }
  return timeline;
}

TimePoint AdmissionPlanner::ExpectedStart(const std::vector<const QueuedRequest*>& ahead,
                                          TimePoint now) const {
  const QueuedRequest& candidate = *ahead.back();
  TimePoint begin = now;
  int64_t slots = FreeSlots();
  if ((engine_.taking_over() || !engine_.BootConfirmed()) && slots < 1) {
    // These bounds are short-lived; afterwards the ramp's holds.
    begin = engine_.TakeOverEnd(now);
    slots = std::min(ramp_.OwnLimit() - grants_.OwnCount(),
                     ramp_.TotalLimit() - grants_.size() - engine_.foreign_requests());
  }
  if (grants_.AnyRunAlone()) begin = std::max(begin, now + DrainTime());
  CapacityTimeline timeline = MakeTimeline(begin, slots);
  for (const QueuedRequest* item : ahead) {
    if (item == &candidate) break;
    // A long prompt for which nothing is reserved yet does not hold others up.
    if (item->long_prompt && !candidate.long_prompt && now < item->ReserveAfter()) continue;
    timeline.Place(item->kv, item->run_time);
  }
  return timeline.PeekStart(candidate.kv);
}

std::optional<PlannedRefusal> AdmissionPlanner::RefusalDue(const QueuedRequest& item,
                                                           TimePoint now) const {
  if (now < std::min(item.LatestStart(), item.give_up)) return std::nullopt;
  // Prefill in progress ends no sooner by waiting, but the batch may shrink.
  const Duration best = WorkForecast::RunTime(grants_, model_, item.demand, 1);
  if (now + best > item.deadline) {
    return PlannedRefusal{item.key(), RefusalReason::kDeadline, Duration()};
  }
  if (now >= item.give_up) {
    return PlannedRefusal{item.key(), RefusalReason::kBusy, DrainTime()};
  }
  return std::nullopt;
}

bool AdmissionPlanner::BackfillAllowed(const QueuedRequest& item, const Reservation& reservation,
                                       const CapacityTimeline& timeline, TimePoint now) const {
  if (now + item.run_time <= reservation.start) return true;
  return timeline.FreeKvAt(reservation.start) - item.kv >= reservation.kv &&
         timeline.FreeSlotsAt(reservation.start) >= 2;
}

Plan AdmissionPlanner::MakePlan(TimePoint now, const std::optional<WantedGather>& gather) const {
  Plan plan;
  const std::vector<const QueuedRequest*> order = queue_.Ordered(now);
  const bool alone_waits = std::any_of(order.begin(), order.end(), [](const QueuedRequest* item) {
    return item->request.run_alone;
  });
  const CapacityTimeline timeline = MakeTimeline(now, FreeSlots());
  int examined = 0;
  std::optional<Reservation> reservation;
  if (gather && now < gather->until) {
    reservation = Reservation{timeline.PeekStart(gather->kv), gather->kv};
  }
  for (const QueuedRequest* item : order) {
    if (auto refusal = RefusalDue(*item, now)) {
      plan.refusals.push_back(*refusal);
      continue;
    }
    if (plan.start || ++examined > kMaxExamined) continue;
    // While a suspect waits, the endpoint is drained for it.
    if (alone_waits && !item->request.run_alone) continue;
    const bool can_start = CanStart(*item, now);
    if (can_start && (!reservation || BackfillAllowed(*item, *reservation, timeline, now))) {
      plan.start = item->key();
      continue;
    }
    if (reservation || can_start || now < item->ReserveAfter()) continue;
    if (FreeKv() >= item->kv && FreeSlots() >= 1) continue;
    const TimePoint start = timeline.PeekStart(item->kv);
    if (item->long_prompt && start > item->LatestStart() && !engine_.taking_over()) {
      plan.refusals.push_back(PlannedRefusal{item->key(), RefusalReason::kDeadline, start - now});
      continue;
    }
    reservation = Reservation{start, item->kv};
  }
  return plan;
}

}  // namespace zr
