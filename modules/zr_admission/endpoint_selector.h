#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "zr_admission/engine_reports.h"
#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** An endpoint that the ingress can choose. */
struct SelectionCandidate {
  EndpointSummary summary;
  Duration round_trip;             // measured, to VMs in the endpoint's domain
  std::optional<EngineLoad> load;  // lagging; used by the baseline only
};

/** Requirements of a request and hints for choosing its endpoint. */
struct SelectionQuery {
  PoolId pool;
  TokenCount prompt;
  TokenCount max_answer;
  bool long_prompt = false;
  bool plain_service = false;
  std::vector<PrefixHash> prefixes;  // shortest first
  std::set<EndpointId> excluded;     // already tried, or known to be down
  std::set<DomainId>
      avoided_domains;  // used only if no other domain has an eligible endpoint
  int64_t long_prompt_endpoints =
      0;  // see LongPromptShare::LongPromptEndpoints
  int64_t prefill_tokens_per_second =
      8'000;  // default for summaries without a speed
};

/** Endpoints in the order in which to try them; at most two. */
using Selection = std::vector<EndpointId>;

/** A rule that picks among eligible candidates. */
template <typename T>
concept SelectionRule =
    requires(const T& rule, std::span<const SelectionCandidate* const> eligible,
             std::span<const SelectionCandidate> all,
             const SelectionQuery& query, Random& random) {
  { rule.Choose(eligible, all, query, random) } -> std::same_as<Selection>;
  { T::kUsesSummaries } -> std::convertible_to<bool>;
};

/**
 * Picks by expected wait, uncached prefill time and round trip. Long prompts
 * go to the first endpoints of a rendezvous order, short ones to the others;
 * both overflow if the scores differ by more than a penalty. The pick among
 * near-equal candidates is random, so that ingresses with the same view spread
 * their requests.
 */
class ScoredRule {
 public:
  static constexpr bool kUsesSummaries = true;

  Selection Choose(std::span<const SelectionCandidate* const> eligible,
                   std::span<const SelectionCandidate> all,
                   const SelectionQuery& query, Random& random) const;

  /** Endpoints of the pool in the rendezvous order in which they take long
   * prompts. */
  static std::vector<EndpointId> LongPromptOrder(
      std::span<const SelectionCandidate> all, const PoolId& pool);
  /** Expected time to first token, without overflow penalties. */
  static Duration Score(const SelectionCandidate& candidate,
                        const SelectionQuery& query);
};

/** Two random candidates, the less loaded first. Ignores classes and grants. */
class TwoChoicesRule {
 public:
  static constexpr bool kUsesSummaries = false;

  Selection Choose(std::span<const SelectionCandidate* const> eligible,
                   std::span<const SelectionCandidate> all,
                   const SelectionQuery& query, Random& random) const;
};

/** Chooses endpoints at the ingress by a rule. */
template <SelectionRule Rule>
class BasicSelector {
 public:
  /** @param seed  differs between VMs */
  explicit BasicSelector(uint64_t seed) : random_(seed) {}

  /** Returns the choices for a request; empty if no endpoint is eligible. */
  Selection Choose(std::span<const SelectionCandidate> candidates,
                   const SelectionQuery& query) {
    std::vector<const SelectionCandidate*> preferred;
    std::vector<const SelectionCandidate*> avoided;
    for (const SelectionCandidate& candidate : candidates) {
      if (Ineligible(candidate, query) != nullptr) continue;
      const bool avoid =
          query.avoided_domains.contains(candidate.summary.domain);
      (avoid ? avoided : preferred).push_back(&candidate);
    }
    const auto& eligible = preferred.empty() ? avoided : preferred;
    if (eligible.empty()) return {};
    return rule_.Choose(eligible, candidates, query, random_);
  }

  /** Why a candidate can't be chosen at all; null if it can. */
  static const char* Ineligible(const SelectionCandidate& candidate,
                                const SelectionQuery& query) {
    const EndpointSummary& summary = candidate.summary;
    if (summary.pool != query.pool) return "is of another pool";
    if (query.excluded.contains(summary.endpoint)) {
      return "the request has tried it";
    }
    if (!summary.accepts_new) return "takes no new work";
    if constexpr (Rule::kUsesSummaries) {
      const bool fits = query.plain_service ||
                        summary.kv_capacity >= query.prompt + query.max_answer;
      return fits ? nullptr : "prompt and answer exceed its memory";
    } else {
      return candidate.load && candidate.load->leaving ? "is leaving" : nullptr;
    }
  }

 private:
  Rule rule_;
  Random random_;
};

using EndpointSelector = BasicSelector<ScoredRule>;
using BaselineSelector = BasicSelector<TwoChoicesRule>;

}  // namespace zr
