#include "zr_gateway/endpoint_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zr {
namespace {

// Further consecutive failures do not extend the backoff.
constexpr int kMaxCountedFailures = 6;
// Requests that may be placed at once within a limit, besides a share of it.
// Short of the 5 that endpoints tolerate, as two dispatchers may place at once.
constexpr double kLimitBurst = 2;
constexpr double kLimitBurstSeconds = 0.25;
// An engine that is busy for longer, as with a prompt of 800,000 tokens, is one
// engine less for the others; it does not make all of them wait as long.
constexpr double kMaxCountedBacklogMs = 1200;
// An endpoint that takes no request would never say that it takes some again.
constexpr double kMinLimit = 0.2;  // requests per second

}  // namespace

const char* ToString(Availability availability) {
  switch (availability) {
    case Availability::kAvailable:
      return "";
    case Availability::kDraining:
      return "is draining";
    case Availability::kEvacuated:
      return "its domain is evacuated";
    case Availability::kSuperseded:
      return "another endpoint has its address";
    case Availability::kExcluded:
      return "the request has tried it";
    case Availability::kCold:
      return "is cold and its cold rate is used up";
    case Availability::kLimited:
      return "the limit that it names is used up";
    case Availability::kPaused:
      return "it asked for a pause";
    case Availability::kPaced:
      return "its pace allows no further call";
    case Availability::kBackoff:
      return "failed or rejected a call just before";
  }
  return "";
}

void EndpointTracker::Upsert(TimePoint now, const ListedEndpoint& listed,
                             double cold_rate) {
  auto [it, added] = endpoints_.try_emplace(listed.id);
  EndpointState& state = it->second;
  const bool restarted = !added && state.listed.boot_ms != listed.boot_ms;
  if (restarted) {
    state.failures = 0;
    state.backoff_until = TimePoint();
    state.report.reset();
    state.limit.reset();
    state.slowness_estimate = {};
    state.slowness = 1;
    state.leaving = false;
    state.paused_until = TimePoint();
  }
  state.listed = listed;
  state.cold_rate = cold_rate;
  if (cold_rate > 0 && options_.pace == PaceMode::kLearned) {
    state.learned = true;
  }
  if (restarted && state.learned) {
    state.pace.OnStart(StartCalls(listed.service));
  }
  EndpointId& newest = newest_at_address_[listed.address];
  const EndpointState* other = Find(newest);
  if (other == nullptr || other->listed.address != listed.address ||
      other->listed.boot_ms <= listed.boot_ms) {
    newest = listed.id;
  }
  if (listed.cold_left > Duration()) {
    OnCold(now, listed.id, listed.cold_left, cold_rate);
  }
}

void EndpointTracker::Remove(const EndpointId& id) {
  auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  auto newest = newest_at_address_.find(it->second.listed.address);
  if (newest != newest_at_address_.end() && newest->second == id) {
    newest_at_address_.erase(newest);
  }
  endpoints_.erase(it);
}

bool EndpointTracker::Superseded(const ListedEndpoint& listed) const {
  auto newest = newest_at_address_.find(listed.address);
  return newest != newest_at_address_.end() && newest->second != listed.id;
}

void EndpointTracker::OnStart(TimePoint now, const EndpointId& id,
                              const CallLoad& load) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  OnPlacedLoad(now, *state, load);
  state->calls.back().placed = now;
  if (load.prefill_ms > 0) {
    state->prefill_until =
        std::max(state->prefill_until, now) +
        Duration::Microseconds(static_cast<int64_t>(1000 * load.prefill_ms));
  }
  if (load.takes_slot && now < state->cold_until) state->throttle.TryTake(now);
}

void EndpointTracker::OnPrefillDone(TimePoint now, const EndpointId& id,
                                    const CallKey& key) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  for (CallLoad& call : state->calls) {
    if (call.key != key) continue;
    if (call.takes_slot && call.prefill_ms > 0) state->pass_began = now;
    call.prefill_ms = 0;
  }
  CapPrefillEnd(now, *state);
}

void EndpointTracker::OnEnd(TimePoint now, const EndpointId& id,
                            const CallKey& key) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  std::erase_if(state->calls,
                [&key](const CallLoad& call) { return call.key == key; });
  BeginWaiting(now, *state);
  CapPrefillEnd(now, *state);
}

void EndpointTracker::OnPassEnd(TimePoint now, const EndpointId& id) {
  EndpointState* state = FindMutable(id);
  if (state != nullptr) state->pass_began = now;
}

void EndpointTracker::RemoveVmCalls(TimePoint now, const VmId& vm) {
  for (auto& [id, state] : endpoints_) {
    std::erase_if(state.calls,
                  [&vm](const CallLoad& call) { return call.key.vm == vm; });
    CapPrefillEnd(now, state);
  }
}

