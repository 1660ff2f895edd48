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
  double calls = 0;  // calls that occupy a slot
  PassForecast passes;
  double waiting_value = 0;  // of its own prompts that are not prefilled yet
  double free_tokens = 0;
  uint64_t rank = 0;  // breaks ties
  TimePoint now;

  /** Length of the next pass if it prefills a further prompt. */
  double PassWith(double prefill_ms) const {
    return passes.decode_ms + passes.prefill_ms + prefill_ms * state->slowness;
  }
  /** The same for a segment of another engine's prompt. */
  double PassWithSegment(double prefill_ms) const {
    return passes.decode_ms + passes.segments_ms + prefill_ms * state->slowness;
  }
  /** Value of the calls that are late, or whose streams stall, only because the
   * next pass prefills a further segment.
   * @param max_gap_share  share of a tolerated pause that the pass may take */
  double ValueHarmedBy(double prefill_ms, double max_gap_share) const {
    const auto harmed = [&](double pass_ms) {
      const TimePoint ends = now + Duration::Microseconds(static_cast<int64_t>(
                                       1000 * (passes.rest_ms + pass_ms)));
      return state->ValueStalledBy(pass_ms / max_gap_share) +
             state->ValueDelayedTo(ends, passes.began);
    };
    return harmed(PassWith(prefill_ms)) - harmed(PassWith(0));
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
  int reported = state.report->running + state.report->waiting;
  if (state.learned) {
    // Only a hint: it may be wrong by any amount.
    const int most = tracked + 2 * state.listed.slots;
    reported = std::clamp(reported, 0, most);
  }
  const double age = (now - state.reported_at).seconds();
  const double weight =
      state.report_trust * (1.0 - age / kMaxReportAge.seconds());
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
  const auto is_probe = [](const EngineView& engine) {
    return engine.state->learned && engine.state->pace.probing();
  };
  if (IsShortPrefill(total_prefill_ms)) {
    return PackShort(engines, *engine, requirements, total_prefill_ms);
  }
  // A long prompt fails if one of its engines does, so it is no probe unless
  // all are.
  if (!std::all_of(engines.begin(), engines.end(), is_probe)) {
    std::erase_if(engines, is_probe);
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
  view.now = now;
  const auto capacity = static_cast<double>(engine.kv_capacity.value());
  const double held = static_cast<double>(state.KvInUse().value());
  view.free_tokens = capacity * (1 - options_.kv_reserve) - held;
  view.rank = TieBreak(state, tie_seed);
  if (!options_.forecast_passes) {
    view.passes.prefill_ms = view.passes.segments_ms = state.BacklogMs(now);
    view.passes.decode_ms =
        PassMilliseconds(engine, static_cast<int>(view.calls),
                         view.calls > 0 ? held / view.calls : 0);
    view.passes.began = now;
    return view;
  }
  view.passes = ForecastPasses(now, state, engine);
  // Calls that other VMs have placed by themselves are known by number only.
  const int unknown = static_cast<int>(view.calls) - state.OccupiedSlots();
  if (unknown > 0) {
    const int streams = view.passes.streams;
    view.passes.decode_ms +=
        state.slowness * (PassMilliseconds(engine, streams + unknown, 0) -
                          PassMilliseconds(engine, streams, 0));
  }
  for (const CallLoad& call : state.calls) {
    if (call.takes_slot && call.prefill_ms > 0) {
      view.waiting_value += call.value;
    }
  }
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
      engine.passes.rest_ms + forecast.pass_ms +
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
             ToMilliseconds(requirements.objective) *
                 (options_.forecast_passes ? options_.max_gap_share : 1)) {
    forecast.drawback = "its first token would come too late";
  }
  return forecast;
}

