// Implementation of endpoint_tracker.h: what is learned from answers.

#include <algorithm>
#include <cmath>
#include <utility>

#include "zr_gateway/endpoint_tracker.h"

namespace zr {
namespace {

// Time to an event beyond that at the endpoint: the way there and back, and the
// VM's own processor, of which the smallest have 0.084 of a core.
constexpr double kTransportMs = 30;
// Shorter forecasts count as this long, so that delays outside the endpoint
// don't look like slowness.
constexpr double kMinForecastMs = 40;
// The same for the usual time of a plain service's answers.
constexpr double kMinUsualMs = 20;
// Step by which that time follows the answers, as a share of it. It settles
// where as many answers are shorter as are longer.
constexpr double kUsualStep = 0.05;
// A sound answer of an engine clears it from suspicion in a split call for this
// long.
constexpr Duration kClearedFor = Duration::Seconds(2);
// Cold period of an endpoint whose rest is not known.
constexpr Duration kHandoverCold = Duration::Seconds(1);
// Failures that are older are not handed over.
constexpr Duration kHandoverAge = Duration::Seconds(10);
// A limit that is used up allows one more call if nothing was heard of its
// calls for this long: their ends may have been lost.
constexpr Duration kStalled = Duration::Seconds(1);
// Factors of the trust in load reports: after an answer in time by an endpoint
// that reports more calls than it has slots, and after other answers in time.
constexpr double kContradicted = 0.5;
constexpr double kConfirmed = 1.05;
// Smallest change of the slowness that is logged.
constexpr double kLoggedFactor = 1.5;

double Milliseconds(Duration duration) { return duration.seconds() * 1000; }

/** Observed time / forecast. */
double RatioOf(double elapsed_ms, double forecast_ms) {
  return std::max(0.0, elapsed_ms - kTransportMs) /
         std::max(kMinForecastMs, forecast_ms);
}

}  // namespace

bool EndpointState::HasRoom(TimePoint now) const {
  if (!learned) return true;
  const auto probes =
      std::count_if(calls.begin(), calls.end(), [this](const CallLoad& call) {
        return call.takes_slot && call.placed > pace.last_failure();
      });
  return pace.HasRoom(now, OccupiedSlots(), static_cast<int>(probes)) ||
         now - active_at >= kStalled;
}

void EndpointTracker::SetPace(PaceMode pace) {
  if (options_.pace == pace) return;
  options_.pace = pace;
  for (auto& [id, state] : endpoints_) {
    state.learned = pace == PaceMode::kLearned && state.cold_rate > 0;
    state.pace = {};
    state.slowness_estimate = {};
    state.slowness = 1;
  }
}

double& EndpointTracker::StartCalls(const ServiceName& service) {
  return start_calls_.try_emplace(service, EndpointPace::kMinStartCalls)
      .first->second;
}

//==============================================================================
// Answers

void EndpointTracker::OnPlacedLoad(TimePoint now, EndpointState& state,
                                   const CallLoad& load) {
  if (load.prefill_ms > 0 && options_.pace == PaceMode::kLearned) {
    state.learned = true;
  }
  CallLoad& call = state.calls.emplace_back(load);
  call.waits = call.takes_slot && state.OccupiedSlots() > state.listed.slots;
  call.began = now;
  call.slowness = state.slowness;
  state.active_at = now;
}

void EndpointTracker::BeginWaiting(TimePoint now, EndpointState& state) {
  state.active_at = now;
  const auto next =
      std::find_if(state.calls.begin(), state.calls.end(),
                   [](const CallLoad& call) { return call.waits; });
  const auto running = std::count_if(
      state.calls.begin(), state.calls.end(),
      [](const CallLoad& call) { return call.takes_slot && !call.waits; });
  if (next == state.calls.end() || running >= state.listed.slots) return;
  next->waits = false;
  next->began = now;
}

void EndpointTracker::AnsweredInTime(TimePoint now, EndpointState& state) {
  double& start_calls = StartCalls(state.listed.service);
  if (state.report) {
    const bool contradicted =
        state.report->running + state.report->waiting >
        std::max(state.listed.slots, state.OccupiedSlots());
    state.report_trust = std::min(
        1.0, state.report_trust * (contradicted ? kContradicted : kConfirmed));
  }
  const bool starting = state.pace.starting();
  state.pace.OnInTime(now, start_calls, state.OccupiedSlots(),
                      state.listed.slots);
  if (starting && !state.pace.starting()) {
    start_calls = std::min<double>(state.listed.slots, start_calls * 2);
  }
}

void EndpointTracker::SetBack(EndpointState& state) {
  if (!state.pace.starting()) return;
  double& start_calls = StartCalls(state.listed.service);
  start_calls = std::max(1.0, start_calls / 2);
}

void EndpointTracker::OnAnswered(TimePoint now, EndpointState& state,
                                 std::optional<Duration> elapsed) {
  if (!state.learned) return;
  if (!elapsed) return AnsweredInTime(now, state);
  const double elapsed_ms = std::max(kMinUsualMs, Milliseconds(*elapsed));
  double& usual = usual_answer_ms_.try_emplace(state.listed.service, elapsed_ms)
                      .first->second;
  const double ratio = elapsed_ms / usual;
  usual *= elapsed_ms > usual ? 1 + kUsualStep : 1 / (1 + kUsualStep);
  usual = std::max(kMinUsualMs, usual);
  state.slowness_estimate.Add(now, ratio);
  state.slowness = state.slowness_estimate.value();
  if (ratio < SlownessEstimate::kSlowRatio) {
    AnsweredInTime(now, state);
  } else {
    state.pace.OnLate(now);
  }
}

void EndpointTracker::OnFirstEvent(TimePoint now,
                                   const std::vector<EndpointId>& engines,
                                   const CallKey& key,
                                   std::optional<Duration> elapsed) {
  EndpointState* primary =
      engines.empty() ? nullptr : FindMutable(engines.front());
  if (primary == nullptr || !primary->learned) return;
  const auto call =
      std::find_if(primary->calls.begin(), primary->calls.end(),
                   [&key](const CallLoad& load) { return load.key == key; });
  if (call == primary->calls.end()) return;
  std::optional<double> ratio;
  if (call->forecast_ms > 0 && !call->waits) {
    const bool waited = call->began > call->placed;
    const Duration since_begin = now - call->began;
    ratio = RatioOf(
        Milliseconds(waited ? since_begin : elapsed.value_or(since_begin)),
        call->forecast_ms);
    std::vector<EndpointState*> readers;
    for (const EndpointId& id : engines) {
      EndpointState* state = FindMutable(id);
      if (state != nullptr) readers.push_back(state);
    }
    if (readers.size() == 1) {
      primary->slowness_estimate.Add(now, *ratio * call->slowness);
      primary->slowness = primary->slowness_estimate.value();
      if (*ratio < SlownessEstimate::kSlowRatio && primary->slowness <= 1) {
        primary->sound_at = now;
      }
    } else if (readers.size() == engines.size()) {
      LearnSlowness(now, readers, *ratio);
    }
  }
  if (!ratio || *ratio < SlownessEstimate::kSlowRatio) {
    AnsweredInTime(now, *primary);
  } else if (engines.size() == 1) {
    primary->pace.OnLate(now);
  }
}

void EndpointTracker::LearnSlowness(TimePoint now,
                                    const std::vector<EndpointState*>& engines,
                                    double ratio) {
  // The slowest engine determines the time, so an answer in time shows that
  // each was as fast as forecast, and a late one that at least one was not.
  std::vector<EndpointState*> slow;
  std::vector<EndpointState*> suspects;
  for (EndpointState* state : engines) {
    if (state->slowness > 1) slow.push_back(state);
    const bool cleared =
        state->sound_at != TimePoint() && now - state->sound_at < kClearedFor;
    if (!cleared) suspects.push_back(state);
  }
  const auto learn = [now](EndpointState& state, double value) {
    state.slowness_estimate.Add(now, value);
    state.slowness = state.slowness_estimate.value();
  };
  if (slow.size() == 1) {
    learn(*slow.front(), ratio * slow.front()->slowness);
  } else if (slow.empty() && ratio < SlownessEstimate::kSlowRatio) {
    for (EndpointState* state : engines) {
      learn(*state, ratio);
      state->sound_at = now;
    }
  } else if (slow.empty() && suspects.size() == 1) {
    learn(*suspects.front(), ratio);
  }
}

void EndpointTracker::UpdatePace(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    if (!state.learned) continue;
    std::vector<double> overdue;
    for (const CallLoad& call : state.calls) {
      const bool counts = call.takes_slot && !call.split && !call.waits &&
                          call.prefill_ms > 0 && call.forecast_ms > 0;
      if (!counts) continue;
      const double ratio =
          RatioOf(Milliseconds(now - call.began), call.forecast_ms) *
          call.slowness;
      if (ratio >= SlownessEstimate::kSlowRatio) overdue.push_back(ratio);
    }
    state.slowness_estimate.Update(now, overdue);
    state.slowness = state.slowness_estimate.value();
  }
}

