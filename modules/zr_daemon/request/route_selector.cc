#include "zr_daemon/request/route_selector.h"

#include <algorithm>

#include "zr_daemon/endpoint/endpoint_table.h"

namespace zr {
namespace {

// Used until a round trip to the domain has been measured.
constexpr Duration kDefaultRoundTrip = Duration::Milliseconds(1);
// The failure of an owner is detected within 6 s, so an older summary says
// little about the endpoint.
constexpr Duration kLastSummaryAge = Duration::Seconds(10);

OwnerLookup OwnerLookupFor(const ClusterSnapshot& snapshot) {
  return [&snapshot](const EndpointId& endpoint) -> std::optional<VmId> {
    const EndpointInfo* info = snapshot.FindEndpoint(endpoint);
    return info == nullptr ? std::nullopt : OwnerOf(*info, *snapshot.view);
  };
}

/** Mean prefill speed of the candidates in tokens per second; `fallback` until
 * one of them has been measured.
 */
int64_t MeanPrefillSpeed(const std::vector<SelectionCandidate>& candidates,
                         int64_t fallback) {
  int64_t sum = 0;
  int64_t count = 0;
  for (const SelectionCandidate& candidate : candidates) {
    if (candidate.summary.prefill_tokens_per_second <= 0) continue;
    sum += candidate.summary.prefill_tokens_per_second;
    ++count;
  }
  return count == 0 ? fallback : sum / count;
}

/** @param ineligible  null if the endpoint could be chosen */
std::string ReasonFor(size_t rank, const char* ineligible) {
  if (rank == 1) return "tried first";
  if (rank == 2) return "tried if the first one refuses";
  return ineligible != nullptr ? ineligible : "others are as good or better";
}

}  // namespace

RouteSelector::RouteSelector(NodeContext& context)
    : context_(context),
      selector_(
          Hash64(context.settings.vm.value(), context.incarnation.value())),
      baseline_(
          Hash64(context.settings.vm.value(), context.incarnation.value() + 1)),
      long_prompt_share_(context.settings.vm) {}

void RouteSelector::OnSummary(const EndpointSummary& summary) {
  const TimePoint now = SteadyNow();
  std::lock_guard lock(mutex_);
  if (summaries_.OnSummary(now, summary)) {
    last_summaries_[summary.endpoint] = {summary, now};
  }
}

void RouteSelector::OnVmDown(const VmId& vm, Incarnation incarnation) {
  std::lock_guard lock(mutex_);
  summaries_.OnVmDown(vm, incarnation);
  long_prompt_share_.OnVmDown(vm);
}

void RouteSelector::OnHeartbeat(const Heartbeat& heartbeat) {
  std::lock_guard lock(mutex_);
  long_prompt_share_.OnPeerDemand(heartbeat.origin.vm, heartbeat.pool_demand);
}

void RouteSelector::ObserveRoundTrip(const DomainId& domain, Duration sample) {
  std::lock_guard lock(mutex_);
  auto [it, inserted] = round_trips_.try_emplace(domain, sample);
  if (inserted) return;
  // Decreases apply at once and increases slowly, because a sample also
  // contains the time that the reply has waited.
  it->second =
      sample < it->second ? sample : it->second + (sample - it->second) / 64;
}

void RouteSelector::OnOffered(const PoolId& pool, TokenCount tokens,
                              bool long_prompt) {
  std::lock_guard lock(mutex_);
  long_prompt_share_.OnOffered(SteadyNow(), pool, tokens, long_prompt);
}

std::vector<PoolDemand> RouteSelector::OwnDemand() {
  std::lock_guard lock(mutex_);
  return long_prompt_share_.OwnDemand(SteadyNow());
}

Duration RouteSelector::RoundTripTo(const DomainId& domain) const {
  if (domain == context_.settings.domain) return Duration();
  auto it = round_trips_.find(domain);
  return it == round_trips_.end() ? kDefaultRoundTrip : it->second;
}

std::vector<SelectionCandidate> RouteSelector::CollectCandidates(
    const PoolId& pool, const ClusterSnapshot& snapshot, TimePoint now) const {
  const bool baseline = UsesBaseline();
  std::vector<SelectionCandidate> candidates;
  for (const SummaryCandidate& found :
       summaries_.Candidates(now, pool, OwnerLookupFor(snapshot))) {
    SelectionCandidate candidate;
    candidate.summary = *found.summary;
    candidate.round_trip = RoundTripTo(found.summary->domain);
    if (baseline) {
      auto host = context_.endpoints->Find(found.summary->endpoint);
      if (host) candidate.load = host->LastLoad();
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::optional<TokenCount> RouteSelector::MaxGatherTokens(
    const PoolPolicy& pool, const ClusterSnapshot& snapshot,
    TimePoint now) const {
  const auto owners = OwnerLookupFor(snapshot);
  std::vector<GatherCandidate> all;
  for (const auto& [endpoint, info] : *snapshot.endpoints) {
    if (info.pool != pool.pool) continue;
    const auto found = summaries_.Find(now, endpoint, owners);
    if (!found || found->summary->kv_capacity <= TokenCount(0)) {
      return std::nullopt;
    }
    // Drained endpoints count too, since they may return to service before the
    // deadline.
    all.push_back({endpoint, found->summary->owner, found->summary->kv_free,
                   found->summary->kv_capacity, true});
  }
  return GatherCoordinator::MaxGatherTokens(all, pool);
}

RouteSelector::Input RouteSelector::CollectInput(
    const RequestOptions& request, const SelectCandidates& action,
    const ClusterSnapshot& snapshot, TimePoint now,
    LongPromptShare& share) const {
  Input input;
  SelectionQuery& query = input.query;
  query.pool = request.pool.pool;
  query.prompt = request.prompt;
  query.max_answer = request.max_answer;
  query.long_prompt = request.prompt > request.pool.long_prompt;
  query.plain_service = request.pool.kind == PoolKind::kService;
  query.prefixes = request.prefixes;
  query.excluded = action.excluded;
  if (action.avoid_domain) query.avoided_domains.insert(*action.avoid_domain);
  query.prefill_tokens_per_second = request.pool.prefill_tokens_per_second;
  input.candidates = CollectCandidates(query.pool, snapshot, now);
  query.long_prompt_endpoints = share.LongPromptEndpoints(
      now, query.pool, static_cast<int64_t>(input.candidates.size()),
      MeanPrefillSpeed(input.candidates, query.prefill_tokens_per_second));
  return input;
}

RouteChoice RouteSelector::Choose(const RequestOptions& request,
                                  const SelectCandidates& action) {
  const TimePoint now = SteadyNow();
  const auto snapshot = context_.cluster->Get();
  std::lock_guard lock(mutex_);
  const Input input =
      CollectInput(request, action, *snapshot, now, long_prompt_share_);
  const Selection selection =
      UsesBaseline() ? baseline_.Choose(input.candidates, input.query)
                     : selector_.Choose(input.candidates, input.query);
  return MakeChoice(request, input, selection, *snapshot, now);
}

RouteChoice RouteSelector::MakeChoice(const RequestOptions& request,
                                      const Input& input,
                                      const Selection& selection,
                                      const ClusterSnapshot& snapshot,
                                      TimePoint now) const {
  const auto& candidates = input.candidates;
  RouteChoice choice;
  for (const EndpointId& endpoint : selection) {
    auto found = std::find_if(candidates.begin(), candidates.end(),
                              [&endpoint](const auto& candidate) {
                                return candidate.summary.endpoint == endpoint;
                              });
    const VmId owner =
        UsesBaseline() ? context_.settings.vm : found->summary.owner;
    choice.candidates.push_back({endpoint, found->summary.domain, owner});
  }
  if (choice.candidates.empty() && !input.query.plain_service) {
    const TokenCount needed = request.prompt + request.max_answer;
    const bool fits = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const auto& c) { return c.summary.kv_capacity >= needed; });
    choice.gather = !fits && !candidates.empty();
    if (choice.gather) {
      choice.pool_kv = MaxGatherTokens(request.pool, snapshot, now);
    }
    if (choice.pool_kv && *choice.pool_kv >= needed) {
      choice.pool_kv.reset();
    }
  }
  return choice;
}

RouteReport RouteSelector::Explain(const RequestOptions& request) const {
  const TimePoint now = SteadyNow();
  const auto snapshot = context_.cluster->Get();
  const auto owners = OwnerLookupFor(*snapshot);
  std::lock_guard lock(mutex_);
  // Copies, since a choice draws random numbers and the share of long prompts
  // has a hysteresis.
  LongPromptShare share = long_prompt_share_;
  EndpointSelector selector = selector_;
  BaselineSelector baseline = baseline_;
  const Input input = CollectInput(request, {}, *snapshot, now, share);
  const Selection selection =
      UsesBaseline() ? baseline.Choose(input.candidates, input.query)
                     : selector.Choose(input.candidates, input.query);
  RouteReport report;
  report.choice = MakeChoice(request, input, selection, *snapshot, now);
  report.long_prompt = input.query.long_prompt;
  report.long_prompt_endpoints = input.query.long_prompt_endpoints;
  for (const auto& [id, info] : *snapshot->endpoints) {
    if (info.pool != request.pool.pool) continue;
    ReportedEndpoint row{id, info.domain, {}, 0, {}, {}, {}, ""};
    const auto chosen = std::find(selection.begin(), selection.end(), id);
    if (chosen != selection.end()) {
      row.rank = static_cast<size_t>(chosen - selection.begin()) + 1;
    }
    if (const auto found = summaries_.Find(now, id, owners)) {
      row.summary = *found->summary;
      row.summary_age = now - found->received_at;
      row.owner = found->summary->owner;
    }
    const auto candidate = std::find_if(
        input.candidates.begin(), input.candidates.end(),
        [&id = id](const auto& c) { return c.summary.endpoint == id; });
    if (candidate != input.candidates.end()) {
      row.forecast = ScoredRule::Score(*candidate, input.query);
      row.reason = ReasonFor(
          row.rank,
          UsesBaseline()
              ? BaselineSelector::Ineligible(*candidate, input.query)
              : EndpointSelector::Ineligible(*candidate, input.query));
    } else if (!row.summary) {
      row.reason = "its owner has sent no summary";
    } else {
      // The table leaves it out of the candidates.
      row.reason = row.summary->accepts_new ? "its summary names another pool"
                                            : "takes no new work";
    }
    report.endpoints.push_back(std::move(row));
  }
  std::stable_sort(report.endpoints.begin(), report.endpoints.end(),
                   [](const auto& a, const auto& b) {
                     return a.rank != 0 && (b.rank == 0 || a.rank < b.rank);
                   });
  return report;
}

std::vector<GatherCandidate> RouteSelector::GatherCandidates(
    const PoolId& pool) {
  const auto snapshot = context_.cluster->Get();
  std::lock_guard lock(mutex_);
  std::vector<GatherCandidate> out;
  for (const auto& found :
       summaries_.Candidates(SteadyNow(), pool, OwnerLookupFor(*snapshot))) {
    const EndpointSummary& summary = *found.summary;
    out.push_back({summary.endpoint, summary.owner, summary.kv_free,
                   summary.kv_capacity, summary.accepts_new});
  }
  return out;
}

std::optional<EndpointSummary> RouteSelector::LastSummary(
    const EndpointId& endpoint) {
  std::lock_guard lock(mutex_);
  const auto found = last_summaries_.find(endpoint);
  if (found == last_summaries_.end() ||
      SteadyNow() - found->second.received_at > kLastSummaryAge) {
    return std::nullopt;
  }
  return found->second.summary;
}

std::vector<EndpointSummary> RouteSelector::Summaries() {
  const auto snapshot = context_.cluster->Get();
  const auto owners = OwnerLookupFor(*snapshot);
  std::lock_guard lock(mutex_);
  std::vector<EndpointSummary> out;
  for (const auto& [endpoint, info] : *snapshot->endpoints) {
    if (auto found = summaries_.Find(SteadyNow(), endpoint, owners)) {
      out.push_back(*found->summary);
    }
  }
  return out;
}

}  // namespace zr
