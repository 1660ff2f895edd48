#include "zr_gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace zr {

/** An engine as the choice sees it. */
struct Placement::EngineView {
  const EndpointState* state = nullptr;
  double calls = 0;       // that take a slot
  double backlog_ms = 0;  // reading in progress
  double pass_ms = 0;     // of a pass without reading
  double free_tokens = 0;
  uint64_t rank = 0;  // resolves ties

  PlacedEndpoint Placed() const {
    return {state->listed.id, state->listed.address};
  }
};

namespace {

// A load report says nothing about an endpoint after this time.
constexpr Duration kReportLife = Duration::Milliseconds(1500);
// Score of an engine without a free slot, in milliseconds for each call that
// has to end first.
constexpr double kSlotWaitMs = 300;
// Score of an engine whose memory is too full: another request must end first.
constexpr double kMemoryWaitMs = 1500;

/** Calls at an endpoint: those known, or more if it reports more. */
double CallsAt(TimePoint now, const EndpointState& state) {
  const int known = state.Writers();
  if (!state.report || now - state.reported_at > kReportLife) return known;
  const int reported = state.report->running + state.report->waiting;
  const double age = (now - state.reported_at).seconds();
  const double weight = 1.0 - age / kReportLife.seconds();
  return known + std::max(0, reported - known) * weight;
}

/** Ranks equally good endpoints differently for each request. */
uint64_t TieRank(const EndpointState& state, uint64_t tie) {
  return Hash64(state.listed.id.value(), tie);
}

double Milliseconds(Duration duration) { return duration.seconds() * 1000; }

Duration FromMilliseconds(double ms) {
  return Duration::Microseconds(static_cast<int64_t>(1000 * ms));
}

}  // namespace

double ReadMilliseconds(const EngineFigures& engine, TokenCount prompt) {
  const auto tokens = static_cast<double>(prompt.value());
  const double pairs = tokens * tokens / 2;
  return tokens / engine.read_tokens_per_ms +
         pairs / 1e6 * engine.pairs_ms_per_million;
}

double PassMilliseconds(const EngineFigures& engine, int writers,
                        double mean_context) {
  if (writers <= 0) return 0;
  const double step =
      engine.step_ms + writers * (engine.writer_ms + engine.context_ms_per_1k *
                                                         mean_context / 1000);
  return engine.stride * step;
}

CallEndpoints PlacementPlan::Endpoints() const {
  CallEndpoints endpoints;
  endpoints.first = first.endpoint;
  for (const PlacedEndpoint& helper : helpers) {
    endpoints.helpers.push_back(helper.endpoint);
  }
  endpoints.holders = holders;
  endpoints.reserved = reserved;
  return endpoints;
}

bool FitsEngines(const EngineFigures& engine, const PromptShape& shape,
                 size_t engines, size_t most_helpers) {
  const auto count = static_cast<int64_t>(std::min(engines, most_helpers + 1));
  return (shape.prompt + shape.max_answer).value() <=
         engine.kv_capacity.value() * count;
}

std::optional<MemorySplit> SplitMemory(
    double need, double free_first, const std::vector<double>& free_helpers) {
  if (need <= free_first) return MemorySplit{};
  for (size_t holders = 1; holders <= free_helpers.size(); ++holders) {
    const double share = std::ceil(need / static_cast<double>(holders + 1));
    // Engines are sorted, so the last holder has the least room.
    if (share > free_first || share > free_helpers[holders - 1]) continue;
    return MemorySplit{holders, TokenCount(static_cast<int64_t>(share))};
  }
  return std::nullopt;
}

double RequestValue(const PromptShape& shape) {
  constexpr double kAnswerTokenWeight = 10;
  return static_cast<double>(shape.prompt.value()) +
         kAnswerTokenWeight * static_cast<double>(shape.max_answer.value());
}

std::optional<PlacementPlan> Placement::Choose(
    TimePoint now, const EndpointBoard& board, const ServiceName& service,
    const EngineFigures* engine, const CallNeeds& needs, uint64_t tie) const {
  const auto candidates = board.Available(now, service, needs.excluded);
  if (candidates.empty()) return std::nullopt;
  if (engine == nullptr) return ChoosePlain(now, candidates, tie);

  const auto capacity = static_cast<double>(engine->kv_capacity.value());
  std::vector<EngineView> engines;
  for (const EndpointState* state : candidates) {
    EngineView view;
    view.state = state;
    view.calls = CallsAt(now, *state);
    view.backlog_ms = state->BacklogMs(now);
    const double held = static_cast<double>(state->Held().value());
    view.pass_ms = PassMilliseconds(*engine, static_cast<int>(view.calls),
                                    view.calls > 0 ? held / view.calls : 0);
    view.free_tokens = capacity * (1 - options_.kv_reserve) - held;
    view.rank = TieRank(*state, tie);
    engines.push_back(view);
  }
  const double read_ms = ReadMilliseconds(*engine, needs.shape.prompt);
  if (ReadsAlone(read_ms)) {
    return PackShort(engines, *engine, needs, read_ms);
  }
  return SplitLong(engines, *engine, needs, read_ms);
}

