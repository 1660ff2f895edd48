#include "zr_gateway/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "zr_gateway/engine_passes.h"

namespace zr {

/** Snapshot of an engine's load for one choice. */
struct PlacementPolicy::EngineView {
  const EndpointState* state = nullptr;
  double calls = 0;    // calls that occupy a slot
  double rest_ms = 0;  // of the current pass
  double next_ms = 0;  // length of the next pass
  double free_tokens = 0;
  uint64_t rank = 0;  // breaks ties

  /** Length of the next pass if it prefills a further segment. */
  double PassWith(double prefill_ms) const {
    return next_ms + prefill_ms * state->slowness;
  }
  PlacedEndpoint ToPlacedEndpoint() const {
    return {state->listed.id, state->listed.address};
  }
};

namespace {

// Older load reports are ignored.
constexpr Duration kMaxReportAge = Duration::Milliseconds(1500);
// Penalty for an engine without a free slot, for each call that has to end
// first.
constexpr double kSlotPenaltyMs = 300;
// Penalty for an engine without enough memory, where another request has to end
// first.
constexpr double kMemoryPenaltyMs = 1500;

/** Number of calls at an endpoint: the tracked ones, or more if the endpoint
 * has reported more. */
double EstimateCalls(TimePoint now, const EndpointState& state) {
  const int tracked = state.OccupiedSlots();
  if (!state.report || now - state.reported_at > kMaxReportAge) return tracked;
  const int reported = state.report->running + state.report->waiting;
  const double age = (now - state.reported_at).seconds();
  const double weight = 1.0 - age / kMaxReportAge.seconds();
  return tracked + std::max(0, reported - tracked) * weight;
}

/** Orders equally good endpoints differently for each request. */
uint64_t TieBreak(const EndpointState& state, uint64_t tie_seed) {
  return Hash64(state.listed.id.value(), tie_seed);
}

double ToMilliseconds(Duration duration) { return duration.seconds() * 1000; }

Duration FromMilliseconds(double ms) {
  return Duration::Microseconds(static_cast<int64_t>(1000 * ms));
}

}  // namespace

double PrefillMilliseconds(const EngineProfile& engine, TokenCount prompt) {
  const auto tokens = static_cast<double>(prompt.value());
  const double pairs = tokens * tokens / 2;
  return tokens / engine.prefill_tokens_per_ms +
         pairs / 1e6 * engine.pairs_ms_per_million;
}

double PassMilliseconds(const EngineProfile& engine, int sequences,
                        double mean_context) {
  if (sequences <= 0) return 0;
  const double step =
      engine.step_ms +
      sequences *
          (engine.sequence_ms + engine.context_ms_per_1k * mean_context / 1000);
  return engine.stride * step;
}

CallEndpoints PlacementPlan::Endpoints() const {
  CallEndpoints endpoints;
  endpoints.primary = primary.endpoint;
  for (const PlacedEndpoint& helper : helpers) {
    endpoints.helpers.push_back(helper.endpoint);
  }
  endpoints.kv_holders = kv_holders;
  endpoints.kv_per_holder = kv_per_holder;
  return endpoints;
}

bool FitsEngines(const EngineProfile& engine, const PromptShape& shape,
                 size_t engines, size_t max_helpers) {
  const auto count = static_cast<int64_t>(std::min(engines, max_helpers + 1));
  return (shape.prompt + shape.max_answer).value() <=
         engine.kv_capacity.value() * count;
}

std::optional<MemorySplit> SplitMemory(
    double needed, double free_primary,
    const std::vector<double>& free_helpers) {
  if (needed <= free_primary) return MemorySplit{};
  for (size_t holders = 1; holders <= free_helpers.size(); ++holders) {
    const double share = std::ceil(needed / static_cast<double>(holders + 1));
    // Helpers are sorted, so the last one has the least free memory.
    if (share > free_primary || share > free_helpers[holders - 1]) continue;
    return MemorySplit{holders, TokenCount(static_cast<int64_t>(share))};
  }
  return std::nullopt;
}

double RequestValue(const PromptShape& shape) {
  constexpr double kAnswerTokenWeight = 10;
  return static_cast<double>(shape.prompt.value()) +
         kAnswerTokenWeight * static_cast<double>(shape.max_answer.value());
}

std::optional<PlacementPlan> PlacementPolicy::Choose(
    TimePoint now, const EndpointTracker& tracker, const ServiceName& service,
    const EngineProfile* engine, const CallRequirements& requirements,
    uint64_t tie_seed) const {
  const auto candidates = tracker.Available(now, service, requirements.excluded,
                                            LimitSpare(engine, requirements));
  if (candidates.empty()) return std::nullopt;
  if (engine == nullptr) return ChoosePlain(now, candidates, tie_seed);

  std::vector<EngineView> engines;
  engines.reserve(candidates.size());
  for (const EndpointState* state : candidates) {
    engines.push_back(MakeView(now, *state, *engine, tie_seed));
  }
  const double total_prefill_ms =
      PrefillMilliseconds(*engine, requirements.shape.prompt);
  if (IsShortPrefill(total_prefill_ms)) {
    return PackShort(engines, *engine, requirements, total_prefill_ms);
  }
  return SplitLong(engines, *engine, requirements, total_prefill_ms);
}

double PlacementPolicy::LimitSpare(const EngineProfile* engine,
                                   const CallRequirements& requirements) const {
  const bool leaves_spare =
      options_.pack && engine != nullptr &&
      IsShortPrefill(PrefillMilliseconds(*engine, requirements.shape.prompt));
  return leaves_spare ? options_.limit_spare : 0;
}

PlacementPolicy::EngineView PlacementPolicy::MakeView(
    TimePoint now, const EndpointState& state, const EngineProfile& engine,
    uint64_t tie_seed) const {
  EngineView view;
  view.state = &state;
  view.calls = EstimateCalls(now, state);
  const double held = static_cast<double>(state.KvInUse().value());
  const PassForecast passes = ForecastPasses(now, state, engine);
  view.rest_ms = passes.rest_ms;
  // Calls that other VMs have placed by themselves are known by number only.
  const int known = state.OccupiedSlots();
  const int unknown = static_cast<int>(view.calls) - known;
  view.next_ms = passes.next_ms;
  if (unknown > 0) {
    view.next_ms += PassMilliseconds(engine, passes.streams + unknown, 0) -
                    PassMilliseconds(engine, passes.streams, 0);
  }
  const auto capacity = static_cast<double>(engine.kv_capacity.value());
  view.free_tokens = capacity * (1 - options_.kv_reserve) - held;
  view.rank = TieBreak(state, tie_seed);
  return view;
}

std::vector<EndpointForecast> PlacementPolicy::Forecasts(
    TimePoint now, const EndpointTracker& tracker, const ServiceName& service,
    const EngineProfile* engine, const CallRequirements& requirements) const {
  std::vector<EndpointForecast> forecasts;
  for (const EndpointState* state :
       tracker.Available(now, service, requirements.excluded,
                         LimitSpare(engine, requirements))) {
    if (engine == nullptr) {
      forecasts.push_back({state, EstimateCalls(now, *state), 0, 0, 0, 0, {}});
    } else {
      EndpointForecast forecast = ForecastAlone(
          MakeView(now, *state, *engine, 0), *engine, requirements,
          PrefillMilliseconds(*engine, requirements.shape.prompt));
      forecast.stalled_value =
          state->ValueStalledBy(forecast.pass_ms / options_.max_gap_share);
      forecasts.push_back(forecast);
    }
  }
  return forecasts;
}

EndpointForecast PlacementPolicy::ForecastAlone(
    const EngineView& engine, const EngineProfile& profile,
    const CallRequirements& requirements, double total_prefill_ms) const {
  const double needed = static_cast<double>(
      (requirements.shape.prompt + requirements.shape.max_answer).value());
  const double max_packed_calls = profile.slots * (1 - options_.slot_reserve);
  EndpointForecast forecast;
  forecast.state = engine.state;
  forecast.calls = engine.calls;
  forecast.free_tokens = engine.free_tokens;
  forecast.pass_ms = engine.PassWith(total_prefill_ms);
  forecast.first_token_ms =
      engine.rest_ms + forecast.pass_ms +
      std::max(0.0, engine.calls + 1 - profile.slots) * kSlotPenaltyMs +
      (needed > engine.free_tokens ? kMemoryPenaltyMs : 0);
  if (engine.calls + 1 > max_packed_calls) {
    forecast.drawback = "its slots are nearly or fully used";
  } else if (needed > engine.free_tokens) {
    forecast.drawback = "has too little free memory";
  } else if (forecast.pass_ms >
             ToMilliseconds(requirements.max_gap) * options_.max_gap_share) {
    forecast.drawback = "its next pass is longer than the allowed pause";
  } else if (forecast.first_token_ms >
             ToMilliseconds(requirements.objective) * options_.max_gap_share) {
    forecast.drawback = "its first token would come too late";
  }
  return forecast;
}

std::optional<PlacementPlan> PlacementPolicy::ChoosePlain(
    TimePoint now, const std::vector<const EndpointState*>& candidates,
    uint64_t tie_seed) const {
  const auto score = [&](const EndpointState* state) {
    return std::pair(
        EstimateCalls(now, *state) / std::max(1, state->listed.slots),
        TieBreak(*state, tie_seed));
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const EndpointState* a, const EndpointState* b) {
                         return score(a) < score(b);
                       });
  PlacementPlan plan;
  plan.primary = {(*best)->listed.id, (*best)->listed.address};
  return plan;
}