//==============================================================================
// Handover and log

std::vector<EndpointAllowance> EndpointTracker::Allowances(
    TimePoint now, const ServiceName& service, bool knows_all_calls) const {
  std::vector<EndpointAllowance> allowances;
  for (const auto& [id, state] : endpoints_) {
    if (!state.learned || state.listed.service != service) continue;
    const bool failed =
        state.pace.probing() && now - state.pace.last_failure() < kHandoverAge;
    const bool cold = now < state.cold_until;
    const auto calls = state.pace.calls();
    const bool limited = knows_all_calls && calls && !state.pace.probing();
    if (!failed && !cold && !limited) continue;
    EndpointAllowance allowance;
    allowance.endpoint = id;
    allowance.boot = state.listed.boot();
    allowance.calls = static_cast<uint32_t>(
        calls && (failed || knows_all_calls)
            ? *calls
            : static_cast<int>(EndpointPace::kMinStartCalls));
    if (cold) {
      allowance.calls_per_1000s =
          static_cast<uint32_t>(std::lround(1000 * state.cold_rate));
    }
    allowances.push_back(std::move(allowance));
  }
  return allowances;
}

void EndpointTracker::RestartPace(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    if (!state.learned) continue;
    state.pace = {};
    if (now >= state.cold_until) continue;
    state.pace.OnStart(EndpointPace::kMinStartCalls);
  }
}