std::optional<PlacementPlan> Placement::ChoosePlain(
    TimePoint now, const std::vector<const EndpointState*>& candidates,
    uint64_t tie) const {
  const auto score = [&](const EndpointState* state) {
    return std::pair(CallsAt(now, *state) / std::max(1, state->listed.slots),
                     TieRank(*state, tie));
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const EndpointState* a, const EndpointState* b) {
                         return score(a) < score(b);
                       });
  PlacementPlan plan;
  plan.first = {(*best)->listed.id, (*best)->listed.address};
  return plan;
}

std::optional<PlacementPlan> Placement::PackShort(
    const std::vector<EngineView>& engines, const EngineFigures& figures,
    const CallNeeds& needs, double read_ms) const {
  const double need = static_cast<double>(
      (needs.shape.prompt + needs.shape.max_answer).value());
  const double pause = Milliseconds(needs.gap) * options_.gap_share;
  const double pack_to = figures.slots * (1 - options_.slot_reserve);
  // Undisturbed engines with room first, the fullest of them; then the engine
  // with the earliest first token.
  const auto score = [&](const EngineView& engine) {
    const double first_token =
        engine.backlog_ms + read_ms + engine.pass_ms +
        std::max(0.0, engine.calls + 1 - figures.slots) * kSlotWaitMs +
        (need > engine.free_tokens ? kMemoryWaitMs : 0);
    const bool calm =
        engine.calls + 1 <= pack_to && need <= engine.free_tokens &&
        first_token <= std::min(pause, Milliseconds(needs.objective));
    const double packed = options_.pack ? -engine.calls : engine.calls;
    return std::tuple(calm ? 0 : 1, calm ? packed : first_token, engine.rank);
  };
  const auto best =
      std::min_element(engines.begin(), engines.end(),
                       [&](const EngineView& a, const EngineView& b) {
                         return score(a) < score(b);
                       });
  PlacementPlan plan;
  plan.first = best->Placed();
  plan.part_ms = read_ms;
  plan.expected_first_token =
      FromMilliseconds(best->backlog_ms + read_ms + best->pass_ms);
  return plan;
}

std::optional<PlacementPlan> Placement::SplitLong(
    const std::vector<EngineView>& engines, const EngineFigures& figures,
    const CallNeeds& needs, double read_ms) const {
  const double need = static_cast<double>(
      (needs.shape.prompt + needs.shape.max_answer).value());
  const double objective = Milliseconds(needs.objective);
  const double value = RequestValue(needs.shape);
  const auto risk = [&](double done) {
    const double certain = options_.certain_share * objective;
    return std::clamp((done - certain) / (objective - certain), 0.0, 1.0);
  };
  const size_t most = std::min(engines.size(), options_.max_helpers + 1);

  std::optional<PlacementPlan> best;
  std::pair<double, double> best_score;
  for (size_t readers = 1; readers <= most; ++readers) {
    const double part = read_ms / static_cast<double>(readers);
    struct Choice {
      const EngineView* engine;
      double disturbed;
      double done;
    };
    std::vector<Choice> choices;
    for (const EngineView& engine : engines) {
      const double stretched = engine.pass_ms + engine.backlog_ms + part;
      choices.push_back(
          {&engine,
           engine.state->ValueDisturbedBy(stretched / options_.gap_share),
           stretched});
    }
    std::sort(choices.begin(), choices.end(),
              [](const Choice& a, const Choice& b) {
                return std::tuple(a.disturbed, a.done, a.engine->rank) <
                       std::tuple(b.disturbed, b.done, b.engine->rank);
              });
    choices.resize(readers);
    double disturbed = 0;
    double done = 0;
    for (const Choice& choice : choices) {
      disturbed += choice.disturbed;
      done = std::max(done, choice.done);
    }
    // The engine with most free memory runs the request.
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice& a, const Choice& b) {
                       return a.engine->free_tokens > b.engine->free_tokens;
                     });
    const EngineView* first = choices.front().engine;
    std::vector<double> free_helpers;
    for (size_t i = 1; i < choices.size(); ++i) {
      free_helpers.push_back(choices[i].engine->free_tokens);
    }
    const auto split = SplitMemory(need, first->free_tokens, free_helpers);
    if (!split) {
      if (need > static_cast<double>(figures.kv_capacity.value())) continue;
      done += kMemoryWaitMs;
    }
    const std::pair score(disturbed + value * risk(done), done);
    if (best && !(score < best_score)) continue;
    best_score = score;
    best.emplace();
    best->first = first->Placed();
    for (size_t i = 1; i < choices.size(); ++i) {
      best->helpers.push_back(choices[i].engine->Placed());
    }
    if (split) {
      best->holders = split->holders;
      best->reserved = split->reserved;
    }
    best->part_ms = part;
    best->expected_first_token = FromMilliseconds(done);
  }
  return best;
}

}  // namespace zr
