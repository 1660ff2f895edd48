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

/** Candidates for a request. */
struct RouteChoice {
  std::vector<Candidate> candidates;  // best first
  bool gather = false;                // no single endpoint is large enough
  /** What the whole pool holds, in tokens, if that is too little for the
   * request. */
  std::optional<TokenCount> pool_kv;
};

/**
 * Chooses endpoints for requests of this VM from the summaries that owners
 * publish, or by the baseline policy. Any thread may use it.
 */
class RouteSelector {
 public:
  explicit RouteSelector(NodeContext& context);
  RouteSelector(const RouteSelector&) = delete;
  RouteSelector& operator=(const RouteSelector&) = delete;

  //============================================================================
  // Input

  void OnSummary(const Summary& summary);
  void OnVmDown(const VmId& vm, Incarnation incarnation);
  void OnHeartbeat(const Heartbeat& heartbeat);
  /** Time from asking an owner to its immediate answer. */
  void ObserveRoundTrip(const DomainId& domain, Duration sample);
  /** Counts an offered request for the share of long prompts. */
  void OnOffered(const PoolId& pool, TokenCount tokens, bool long_prompt);

  //============================================================================
  // Queries

  RouteChoice Choose(const RequestOptions& request,
                     const SelectCandidates& action);
  std::vector<PoolDemand> OwnDemand();
  /** Best summaries of a pool for the coordinator of gathers. */
  std::vector<GatherCandidate> GatherCandidates(const PoolId& pool);
  /** Newest summary of an endpoint from any owner, dead ones included. */
  std::optional<Summary> LastSummary(const EndpointId& endpoint);
  /** Best summary of each endpoint; for the operator API. */
  std::vector<Summary> Summaries();

 private:
  struct LastSummaryEntry {
    Summary summary;
    TimePoint received_at;
  };

  /** What a gather can ever hold; nothing while the size of an endpoint is not
   * known. */
  std::optional<TokenCount> MaxGatherTokens(const PoolPolicy& pool,
                                            const ClusterSnapshot& snapshot,
                                            TimePoint now);
  std::vector<SelectionCandidate> CollectCandidates(
      const PoolId& pool, const ClusterSnapshot& snapshot, TimePoint now);
  Duration RoundTripTo(const DomainId& domain) const;

  NodeContext& context_;
  std::mutex mutex_;
  SummaryTable summaries_;
  std::map<EndpointId, LastSummaryEntry>
      last_summaries_;  // kept beyond the owner's death
  EndpointSelector selector_;
  BaselineSelector baseline_;
  LongShare long_prompt_share_;
  std::map<DomainId, Duration> round_trips_;
};

}  // namespace zr
