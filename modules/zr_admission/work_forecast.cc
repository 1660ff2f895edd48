#include "zr_admission/work_forecast.h"

#include <algorithm>
#include <functional>

namespace zr {
namespace {

Duration FromSeconds(double seconds) {
  // Clamped to a day to avoid overflow; no deadline is that long.
  return Duration::Microseconds(
      static_cast<int64_t>(std::clamp(seconds, 0.0, 86'400.0) * 1e6));
}

bool Active(const GrantEntry& entry) {
  return entry.state == GrantState::kOffered ||
         entry.state == GrantState::kHeld;
}

/**
 * Seconds until a prefill of `own` tokens ends, together with the prefill of
 * the grants and the extra demand. Higher priorities go first, equal ones
 * share.
 */
double PrefillSeconds(const GrantTable& grants, const GrantEntry* self,
                      double own, int32_t priority, const WorkDemand* extra,
                      double speed) {
  if (own <= 0) return 0;
  const auto before_own = [&](double other, int32_t other_priority) {
    if (other_priority < priority) return 0.0;
    return other_priority > priority ? other : std::min(other, own);
  };
  double work = own;
  if (extra != nullptr) work += before_own(extra->prefill, extra->priority);
  for (const auto& [key, entry] : grants.entries()) {
    if (&entry == self || entry.prefill_left <= 0 || !Active(entry)) continue;
    work += before_own(entry.prefill_left, entry.priority);
  }
  return work / speed;
}

/** Seconds of other prompts' prefill after the prefill of `own` tokens ends. */
double OverlapSeconds(const GrantTable& grants, const GrantEntry* self,
                      double own, const WorkDemand* extra, double speed,
                      double own_seconds) {
  double work = own;
  if (extra != nullptr) work += extra->prefill;
  for (const auto& [key, entry] : grants.entries()) {
    if (&entry != self && Active(entry)) work += entry.prefill_left;
  }
  return std::max(0.0, work / speed - own_seconds);
}

}  // namespace

Duration EstimateMargin(Duration run_time) {
  // An eighth of the run time, and 100 ms for the round trip to the endpoint.
  // Under overload, requests often start at the latest possible time: with a
  // tenth and 50 ms, 1 of 1,500 short requests was late by up to 0.2 s. A sixth
  // and 150 ms didn't reduce the number of late requests further.
  return run_time / 8 + Duration::Milliseconds(100);
}

void WorkForecast::Advance(GrantTable& grants, const ServiceTimeModel& model,
                           Duration elapsed) {
  double left = elapsed.seconds();
  const auto batch = static_cast<double>(std::max<int64_t>(1, Batch(grants)));
  const double decode = model.DecodeSpeed(batch);
  while (left > 1e-7) {
    // A step ends when a prefill of the highest priority ends.
    int in_prefill = 0;
    int32_t top_priority = 0;
    double shortest = 0;
    for (const auto& [key, entry] : grants.entries()) {
      if (!Active(entry) || entry.prefill_left <= 0) continue;
      if (in_prefill == 0 || entry.priority > top_priority) {
        in_prefill = 0;
        top_priority = entry.priority;
        shortest = entry.prefill_left;
      }
      if (entry.priority == top_priority) {
        shortest = std::min(shortest, entry.prefill_left);
        ++in_prefill;
      }
    }
    const double prefill_share =
        in_prefill == 0 ? 0 : model.PrefillSpeed() / in_prefill;
    const double step = in_prefill == 0
                            ? left
                            : std::min(left, shortest / prefill_share + 1e-6);
    for (auto& [key, entry] : grants.entries()) {
      if (!Active(entry)) continue;
      entry.batch_seconds += batch * step;
      entry.plain_left = std::max(0.0, entry.plain_left - step);
      if (entry.prefill_left > 0) {
        const double done =
            entry.priority == top_priority ? prefill_share * step : 0;
        entry.prefill_left = std::max(0.0, entry.prefill_left - done);
        entry.prefill_seconds += step;
      } else {
        // An engine step with prefill takes many times longer than one without,
        // but also generates only one token per stream.
        const double share = in_prefill == 0 ? 1 : model.OverlapDecodeShare();
        entry.answer_left =
            std::max(0.0, entry.answer_left - decode * share * step);
        if (in_prefill > 0) entry.overlap_seconds += step;
      }
    }
    left -= step;
  }
}

int64_t WorkForecast::Batch(const GrantTable& grants) {
  return grants.size() - grants.CountState(GrantState::kGathered);
}

Duration WorkForecast::RunTime(const GrantTable& grants,
                               const ServiceTimeModel& model,
                               const WorkDemand& demand, double batch) {
  const double prefill =
      PrefillSeconds(grants, nullptr, demand.prefill, demand.priority, nullptr,
                     model.PrefillSpeed());
  const double overlap = OverlapSeconds(grants, nullptr, demand.prefill,
                                        nullptr, model.PrefillSpeed(), prefill);
  return FromSeconds(prefill +
                     model.AnswerSeconds(demand.answer, batch, overlap) +
                     demand.plain_seconds);
}

Duration WorkForecast::RunTimeAlone(const ServiceTimeModel& model,
                                    const WorkDemand& demand) {
  return FromSeconds(demand.prefill / model.PrefillSpeed() +
                     demand.answer / model.DecodeSpeed(1) +
                     demand.plain_seconds);
}

Duration WorkForecast::Remaining(const GrantTable& grants,
                                 const ServiceTimeModel& model,
                                 const GrantEntry& entry, double batch,
                                 const WorkDemand* extra) {
  const double prefill =
      PrefillSeconds(grants, &entry, entry.prefill_left, entry.priority, extra,
                     model.PrefillSpeed());
  const double overlap = OverlapSeconds(grants, &entry, entry.prefill_left,
                                        extra, model.PrefillSpeed(), prefill);
  return FromSeconds(prefill +
                     model.AnswerSeconds(entry.answer_left, batch, overlap) +
                     entry.plain_left);
}

bool WorkForecast::WouldDelayPastDeadline(const GrantTable& grants,
                                          const ServiceTimeModel& model,
                                          const WorkDemand& demand,
                                          TimePoint now) {
  const auto batch = static_cast<double>(std::max<int64_t>(1, Batch(grants)));
  for (const auto& [key, entry] : grants.entries()) {
    if (!Active(entry) || entry.plain || entry.deadline == TimePoint::Max()) {
      continue;
    }
    const Duration remaining_with =
        Remaining(grants, model, entry, batch + 1, &demand);
    // The estimation error grows over the whole run, which may be long for a
    // grant that yields to higher priorities.
    const Duration run_margin =
        EstimateMargin(now - entry.granted_at + remaining_with);
    // Decode that overlaps with prefill is estimated less accurately than
    // prefill.
    const Duration margin =
        entry.prefill_left > 0 ? run_margin / 2 : run_margin;
    if (now + remaining_with + margin <= entry.deadline) continue;
    // A grant that misses its deadline by far doesn't delay others. A grant
    // that seems to miss it narrowly may be an estimation error and is
    // protected.
    const Duration remaining_without =
        Remaining(grants, model, entry, batch, nullptr);
    const bool already_late = now + remaining_without * 3 / 4 > entry.deadline;
    if (!already_late) return true;
  }
  return false;
}

double WorkForecast::PrefillInProgress(const GrantTable& grants,
                                       int32_t priority) {
  double sum = 0;
  for (const auto& [key, entry] : grants.entries()) {
    if (Active(entry) && entry.priority >= priority) sum += entry.prefill_left;
  }
  return sum;
}

double WorkForecast::LongPrefillInProgress(const GrantTable& grants) {
  double sum = 0;
  for (const auto& [key, entry] : grants.entries()) {
    if (Active(entry) && entry.long_prompt) sum += entry.prefill_left;
  }
  return sum;
}

void CapacityTimeline::AddRunning(TimePoint end, TokenCount kv) {
  completions_.push_back(Completion{std::max(end, now_), kv});
  std::push_heap(completions_.begin(), completions_.end(), std::greater<>());
}

TimePoint CapacityTimeline::Place(TokenCount kv, Duration run_time) {
  TimePoint start = now_;
  while (free_kv_ < kv || free_slots_ < 1) {
    if (completions_.empty()) return TimePoint::Max();
    std::pop_heap(completions_.begin(), completions_.end(), std::greater<>());
    start = std::max(start, completions_.back().at);
    free_kv_ += completions_.back().kv;
    ++free_slots_;
    completions_.pop_back();
  }
  now_ = start;
  free_kv_ -= kv;
  --free_slots_;
  AddRunning(start + run_time, kv);
  return start;
}

TimePoint CapacityTimeline::PeekStart(TokenCount kv) const {
  CapacityTimeline copy = *this;
  return copy.Place(kv, Duration());
}

TokenCount CapacityTimeline::FreeKvAt(TimePoint time) const {
  TokenCount free = free_kv_;
  for (const Completion& end : completions_) {
    if (end.at <= time) free += end.kv;
  }
  return free;
}

int64_t CapacityTimeline::FreeSlotsAt(TimePoint time) const {
  int64_t free = free_slots_;
  for (const Completion& end : completions_) {
    if (end.at <= time) ++free;
  }
  return free;
}

}  // namespace zr