std::optional<PlacementPlan> PlacementPolicy::PackShort(
    const std::vector<EngineView>& engines, const EngineProfile& profile,
    const CallRequirements& requirements, double total_prefill_ms) const {
  // Prefers the fullest engine that has room and stalls no stream, otherwise
  // the engine with the earliest first token.
  const auto score = [&](const EngineView& engine) {
    const EndpointForecast forecast =
        ForecastAlone(engine, profile, requirements, total_prefill_ms);
    const bool undisturbed = forecast.drawback == nullptr;
    const double packed = options_.pack ? -engine.calls : engine.calls;
    return std::tuple(undisturbed ? 0 : 1,
                      undisturbed ? packed : forecast.first_token_ms,
                      engine.rank);
  };
  const auto best =
      std::min_element(engines.begin(), engines.end(),
                       [&](const EngineView& a, const EngineView& b) {
                         return score(a) < score(b);
                       });
  PlacementPlan plan;
  plan.primary = best->ToPlacedEndpoint();
  plan.prefill_ms = total_prefill_ms;
  plan.undisturbed = std::get<0>(score(*best)) == 0;
  plan.expected_first_token =
      FromMilliseconds(best->rest_ms + best->PassWith(total_prefill_ms));
  return plan;
}

std::optional<PlacementPlan> PlacementPolicy::SplitLong(
    const std::vector<EngineView>& engines, const EngineProfile& profile,
    const CallRequirements& requirements, double total_prefill_ms) const {
  const double needed = static_cast<double>(
      (requirements.shape.prompt + requirements.shape.max_answer).value());
  const double objective_ms = ToMilliseconds(requirements.objective);
  const double value = RequestValue(requirements.shape);
  const auto lateness_risk = [&](double first_token_ms) {
    const double safe = options_.safe_objective_share * objective_ms;
    return std::clamp((first_token_ms - safe) / (objective_ms - safe), 0.0,
                      1.0);
  };
  const size_t max_engines = std::min(engines.size(), options_.max_helpers + 1);

  std::optional<PlacementPlan> best;
  std::pair<double, double> best_score;
  for (size_t engine_count = 1; engine_count <= max_engines; ++engine_count) {
    const double prefill_ms =
        total_prefill_ms / static_cast<double>(engine_count);
    struct Candidate {
      const EngineView* engine;
      double stalled_value;
      double first_token_ms;
    };
    std::vector<Candidate> candidates;
    for (const EngineView& engine : engines) {
      const double pass_ms = engine.PassWith(prefill_ms);
      candidates.push_back(
          {&engine,
           engine.state->ValueStalledBy(pass_ms / options_.max_gap_share),
           engine.rest_ms + pass_ms});
    }
    std::sort(
        candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) {
          return std::tuple(a.stalled_value, a.first_token_ms, a.engine->rank) <
                 std::tuple(b.stalled_value, b.first_token_ms, b.engine->rank);
        });
    // An engine with a limit of its own helps no other, so at most one of them
    // takes part, as the engine that runs the request.
    bool limited = false;
    std::erase_if(candidates, [&limited](const Candidate& candidate) {
      return candidate.engine->state->limit && std::exchange(limited, true);
    });
    if (candidates.size() < engine_count) break;
    candidates.resize(engine_count);
    double stalled_value = 0;
    double first_token_ms = 0;
    for (const Candidate& candidate : candidates) {
      stalled_value += candidate.stalled_value;
      first_token_ms = std::max(first_token_ms, candidate.first_token_ms);
    }
    // The engine with the most free memory runs the request, unless one may
    // not help.
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& a, const Candidate& b) {
                       return std::pair(a.engine->state->limit.has_value(),
                                        a.engine->free_tokens) >
                              std::pair(b.engine->state->limit.has_value(),
                                        b.engine->free_tokens);
                     });
    const EngineView* primary = candidates.front().engine;
    std::vector<double> free_helpers;
    for (size_t i = 1; i < candidates.size(); ++i) {
      free_helpers.push_back(candidates[i].engine->free_tokens);
    }
    const auto split = SplitMemory(needed, primary->free_tokens, free_helpers);
    if (!split) {
      if (needed > static_cast<double>(profile.kv_capacity.value())) continue;
      first_token_ms += kMemoryPenaltyMs;
    }
    const std::pair score(stalled_value + value * lateness_risk(first_token_ms),
                          first_token_ms);
    if (best && !(score < best_score)) continue;
    best_score = score;
    best.emplace();
    best->primary = primary->ToPlacedEndpoint();
    for (size_t i = 1; i < candidates.size(); ++i) {
      best->helpers.push_back(candidates[i].engine->ToPlacedEndpoint());
    }
    if (split) {
      best->kv_holders = split->kv_holders;
      best->kv_per_holder = split->kv_per_holder;
    }
    best->prefill_ms = prefill_ms;
    best->undisturbed =
        split && stalled_value <= 0 && first_token_ms <= objective_ms;
    best->expected_first_token = FromMilliseconds(first_token_ms);
  }
  return best;
}

}  // namespace zr