void EndpointTracker::Expire(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    std::erase_if(state.calls,
                  [now](const CallLoad& call) { return now > call.expires; });
    CapPrefillEnd(now, state);
  }
}

void EndpointTracker::CapPrefillEnd(TimePoint now, EndpointState& state) {
  // Prefill can't take longer than the sum of all pending segments.
  double left_ms = 0;
  for (const CallLoad& call : state.calls) left_ms += call.prefill_ms;
  state.prefill_until = std::min(
      state.prefill_until,
      now + Duration::Microseconds(static_cast<int64_t>(1000 * left_ms)));
}

int EndpointState::OccupiedSlots() const {
  return static_cast<int>(
      std::count_if(calls.begin(), calls.end(),
                    [](const CallLoad& call) { return call.takes_slot; }));
}

double EndpointState::ValueStalledBy(double pause_ms) const {
  double value = 0;
  for (const CallLoad& call : calls) {
    const bool stalled =
        call.takes_slot &&
        static_cast<double>(call.max_gap.microseconds()) < 1000 * pause_ms;
    if (stalled) value += call.value;
  }
  return value;
}

double EndpointState::ValueDelayedTo(TimePoint first_token,
                                     TimePoint pass_began) const {
  double value = 0;
  for (const CallLoad& call : calls) {
    const bool waits =
        call.takes_slot && call.prefill_ms > 0 && call.placed >= pass_began;
    if (waits && call.first_token_by < first_token) value += call.value;
  }
  return value;
}

double EndpointState::BacklogMs(TimePoint now) const {
  // Remaining time assumed for prefill that takes longer than forecast.
  constexpr double kOverdueMs = 10;
  const bool prefilling =
      std::any_of(calls.begin(), calls.end(),
                  [](const CallLoad& call) { return call.prefill_ms > 0; });
  if (!prefilling) return 0;
  return std::max(kOverdueMs, (prefill_until - now).seconds() * 1000);
}

TokenCount EndpointState::KvInUse() const {
  TokenCount held;
  for (const CallLoad& call : calls) held += call.kv_tokens;
  return held;
}

void EndpointTracker::OnCallResult(TimePoint now, const EndpointId& id,
                                   CallResult result,
                                   std::optional<Duration> answered_in) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  switch (result) {
    case CallResult::kAnswered:
      state->failures = 0;
      state->backoff_until = TimePoint();
      OnAnswered(now, *state, answered_in);
      return;
    case CallResult::kAborted:
      return;
    case CallResult::kRejected:
      state->backoff_until =
          std::max(state->backoff_until, now + options_.rejected_backoff);
      if (state->learned) {
        SetBack(*state);
        state->pace.OnRejected(now, state->OccupiedSlots() - 1);
      }
      return;
    case CallResult::kErrorAnswer:
    case CallResult::kConnectionBroken:
    case CallResult::kTimedOut:
    case CallResult::kMisdirected:
      break;
  }
  // Some services return single error answers in normal operation, but not
  // several in a row.
  state->failures = std::min(state->failures + 1, kMaxCountedFailures);
  if (result == CallResult::kErrorAnswer && state->failures < 2) return;
  if (state->learned) {
    SetBack(*state);
    state->pace.OnFailed(now, state->failures);
  }
  const int64_t factor = int64_t{1} << (state->failures - 1);
  state->backoff_until =
      now + std::min(options_.initial_backoff * factor, options_.max_backoff);
}

void EndpointTracker::OnLoad(TimePoint now, const EndpointId& id,
                             const ReportedLoad& load) {
  if (EndpointState* state = FindMutable(id)) {
    state->report = load;
    state->reported_at = now;
  }
}

void EndpointTracker::OnCold(TimePoint now, const EndpointId& id, Duration left,
                             double cold_rate) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr || cold_rate <= 0) return;
  if (now >= state->cold_until) {
    state->throttle = TokenBucket(cold_rate * options_.cold_share, 1);
    state->cold_rate = cold_rate;
    if (state->learned) state->pace.OnStart(StartCalls(state->listed.service));
  }
  state->cold_until = std::max(state->cold_until, now + left);
}

bool EndpointState::WithinLimit(TimePoint now, double spare) const {
  return !limit || limiter.LevelAt(now) >= 1 + spare;
}

void EndpointTracker::SetLimit(TimePoint now, const EndpointId& id,
                               BootNumber boot, std::optional<double> rate) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr || state->listed.boot() != boot ||
      state->limit == rate) {
    return;
  }
  const bool was_limited = state->limit.has_value();
  state->limit = rate;
  if (!rate) return;
  const bool shared = options_.limit_share < 1;
  const double limit = std::max(kMinLimit, *rate);
  const double burst = shared ? 1 : kLimitBurst + kLimitBurstSeconds * limit;
  if (!was_limited) state->limiter = TokenBucket(0, shared ? 0 : 1);
  state->limiter.TryTake(now, 0);  // adds what was gained at the former rate
  state->limiter.Configure(limit * options_.limit_share, burst);
}