void EndpointTracker::OnAllowances(
    TimePoint now, const std::vector<EndpointAllowance>& allowances) {
  for (const EndpointAllowance& allowance : allowances) {
    EndpointState* state = FindMutable(allowance.endpoint);
    if (state == nullptr || !state->learned ||
        state->listed.boot() != allowance.boot || allowance.calls == 0) {
      continue;
    }
    if (allowance.calls_per_1000s > 0 && now >= state->cold_until) {
      // The sender knows of a cold period, but not here how long it is.
      OnCold(now, allowance.endpoint, kHandoverCold,
             allowance.calls_per_1000s / 1000.0);
    }
    state->pace.OnHandover(now, allowance.calls);
  }
}

std::vector<PaceChange> EndpointTracker::TakePaceChanges() {
  std::vector<PaceChange> changes;
  for (auto& [id, state] : endpoints_) {
    if (!state.learned) continue;
    const int calls = state.pace.calls().value_or(0);
    const double factor = state.slowness / state.logged_slowness;
    const bool slower = factor >= kLoggedFactor || factor <= 1 / kLoggedFactor;
    // A limit that rises step by step is not logged.
    const bool changed =
        (calls == 0) != (state.logged_calls == 0) || calls < state.logged_calls;
    if (!changed && !slower) {
      state.logged_calls = calls;
      continue;
    }
    changes.push_back({id, state.logged_calls, calls, state.slowness,
                       slower && !changed ? EndpointPace::Reason::kNone
                                          : state.pace.reason()});
    state.logged_calls = calls;
    state.logged_slowness = state.slowness;
  }
  return changes;
}

}  // namespace zr