std::optional<PlacementPlan> PlacementPolicy::ChoosePlain(
    TimePoint now, const std::vector<const EndpointState*>& candidates,
    uint64_t tie_seed) const {
  const auto score = [&](const EndpointState* state) {
    // With this call, less what it adds to an endpoint that is not slow.
    const double calls = (EstimateCalls(now, *state) + 1) * state->slowness - 1;
    return std::pair(calls / std::max(1, state->listed.slots),
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
  const double needed = static_cast<double>(
      (requirements.shape.prompt + requirements.shape.max_answer).value());
  const double max_packed_ms =
      ToMilliseconds(requirements.max_gap) * options_.packed_gap_share;
  const auto has_room = [&](const EngineView& engine) {
    return engine.calls + 1 <= profile.slots && needed <= engine.free_tokens;
  };
  const auto harmed_value = [&](const EngineView& engine) {
    return engine.ValueHarmedBy(total_prefill_ms, options_.max_gap_share);
  };
  // Prefers an engine that may be slow and is to be tested, then the fullest
  // engine that has room and short passes, then one that has room and stalls no
  // stream, then the one with the earliest first token.
  const auto score = [&](const EngineView& engine) {
    const EndpointForecast forecast =
        ForecastAlone(engine, profile, requirements, total_prefill_ms);
    const bool undisturbed =
        forecast.drawback == nullptr &&
        (!requirements.prefers_room || harmed_value(engine) <= 0);
    if (!undisturbed) {
      int tier = 2;
      if (requirements.prefers_room && harmed_value(engine) > 0) tier = 3;
      if (requirements.prefers_room && !has_room(engine)) tier = 4;
      return std::tuple(tier, forecast.first_token_ms, engine.rank);
    }
    if (options_.pack && options_.forecast_passes &&
        forecast.pass_ms > max_packed_ms) {
      return std::tuple(1, forecast.first_token_ms, engine.rank);
    }
    double packed = options_.pack ? -engine.calls : engine.calls;
    if (engine.state->WantsTest()) packed -= profile.slots;
    return std::tuple(0, packed, engine.rank);
  };
  const auto best =
      std::min_element(engines.begin(), engines.end(),
                       [&](const EngineView& a, const EngineView& b) {
                         return score(a) < score(b);
                       });
  PlacementPlan plan;
  plan.primary = best->ToPlacedEndpoint();
  plan.prefill_ms = total_prefill_ms;
  plan.undisturbed = std::get<0>(score(*best)) < 2;
  plan.has_room = has_room(*best);
  plan.starts_at_once = plan.has_room;
  plan.harmed_value = harmed_value(*best);
  plan.shares_pass = best->passes.prefill_ms > 0;
  plan.expected_first_token =
      FromMilliseconds(best->passes.rest_ms + best->PassWith(total_prefill_ms));
  return plan;
}

std::optional<PlacementPlan> PlacementPolicy::SplitLong(
    const std::vector<EngineView>& engines, const EngineProfile& profile,
    const CallRequirements& requirements, double total_prefill_ms) const {
  const double needed = static_cast<double>(
      (requirements.shape.prompt + requirements.shape.max_answer).value());
  const double objective_ms = ToMilliseconds(requirements.objective);
  const double value = RequestValue(requirements.shape);
  const double safe_ms = options_.safe_objective_share * objective_ms;
  const double risky_ms = std::max(1.0, objective_ms - safe_ms);
  const auto lateness_risk = [&](double first_token_ms) {
    return std::clamp((first_token_ms - safe_ms) / risky_ms, 0.0, 1.0);
  };
  const size_t max_engines = std::min(engines.size(), options_.max_helpers + 1);

  std::optional<PlacementPlan> best;
  std::tuple<bool, double, double> best_score;
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
      const double pass_ms = engine.PassWithSegment(prefill_ms);
      // A segment goes before the engine's own prompts, which become later.
      const double delayed_value =
          engine.waiting_value * std::min(1.0, prefill_ms / risky_ms);
      candidates.push_back(
          {&engine,
           engine.state->ValueStalledBy(pass_ms / options_.max_gap_share) +
               delayed_value,
           engine.passes.rest_ms + pass_ms});
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
    const auto has_slot = [&profile](const Candidate& candidate) {
      return candidate.engine->calls + 1 <= profile.slots;
    };
    if (requirements.prefers_room) {
      // One of the engines has to run the request.
      const auto first =
          std::find_if(candidates.begin(), candidates.end(), has_slot);
      const auto last =
          candidates.begin() + static_cast<ptrdiff_t>(engine_count) - 1;
      if (first != candidates.end() && first > last) {
        std::iter_swap(first, last);
      }
    }
    candidates.resize(engine_count);
    double stalled_value = 0;
    double first_token_ms = 0;
    for (const Candidate& candidate : candidates) {
      stalled_value += candidate.stalled_value;
      first_token_ms = std::max(first_token_ms, candidate.first_token_ms);
    }
    // The engine that prefills its own prompts first runs the request if its
    // memory suffices, otherwise the one with the most free memory, unless one
    // may not help.
    const auto preference = [&](const Candidate& candidate) {
      const EngineView& engine = *candidate.engine;
      const bool fits = needed <= engine.free_tokens;
      return std::tuple(
          engine.state->limit.has_value(),
          !requirements.prefers_room || has_slot(candidate),
          options_.forecast_passes && fits,
          options_.forecast_passes && fits ? -engine.passes.prefill_ms : 0.0,
          engine.free_tokens);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const Candidate& a, const Candidate& b) {
                       return preference(a) > preference(b);
                     });
    const EngineView* primary = candidates.front().engine;
    first_token_ms =
        std::max(first_token_ms,
                 primary->passes.rest_ms + primary->PassWith(prefill_ms));
    std::vector<double> free_helpers;
    for (size_t i = 1; i < candidates.size(); ++i) {
      free_helpers.push_back(candidates[i].engine->free_tokens);
    }
    const auto split = SplitMemory(needed, primary->free_tokens, free_helpers);
    if (!split) {
      if (needed > static_cast<double>(profile.kv_capacity.value())) continue;
      first_token_ms += kMemoryPenaltyMs;
    }
    const bool has_room = split && has_slot(candidates.front());
    const std::tuple score(
        requirements.needs_room && !has_room,
        stalled_value + value * lateness_risk(first_token_ms), first_token_ms);
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
    best->starts_at_once =
        split.has_value() && primary->calls + 1 <= profile.slots;
    best->undisturbed =
        split && stalled_value <= 0 && first_token_ms <= objective_ms;
    best->has_room = has_room;
    best->harmed_value = stalled_value;
    best->expected_first_token = FromMilliseconds(first_token_ms);
  }
  return best;
}

}  // namespace zr
