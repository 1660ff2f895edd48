#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zr_admission/zr_admission.h"
#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Result of selecting endpoints for a request. */
struct RouteChoice {
  std::vector<Candidate> candidates;  // best first
  bool gather = false;                // no single endpoint has the capacity
  /** KV capacity of the whole pool, if it is too small for the request. */
  std::optional<TokenCount> pool_kv;
};

/** An endpoint of a pool and why it was chosen or passed over. */
struct ReportedEndpoint {
  EndpointId endpoint;
  DomainId domain;
  VmId owner;
  size_t rank = 0;  // 1 is tried first, 2 next; 0: passed over
  std::optional<EndpointSummary> summary;  // none: its owner has sent none
  Duration summary_age;
  Duration forecast;  // of the first token, from the owner's expected wait
  std::string reason;
};

/** Where a request would go now. */
struct RouteReport {
  RouteChoice choice;
  bool long_prompt = false;
  int64_t long_prompt_endpoints = 0;        // endpoints that take long prompts
  std::vector<ReportedEndpoint> endpoints;  // chosen ones first, then by id
};

/**
 * Selects endpoints for the requests of this VM from the summaries that owners
 * publish, or by the baseline policy. Thread-safe.
 */
class RouteSelector {
 public:
  explicit RouteSelector(NodeContext& context);
  RouteSelector(const RouteSelector&) = delete;
  RouteSelector& operator=(const RouteSelector&) = delete;

  //============================================================================
  // Input

  void OnSummary(const EndpointSummary& summary);
  void OnVmDown(const VmId& vm, Incarnation incarnation);
  void OnHeartbeat(const Heartbeat& heartbeat);
  /** Adds a sample: the time from an admission request to the owner's immediate
   * reply. */
  void ObserveRoundTrip(const DomainId& domain, Duration sample);
  /** Counts an offered request in the demand of short or long prompts. */
  void OnOffered(const PoolId& pool, TokenCount tokens, bool long_prompt);

  //============================================================================
  // Queries

  RouteChoice Choose(const RequestOptions& request,
                     const SelectCandidates& action);
  /** Explains what Choose() would return for a first attempt; changes
   * nothing. */
  RouteReport Explain(const RequestOptions& request) const;
  std::vector<PoolDemand> OwnDemand();
  /** Current summaries of a pool, for its gather coordinator. */
  std::vector<GatherCandidate> GatherCandidates(const PoolId& pool);
  /** Newest summary of an endpoint from any owner, also from a failed one, not
   * older than 10 s. */
  std::optional<EndpointSummary> LastSummary(const EndpointId& endpoint);
  /** Current summary of each endpoint, for the operator API. */
  std::vector<EndpointSummary> Summaries();

 private:
  /** What a selection depends on. */
  struct Input {
    SelectionQuery query;
    std::vector<SelectionCandidate> candidates;
  };

  struct LastSummaryEntry {
    EndpointSummary summary;
    TimePoint received_at;
  };

  /** Most tokens that a gather over the pool can hold; nullopt while the
   * capacity of an endpoint is unknown. */
  std::optional<TokenCount> MaxGatherTokens(const PoolPolicy& pool,
                                            const ClusterSnapshot& snapshot,
                                            TimePoint now) const;
  std::vector<SelectionCandidate> CollectCandidates(
      const PoolId& pool, const ClusterSnapshot& snapshot, TimePoint now) const;
  Input CollectInput(const RequestOptions& request,
                     const SelectCandidates& action,
                     const ClusterSnapshot& snapshot, TimePoint now,
                     LongPromptShare& share) const;
  RouteChoice MakeChoice(const RequestOptions& request, const Input& input,
                         const Selection& selection,
                         const ClusterSnapshot& snapshot, TimePoint now) const;
  bool UsesBaseline() const {
    return context_.settings.routing_policy == RoutingPolicy::kBaseline;
  }
  Duration RoundTripTo(const DomainId& domain) const;

  NodeContext& context_;
  mutable std::mutex mutex_;
  SummaryTable summaries_;
  // Kept after the failure of the owner.
  std::map<EndpointId, LastSummaryEntry> last_summaries_;
  EndpointSelector selector_;
  BaselineSelector baseline_;
  LongPromptShare long_prompt_share_;
  std::map<DomainId, Duration> round_trips_;
};

}  // namespace zr
