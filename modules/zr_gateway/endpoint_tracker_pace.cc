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
// Ratio that shows slowness in spite of contention, whose length is not known
// exactly. With 3, long prompts that pile up made sound engines look slow.
constexpr double kContendedSlowRatio = 4;
// A suspicion for which no test came is dropped after this time.
constexpr Duration kSuspectedFor = Duration::Seconds(3);
// A limit that is used up allows one more call if nothing was heard of its
// calls for this long: their ends may have been lost.
constexpr Duration kStalled = Duration::Seconds(1);
// Factors of the trust in load reports: after an answer in time by an endpoint
// that reports more calls than it has slots, and after other answers in time.
constexpr double kContradicted = 0.5;
constexpr double kConfirmed = 1.05;

double Milliseconds(Duration duration) { return duration.seconds() * 1000; }

/** Observed time / forecast. */
double RatioOf(double elapsed_ms, double forecast_ms) {
  return std::max(0.0, elapsed_ms - kTransportMs) /
         std::max(kMinForecastMs, forecast_ms);
}

/** Smallest ratio that shows slowness. */
double SlowRatio(double contention_ms) {
  return contention_ms > 0 ? kContendedSlowRatio : SlownessEstimate::kSlowRatio;
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

bool EndpointState::WantsTest() const {
  if (suspicion <= 0 || slowness > 1) return false;
  return std::none_of(calls.begin(), calls.end(), [this](const CallLoad& call) {
    return !call.split && call.placed >= suspected_at;
  });
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
  for (CallLoad& other : state.calls) {
    if (&other == &call || other.prefill_ms <= 0) continue;
    if (call.split) other.contention_ms += call.prefill_ms * state.slowness;
    // One that should have ended long ago shows that the endpoint is slow.
    const bool overdue =
        other.forecast_ms > 0 &&
        RatioOf(Milliseconds(now - other.began),
                other.forecast_ms + other.contention_ms) >= kContendedSlowRatio;
    if (other.split && !overdue) {
      call.contention_ms += other.prefill_ms * state.slowness;
    }
  }
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
  if (call->forecast_ms <= 0 || call->waits) {
    return AnsweredInTime(now, *primary);
  }
  const Duration since_begin = now - call->began;
  const bool waited = call->began > call->placed;
  const double elapsed_ms =
      Milliseconds(waited ? since_begin : elapsed.value_or(since_begin));
  const double contention_ms = ContentionMs(engines, key);
  const double ratio = RatioOf(elapsed_ms, call->forecast_ms + contention_ms);
  // Below the bound for contended calls it shows nothing.
  const bool late = ratio >= SlowRatio(contention_ms);
  if (contention_ms <= 0 || late) {
    LearnRatio(now, engines, ratio, call->slowness);
  }
  if (!late) {
    AnsweredInTime(now, *primary);
  } else if (engines.size() == 1) {
    primary->pace.OnLate(now);
  }
}

void EndpointTracker::LearnRatio(TimePoint now,
                                 const std::vector<EndpointId>& engines,
                                 double ratio, double slowness) {
  std::vector<EndpointState*> readers;
  for (const EndpointId& id : engines) {
    EndpointState* state = FindMutable(id);
    if (state != nullptr) readers.push_back(state);
  }
  if (readers.size() < engines.size()) return;
  if (readers.size() > 1) return LearnFromSplit(now, readers, ratio);
  EndpointState& state = *readers.front();
  LearnSlowness(now, state, ratio * slowness);
  const bool sound =
      ratio < SlownessEstimate::kSlowRatio && state.slowness <= 1;
  if (sound) state.sound_at = now;
}

void EndpointTracker::LearnSlowness(TimePoint now, EndpointState& state,
                                    double ratio) {
  // The call that it shared is a second witness.
  if (state.suspicion > 0) {
    state.slowness_estimate.Add(now, std::min(state.suspicion, ratio));
    state.suspicion = 0;
  }
  state.slowness_estimate.Add(now, ratio);
  state.slowness = state.slowness_estimate.value();
}

void EndpointTracker::Suspect(TimePoint now,
                              const std::vector<EndpointState*>& engines,
                              double ratio) {
  std::vector<EndpointState*> suspects;
  for (EndpointState* state : engines) {
    const bool cleared =
        state->sound_at != TimePoint() && now - state->sound_at < kClearedFor;
    if (!cleared && state->slowness <= 1) suspects.push_back(state);
  }
  if (suspects.size() == 1) {
    return LearnSlowness(now, *suspects.front(), ratio);
  }
  for (EndpointState* state : suspects) {
    state->suspicion = std::max(state->suspicion, ratio);
    state->suspected_at = now;
  }
}

void EndpointTracker::LearnFromSplit(TimePoint now,
                                     const std::vector<EndpointState*>& engines,
                                     double ratio) {
  if (ratio >= SlownessEstimate::kSlowRatio) {
    return Suspect(now, engines, ratio);
  }
  // The slowest engine determines the time, so an answer in time shows that
  // none was slower than forecast.
  std::vector<EndpointState*> slow;
  for (EndpointState* state : engines) {
    if (state->slowness > 1) slow.push_back(state);
  }
  if (slow.size() == 1) {
    LearnSlowness(now, *slow.front(), ratio * slow.front()->slowness);
  } else if (slow.empty()) {
    for (EndpointState* state : engines) {
      LearnSlowness(now, *state, ratio);
      state->sound_at = now;
    }
  }
}

double EndpointTracker::ContentionMs(const std::vector<EndpointId>& engines,
                                     const CallKey& key) const {
  double longest = 0;
  for (const EndpointId& id : engines) {
    const EndpointState* state = Find(id);
    if (state == nullptr) continue;
    for (const CallLoad& call : state->calls) {
      if (call.key == key) longest = std::max(longest, call.contention_ms);
    }
  }
  return longest;
}

void EndpointTracker::SuspectOverdue(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    for (CallLoad& call : state.calls) {
      const bool counts = call.takes_slot && call.split && !call.waits &&
                          !call.blamed && call.prefill_ms > 0 &&
                          call.forecast_ms > 0;
      if (!counts) continue;
      const double elapsed_ms = Milliseconds(now - call.began);
      if (RatioOf(elapsed_ms, call.forecast_ms) <
          SlownessEstimate::kSlowRatio) {
        continue;
      }
      std::vector<EndpointState*> engines;
      double contention_ms = 0;
      for (auto& [other_id, other] : endpoints_) {
        for (const CallLoad& load : other.calls) {
          if (load.key != call.key) continue;
          engines.push_back(&other);
          contention_ms = std::max(contention_ms, load.contention_ms);
        }
      }
      const double ratio =
          RatioOf(elapsed_ms, call.forecast_ms + contention_ms);
      if (ratio < SlowRatio(contention_ms)) continue;
      call.blamed = true;
      Suspect(now, engines, ratio);
    }
  }
}

void EndpointTracker::UpdatePace(TimePoint now) {
  if (options_.pace == PaceMode::kLearned) SuspectOverdue(now);
  for (auto& [id, state] : endpoints_) {
    if (!state.learned) continue;
    std::vector<double> overdue;
    for (const CallLoad& call : state.calls) {
      const bool counts = call.takes_slot && !call.split && !call.waits &&
                          call.prefill_ms > 0 && call.forecast_ms > 0;
      if (!counts) continue;
      const double ratio = RatioOf(Milliseconds(now - call.began),
                                   call.forecast_ms + call.contention_ms) *
                           call.slowness;
      if (ratio >= SlowRatio(call.contention_ms)) overdue.push_back(ratio);
    }
    if (now - state.suspected_at > kSuspectedFor) state.suspicion = 0;
    if (state.suspicion > 0 && !overdue.empty()) {
      overdue.push_back(std::min(state.suspicion, overdue.front()));
    }
    state.slowness_estimate.Update(now, overdue);
    state.slowness = state.slowness_estimate.value();
  }
}

}  // namespace zr
