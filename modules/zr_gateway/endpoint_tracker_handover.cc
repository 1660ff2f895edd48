// Implementation of endpoint_tracker.h: what other dispatchers and the log are
// told of the pace of endpoints.

#include <cmath>
#include <utility>

#include "zr_gateway/endpoint_tracker.h"

namespace zr {
namespace {

// Cold period of an endpoint whose rest is not known.
constexpr Duration kHandoverCold = Duration::Seconds(1);
// Failures that are older are not handed over.
constexpr Duration kHandoverAge = Duration::Seconds(10);
// Smallest change of the slowness that is logged.
constexpr double kLoggedFactor = 1.5;

}  // namespace

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
    if (state == nullptr || state->listed.boot() != allowance.boot ||
        allowance.calls == 0 || options_.pace != PaceMode::kLearned) {
      continue;
    }
    state->learned = true;
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
