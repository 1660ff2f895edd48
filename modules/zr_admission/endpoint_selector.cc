#include "zr_admission/endpoint_selector.h"

#include <algorithm>

namespace zr {
namespace {

// A short prompt overflows to an endpoint for long prompts if it would wait
// this much longer elsewhere; well below the target for time to first token.
constexpr Duration kShortOverflowPenalty = Duration::Milliseconds(250);
// A long prompt needs seconds of prefill anyway, and on an endpoint for short
// prompts it delays many of them.
constexpr Duration kLongOverflowPenalty = Duration::Seconds(5);
// Scores within this tolerance count as equal; summaries are older than it.
constexpr Duration kNearEqual = Duration::Milliseconds(10);
constexpr int64_t kNearEqualDivisor = 10;

struct ScoredCandidate {
  const SelectionCandidate* candidate;
  Duration score;
};

/** Removes and returns a random candidate whose score is close to the best. */
const SelectionCandidate* TakeNearBest(std::vector<ScoredCandidate>& scored,
                                       Random& random) {
  const auto best =
      std::min_element(scored.begin(), scored.end(),
                       [](const ScoredCandidate& a, const ScoredCandidate& b) {
                         return a.score < b.score;
                       });
  const Duration limit =
      best->score + std::max(kNearEqual, best->score / kNearEqualDivisor);
  std::vector<size_t> near;
  for (size_t i = 0; i < scored.size(); ++i) {
    if (scored[i].score <= limit) near.push_back(i);
  }
  const size_t pick = near[random.Below(near.size())];
  const SelectionCandidate* candidate = scored[pick].candidate;
  scored.erase(scored.begin() + static_cast<std::ptrdiff_t>(pick));
  return candidate;
}

int64_t LoadOf(const SelectionCandidate& candidate) {
  return candidate.load ? candidate.load->running + candidate.load->waiting : 0;
}

}  // namespace

std::vector<EndpointId> ScoredRule::LongPromptOrder(
    std::span<const SelectionCandidate> all, const PoolId& pool) {
  std::vector<std::pair<double, EndpointId>> order;
  const std::string key = "long:" + pool.value();
  for (const SelectionCandidate& candidate : all) {
    const EndpointSummary& summary = candidate.summary;
    if (summary.pool != pool || !summary.accepts_new) continue;
    order.emplace_back(-RendezvousScore(key, summary.endpoint.value()),
                       summary.endpoint);
  }
  std::sort(order.begin(), order.end());
  std::vector<EndpointId> endpoints;
  endpoints.reserve(order.size());
  for (auto& [score, endpoint] : order) {
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

Duration ScoredRule::Score(const SelectionCandidate& candidate,
                           const SelectionQuery& query) {
  const EndpointSummary& summary = candidate.summary;
  Duration score = candidate.round_trip;
  score = score + (query.long_prompt ? summary.wait_long : summary.wait_short);
  if (query.plain_service) return score;
  // The summary holds only a sample of the prefixes, so the longest match
  // counts even if shorter prefixes are missing.
  size_t matched = 0;
  for (size_t i = query.prefixes.size(); i > 0 && matched == 0; --i) {
    const bool held =
        std::find(summary.prefixes.begin(), summary.prefixes.end(),
                  query.prefixes[i - 1]) != summary.prefixes.end();
    if (held) matched = i;
  }
  int64_t uncached_tokens = query.prompt.value();
  if (matched > 0) {
    uncached_tokens -= uncached_tokens * static_cast<int64_t>(matched) /
                       static_cast<int64_t>(query.prefixes.size());
  }
  const int64_t speed = summary.prefill_tokens_per_second > 0
                            ? summary.prefill_tokens_per_second
                            : query.prefill_tokens_per_second;
  return score + Duration::Microseconds(uncached_tokens * 1'000'000 /
                                        std::max<int64_t>(1, speed));
}

Selection ScoredRule::Choose(
    std::span<const SelectionCandidate* const> eligible,
    std::span<const SelectionCandidate> all, const SelectionQuery& query,
    Random& random) const {
  std::set<EndpointId> long_prompt_set;
  if (!query.plain_service) {
    const std::vector<EndpointId> order = LongPromptOrder(all, query.pool);
    int64_t count = query.long_prompt_endpoints;
    if (query.long_prompt) count = std::max<int64_t>(1, count);
    count = std::min<int64_t>(count, static_cast<int64_t>(order.size()));
    long_prompt_set.insert(order.begin(), order.begin() + count);
  }
  std::vector<ScoredCandidate> scored;
  for (const SelectionCandidate* candidate : eligible) {
    Duration score = Score(*candidate, query);
    const bool takes_long =
        long_prompt_set.contains(candidate->summary.endpoint);
    if (query.long_prompt && !takes_long) score = score + kLongOverflowPenalty;
    if (!query.long_prompt && takes_long) score = score + kShortOverflowPenalty;
    scored.push_back(ScoredCandidate{candidate, score});
  }
  Selection selection;
  while (!scored.empty() && selection.size() < 2) {
    selection.push_back(TakeNearBest(scored, random)->summary.endpoint);
  }
  return selection;
}

Selection TwoChoicesRule::Choose(
    std::span<const SelectionCandidate* const> eligible,
    std::span<const SelectionCandidate> /*all*/,
    const SelectionQuery& /*query*/, Random& random) const {
  const size_t first = random.Below(eligible.size());
  if (eligible.size() == 1) return {eligible[first]->summary.endpoint};
  size_t second = random.Below(eligible.size() - 1);
  if (second >= first) ++second;
  const SelectionCandidate* a = eligible[first];
  const SelectionCandidate* b = eligible[second];
  if (LoadOf(*b) < LoadOf(*a)) std::swap(a, b);
  return {a->summary.endpoint, b->summary.endpoint};
}

}  // namespace zr