void EndpointTracker::SetNotice(const EndpointId& id, BootNumber boot,
                                bool leaving, TimePoint paused_until) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr || state->listed.boot() != boot) return;
  state->leaving = leaving;
  state->paused_until = paused_until;
}

void EndpointTracker::RestartLimits(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    if (!state.limit) continue;
    state.limiter.TryTake(now, std::max(0.0, state.limiter.LevelAt(now)));
  }
}

void EndpointTracker::CountRequest(TimePoint now, const EndpointId& id) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr || !state->limit) return;
  if (!state->limiter.TryTake(now)) state->limiter.Add(-1);
}

bool EndpointTracker::HasLimits(const ServiceName& service) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [&service](const auto& item) {
                       return item.second.limit.has_value() &&
                              item.second.listed.service == service;
                     });
}

Duration EndpointTracker::TimeUntilWithinLimit(
    TimePoint now, const ServiceName& service) const {
  Duration soonest = Duration::Max();
  for (const auto& [id, state] : endpoints_) {
    if (!state.limit || state.listed.service != service) continue;
    soonest = std::min(soonest, state.limiter.TimeUntil(now, 1));
  }
  return soonest == Duration::Max() ? Duration() : soonest;
}

const EndpointState* EndpointTracker::Find(const EndpointId& id) const {
  auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

EndpointState* EndpointTracker::FindMutable(const EndpointId& id) {
  auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTracker::AcceptsCalls(const EndpointState& state) const {
  return !state.listed.draining && !state.leaving &&
         !evacuated_.contains(state.listed.domain) && !Superseded(state.listed);
}

Availability EndpointTracker::AvailabilityOf(
    TimePoint now, const EndpointState& state,
    const std::set<EndpointId>& excluded, std::optional<double> spare) const {
  if (state.listed.draining || state.leaving) return Availability::kDraining;
  if (evacuated_.contains(state.listed.domain)) return Availability::kEvacuated;
  if (Superseded(state.listed)) return Availability::kSuperseded;
  if (excluded.contains(state.listed.id)) return Availability::kExcluded;
  if (now < state.paused_until) return Availability::kPaused;
  if (now < state.cold_until && state.throttle.LevelAt(now) < 1) {
    return Availability::kCold;
  }
  if (spare && !state.WithinLimit(now, *spare)) return Availability::kLimited;
  if (!state.HasRoom(now)) return Availability::kPaced;
  return now < state.backoff_until ? Availability::kBackoff
                                   : Availability::kAvailable;
}

std::vector<const EndpointState*> EndpointTracker::Available(
    TimePoint now, const ServiceName& service,
    const std::set<EndpointId>& excluded, std::optional<double> spare) const {
  std::vector<const EndpointState*> healthy;
  std::vector<const EndpointState*> backing_off;
  bool slot_free = false;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service) continue;
    const Availability found = AvailabilityOf(now, state, excluded, spare);
    if (found == Availability::kBackoff) backing_off.push_back(&state);
    if (found != Availability::kAvailable) continue;
    healthy.push_back(&state);
    slot_free = slot_free || state.OccupiedSlots() < state.listed.slots;
  }
  // Callers wait, so endpoints that failed are probed.
  if (!healthy.empty() && !slot_free) {
    std::copy_if(backing_off.begin(), backing_off.end(),
                 std::back_inserter(healthy), [](const EndpointState* state) {
                   return state->learned && state->pace.probing();
                 });
  }
  // Sorted by id so that ties between equal loads are resolved the same way in
  // every run.
  auto& chosen = healthy.empty() ? backing_off : healthy;
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->listed.id < b->listed.id;
  });
  return chosen;
}

double EndpointTracker::MeanBacklogMs(const ServiceName& service) const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service || !AcceptsCalls(state)) continue;
    double backlog_ms = 0;
    for (const CallLoad& call : state.calls) backlog_ms += call.prefill_ms;
    sum += std::min(backlog_ms, kMaxCountedBacklogMs);
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

double EndpointTracker::MeanForecastBacklogMs(
    TimePoint now, const ServiceName& service) const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service || !AcceptsCalls(state)) continue;
    sum += state.BacklogMs(now);
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

size_t EndpointTracker::CountActive(const ServiceName& service) const {
  return static_cast<size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return entry.second.listed.service == service &&
               AcceptsCalls(entry.second);
      }));
}

}  // namespace zr
