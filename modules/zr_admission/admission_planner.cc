#include "zr_admission/admission_planner.h"

#include <algorithm>
#include <limits>

namespace zr {
namespace {

// Most queued requests that a plan examines; bounds its computing time.
constexpr int kMaxExamined = 64;
// Prefill backlog that keeps the engine busy. A larger backlog would wait in
// the engine, which doesn't order it by class, team or deadline.
constexpr double kPrefillBacklogSeconds = 0.25;
// A restart of the engine breaks its streams; holders report that within about
// this time. No more than the start-up allowance is granted in such a period.
constexpr Duration kRestartDetectionTime = Duration::Milliseconds(10);

}  // namespace

TokenCount AdmissionPlanner::FreeKv() const {
  return engine_.KvLimit() - grants_.reserved();
}

int64_t AdmissionPlanner::FreeSlots(TimePoint now) const {
  int64_t own = slow_start_.OwnLimit() - grants_.OwnCount();
  const int64_t total =
      slow_start_.TotalLimit() - grants_.size() - engine_.foreign_requests();
  if (engine_.taking_over()) {
    // The previous owner's grants aren't known yet, so only the start-up
    // allowance may be granted, and only after the engine has listed its
    // streams.
    if (policy_.kind == PoolKind::kModel && !engine_.ListedSinceTakeOver()) {
      return 0;
    }
    const TimePoint since = engine_.TakeOverSince();
    int64_t granted = 0;
    for (const auto& [key, entry] : grants_.entries()) {
      if (!entry.adopted && entry.granted_at >= since) ++granted;
    }
    own = std::min(own, slow_start_.StartAllowance() - granted);
  }
  if (policy_.kind == PoolKind::kModel) {
    own = std::min(own, slow_start_.StartAllowance() -
                            grants_.GrantedSince(now - kRestartDetectionTime));
  }
  if (policy_.kind == PoolKind::kModel && !engine_.BootConfirmed()) {
    // The engine may have restarted unnoticed while it was idle.
    own = std::min(own, slow_start_.StartAllowance() - grants_.OwnCount());
  }
  return std::min(own, total);
}

bool AdmissionPlanner::Fits(const QueuedRequest& item, TimePoint now) const {
  if (grants_.AnyRunAlone() || FreeSlots(now) < 1) return false;
  if (item.request.run_alone &&
      (grants_.size() > 0 || engine_.foreign_requests() > 0 ||
       engine_.taking_over())) {
    return false;
  }
  if (item.request.plain_service) return true;
  if (!engine_.has_load() || FreeKv() < item.kv) return false;
  const auto added = static_cast<double>(item.uncached_tokens.value());
  if (!slow_start_.warm()) {
    const int32_t any_priority = std::numeric_limits<int32_t>::min();
    const double total_prefill =
        WorkForecast::PrefillInProgress(grants_, any_priority);
    if (total_prefill > 0 &&
        total_prefill + added >
            static_cast<double>(slow_start_.PrefillLimit())) {
      return false;
    }
  }
  if (item.long_prompt) {
    const double in_progress = WorkForecast::LongPrefillInProgress(grants_);
    return in_progress <= 0 ||
           in_progress + added <=
               static_cast<double>(policy_.long_prefill_limit.value());
  }
  return WorkForecast::PrefillInProgress(grants_, item.priority) <=
         PrefillBacklogLimit();
}

bool AdmissionPlanner::CanStart(const QueuedRequest& item,
                                TimePoint now) const {
  if (!Fits(item, now)) return false;
  const auto batch = static_cast<double>(WorkForecast::Batch(grants_) + 1);
  const Duration run =
      WorkForecast::RunTime(grants_, model_, item.demand, batch);
  if (now + run + EstimateMargin(run) > item.deadline) return false;
  return !WorkForecast::WouldDelayPastDeadline(grants_, model_, item.demand,
                                               now);
}

double AdmissionPlanner::PrefillBacklogLimit() const {
  return kPrefillBacklogSeconds * model_.PrefillSpeed();
}

double AdmissionPlanner::ExpectedBatch() const {
  const int64_t waiting = static_cast<int64_t>(queue_.size()) + 1;
  const int64_t batch = WorkForecast::Batch(grants_);
  return static_cast<double>(std::clamp<int64_t>(
      batch + waiting, 1, std::max<int64_t>(1, slow_start_.OwnLimit())));
}

Duration AdmissionPlanner::DrainTime() const {
  const auto batch =
      static_cast<double>(std::max<int64_t>(1, WorkForecast::Batch(grants_)));
  Duration longest;
  for (const auto& [key, entry] : grants_.entries()) {
    longest = std::max(longest, WorkForecast::Remaining(grants_, model_, entry,
                                                        batch, nullptr));
  }
  return longest;
}

CapacityTimeline AdmissionPlanner::MakeTimeline(TimePoint now,
                                                int64_t free_slots) const {
  CapacityTimeline timeline(now, FreeKv(), free_slots);
  const auto batch =
      static_cast<double>(std::max<int64_t>(1, WorkForecast::Batch(grants_)));
  for (const auto& [key, entry] : grants_.entries()) {
    const Duration left =
        WorkForecast::Remaining(grants_, model_, entry, batch, nullptr);
    const bool idle = entry.state == GrantState::kCancelling ||
                      entry.state == GrantState::kGathered;
    const TimePoint end = idle ? entry.expires_at : now + left;
    timeline.AddRunning(end, entry.kv);
  }
  return timeline;
}

TimePoint AdmissionPlanner::ExpectedStart(
    const std::vector<const QueuedRequest*>& ahead, TimePoint now) const {
  const QueuedRequest& candidate = *ahead.back();
  TimePoint begin = now;
  int64_t slots = FreeSlots(now);
  const bool temporary_limits =
      engine_.taking_over() || !engine_.BootConfirmed() ||
      grants_.GrantedSince(now - kRestartDetectionTime) > 0;
  if (temporary_limits && slots < 1) {
    // These limits are short-lived; afterwards the slow-start limits apply.
    begin = engine_.TakeOverEnd(now);
    slots = std::min(
        slow_start_.OwnLimit() - grants_.OwnCount(),
        slow_start_.TotalLimit() - grants_.size() - engine_.foreign_requests());
  }
  if (grants_.AnyRunAlone() || candidate.request.run_alone) {
    begin = std::max(begin, now + DrainTime());
  }
  CapacityTimeline timeline = MakeTimeline(begin, slots);
  double prefill =
      candidate.long_prompt
          ? WorkForecast::LongPrefillInProgress(grants_)
          : WorkForecast::PrefillInProgress(grants_, candidate.priority);
  for (const QueuedRequest* item : ahead) {
    if (item == &candidate) break;
    // A long prompt without a reservation doesn't delay short ones.
    if (item->long_prompt && !candidate.long_prompt &&
        now < item->ReserveAfter()) {
      continue;
    }
    timeline.Place(item->kv, item->run_time);
    if (item->long_prompt == candidate.long_prompt) {
      prefill += item->demand.prefill;
    }
  }
  const TimePoint start = timeline.PeekStart(candidate.kv);
  if (start == TimePoint::Max() || candidate.request.plain_service) {
    return start;
  }
  // Besides KV tokens and slots, the prefill backlog limits the start.
  const double bound =
      candidate.long_prompt
          ? static_cast<double>(policy_.long_prefill_limit.value())
          : PrefillBacklogLimit();
  const double wait = (prefill - bound) / model_.PrefillSpeed();
  if (wait <= 0) return start;
  return std::max(
      start, now + Duration::Microseconds(static_cast<int64_t>(wait * 1e6)));
}

std::optional<PlannedRefusal> AdmissionPlanner::RefusalDue(
    const QueuedRequest& item, TimePoint now) const {
  if (now < std::min(item.LatestStart(), item.busy_after)) return std::nullopt;
  // Best case: the prefill backlog stays, but the batch shrinks to one stream.
  const Duration min_run_time =
      WorkForecast::RunTime(grants_, model_, item.demand, 1);
  if (now + min_run_time > item.deadline) {
    return PlannedRefusal{item.key(), RefusalReason::kDeadline, Duration()};
  }
  if (now >= item.busy_after) {
    return PlannedRefusal{item.key(), RefusalReason::kBusy, DrainTime()};
  }
  return std::nullopt;
}

bool AdmissionPlanner::BackfillAllowed(const QueuedRequest& item,
                                       const Reservation& reservation,
                                       const CapacityTimeline& timeline,
                                       TimePoint now) const {
  if (&item == reservation.holder || now + item.run_time <= reservation.start) {
    return true;
  }
  return timeline.FreeKvAt(reservation.start) - item.kv >= reservation.kv &&
         timeline.FreeSlotsAt(reservation.start) >= 2;
}

std::optional<AdmissionPlanner::Reservation>
AdmissionPlanner::ReserveForLongPrompt(
    const std::vector<const QueuedRequest*>& order,
    const CapacityTimeline& timeline, TimePoint now) const {
  const double min_density = queue_.MinDensity(now);
  for (const QueuedRequest* item : order) {
    if (!item->long_prompt || now < item->ReserveAfter() ||
        item->density < min_density) {
      continue;
    }
    // Don't set KV tokens aside for a request that fits but may not start.
    const bool fits = FreeKv() >= item->kv && FreeSlots(now) >= 1;
    if (fits && !CanStart(*item, now)) continue;
    const TimePoint start = timeline.PeekStart(item->kv);
    if (start <= item->LatestStart()) return Reservation{item, start, item->kv};
  }
  return std::nullopt;
}

Plan AdmissionPlanner::MakePlan(
    TimePoint now, const std::optional<PendingGather>& gather) const {
  Plan plan;
  const std::vector<const QueuedRequest*> order = queue_.Ordered(now);
  const bool run_alone_waiting = std::any_of(
      order.begin(), order.end(),
      [](const QueuedRequest* item) { return item->request.run_alone; });
  const CapacityTimeline timeline = MakeTimeline(now, FreeSlots(now));
  int examined = 0;
  std::optional<Reservation> reservation;
  if (gather && now < gather->until) {
    reservation =
        Reservation{nullptr, timeline.PeekStart(gather->kv), gather->kv};
  }
  if (!reservation) reservation = ReserveForLongPrompt(order, timeline, now);
  for (const QueuedRequest* item : order) {
    if (auto refusal = RefusalDue(*item, now)) {
      plan.refusals.push_back(*refusal);
      continue;
    }
    if (plan.start || ++examined > kMaxExamined) continue;
    // The endpoint is drained for a queued request that must run alone.
    if (run_alone_waiting && !item->request.run_alone) continue;
    const bool can_start = CanStart(*item, now);
    if (can_start &&
        (!reservation || BackfillAllowed(*item, *reservation, timeline, now))) {
      plan.start = item->key();
      continue;
    }
    if (reservation || can_start || now < item->ReserveAfter()) continue;
    if (FreeKv() >= item->kv && FreeSlots(now) >= 1) continue;
    const TimePoint start = timeline.PeekStart(item->kv);
    if (item->long_prompt && start > item->LatestStart() &&
        !engine_.taking_over()) {
      plan.refusals.push_back(
          PlannedRefusal{item->key(), RefusalReason::kDeadline, start - now});
      continue;
    }
    reservation = Reservation{item, start, item->kv};
  }
  return plan;
}

}  // namespace zr
