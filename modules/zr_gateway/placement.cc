#include "zr_gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zr {
namespace {

// A load report says nothing about an endpoint after this time.
constexpr Duration kReportLife = Duration::Milliseconds(1500);
// Mean context of a writer, as a share of an engine's memory, when unknown.
constexpr double kUnknownContextShare = 0.02;

/** Calls at an endpoint: those that VMs told of, or more if it reports more. */
double CallsAt(TimePoint now, const EndpointState& state) {
  const int known = state.in_flight + state.peers_in_flight;
  if (!state.report || now - state.reported_at > kReportLife) return known;
  const int reported = state.report->running + state.report->waiting;
  const double age = (now - state.reported_at).seconds();
  const double weight = 1.0 - age / kReportLife.seconds();
  return known + std::max(0, reported - known) * weight;
}

double ReadingAt(const EngineFigures& engine, const EndpointState& state) {
  return static_cast<double>((state.reading + state.peers_reading).value()) /
         engine.read_tokens_per_ms;
}

TokenCount HeldAt(const EndpointState& state) {
  return state.held + state.peers_held;
}

/** Ranks equally good endpoints differently for each request. */
uint64_t TieRank(const EndpointState& state, uint64_t tie) {
  return std::hash<std::string>()(state.listed.id.value()) *
             0x9e3779b97f4a7c15u ^
         tie;
}

struct Scored {
  const EndpointState* state;
  double score;
  uint64_t rank;
  friend bool operator<(const Scored& a, const Scored& b) {
    return std::pair(a.score, a.rank) < std::pair(b.score, b.rank);
  }
};

}  // namespace

double ReadMilliseconds(const EngineFigures& engine, TokenCount prompt) {
  const auto tokens = static_cast<double>(prompt.value());
  const double pairs = tokens * tokens / 2;
  return tokens / engine.read_tokens_per_ms +
         pairs / 1e6 * engine.pairs_ms_per_million;
}

double PassMilliseconds(const EngineFigures& engine, int writers,
                        double mean_context, double reading_ms) {
  if (writers <= 0) return reading_ms;
  const double step =
      engine.step_ms + writers * (engine.writer_ms + engine.context_ms_per_1k *
                                                         mean_context / 1000);
  return engine.stride * step + reading_ms;
}

std::optional<PlacementPlan> Placement::Choose(
    TimePoint now, const EndpointBoard& board, const ServiceName& service,
    const EngineFigures* engine, const PromptShape& shape,
    const std::set<EndpointId>& excluded, uint64_t tie) const {
  const auto candidates = board.Available(now, service, excluded);
  if (candidates.empty()) return std::nullopt;
  if (engine == nullptr) return ChoosePlain(now, candidates, tie);
  return ChooseEngine(now, candidates, *engine, shape, tie);
}

std::optional<PlacementPlan> Placement::ChoosePlain(
    TimePoint now, const std::vector<const EndpointState*>& candidates,
    uint64_t tie) const {
  std::optional<Scored> best;
  for (const EndpointState* state : candidates) {
    const Scored scored{state,
                        CallsAt(now, *state) / std::max(1, state->listed.slots),
                        TieRank(*state, tie)};
    if (!best || scored < *best) best = scored;
  }
  PlacementPlan plan;
  plan.endpoint = best->state->listed.id;
  plan.address = best->state->listed.address;
  return plan;
}

std::optional<PlacementPlan> Placement::ChooseEngine(
    TimePoint now, const std::vector<const EndpointState*>& candidates,
    const EngineFigures& engine, const PromptShape& shape, uint64_t tie) const {
  const auto capacity = static_cast<double>(engine.kv_capacity.value());
  const double need =
      static_cast<double>((shape.prompt + shape.max_answer).value());
  if (need > capacity) return std::nullopt;

  std::vector<Scored> ranked;
  for (const EndpointState* state : candidates) {
    const double calls = CallsAt(now, *state);
    const double reading = ReadingAt(engine, *state);
    double score = PassMilliseconds(engine, static_cast<int>(calls),
                                    capacity * kUnknownContextShare, reading);
    // Beyond the slots a request waits for another one to end.
    const double over = calls + 1 - engine.slots;
    if (over > 0) score += 1000 * over / engine.slots;
    const double free = capacity * (1 - options_.kv_reserve) -
                        static_cast<double>(HeldAt(*state).value());
    if (need > free) score += 1000 * (need - free) / capacity + 200;
    ranked.push_back({state, score, TieRank(*state, tie)});
  }
  std::sort(ranked.begin(), ranked.end());

  PlacementPlan plan;
  const EndpointState& first = *ranked.front().state;
  plan.endpoint = first.listed.id;
  plan.address = first.listed.address;

  const double read_ms = ReadMilliseconds(engine, shape.prompt);
  size_t readers = 1;
  if (read_ms > options_.single_read_ms) {
    readers = static_cast<size_t>(std::ceil(read_ms / options_.part_read_ms));
    readers = std::min({readers, ranked.size(), options_.max_helpers + 1});
  }
  for (size_t i = 1; i < readers; ++i) {
    plan.helpers.push_back(ranked[i].state->listed.id);
    plan.helper_addresses.push_back(ranked[i].state->listed.address);
  }
  plan.expected_first_token = Duration::Microseconds(
      static_cast<int64_t>(1000 * (ranked[readers - 1].score +
                                   read_ms / static_cast<double>(readers))));
  return plan;
}

}  // namespace zr
