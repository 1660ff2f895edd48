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
  std::vector<PoolDemand> OwnDemand();
  /** Current summaries of a pool, for its gather coordinator. */
  std::vector<GatherCandidate> GatherCandidates(const PoolId& pool);
  /** Newest summary of an endpoint from any owner, also from a failed one, not
   * older than 10 s. */
  std::optional<EndpointSummary> LastSummary(const EndpointId& endpoint);
  /** Current summary of each endpoint, for the operator API. */
  std::vector<EndpointSummary> Summaries();

 private:
  struct LastSummaryEntry {
    EndpointSummary summary;
    TimePoint received_at;
  };

  /** Most tokens that a gather over the pool can hold; nullopt while the
   * capacity of an endpoint is unknown. */
  std::optional<TokenCount> MaxGatherTokens(const PoolPolicy& pool,
                                            const ClusterSnapshot& snapshot,
                                            TimePoint now);
  std::vector<SelectionCandidate> CollectCandidates(
      const PoolId& pool, const ClusterSnapshot& snapshot, TimePoint now);
  Duration RoundTripTo(const DomainId& domain) const;

  NodeContext& context_;
  std::mutex mutex_;
  SummaryTable summaries_;
  // Kept after the failure of the owner.
  std::map<EndpointId, LastSummaryEntry> last_summaries_;
  EndpointSelector selector_;
  BaselineSelector baseline_;
  LongPromptShare long_prompt_share_;
  std::map<DomainId, Duration> round_trips_;
};

}  // namespace zr
