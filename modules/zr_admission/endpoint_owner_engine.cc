#include <algorithm>
#include <utility>

#include "zr_admission/endpoint_owner.h"

namespace zr {
namespace {

// Prefix hashes in a summary; 64 hashes of 8 bytes keep it well below 1 KB.
constexpr size_t kSummaryPrefixes = 64;
// Size of the short request for which a summary gives the expected wait.
constexpr TokenCount kTypicalShortPrompt{1'024};
constexpr TokenCount kTypicalAnswer{256};
// Interval of checks while requests are queued.
constexpr Duration kQueueCheckInterval = Duration::Milliseconds(20);
// Wait given in a summary if there is no estimate.
constexpr Duration kDefaultWait = Duration::Seconds(60);

}  // namespace

// -----------------------------------------------------------------------------
// Engine reports

OwnerActions EndpointOwner::OnLoadReport(TimePoint now,
                                         const EngineLoad& load) {
  Advance(now);
  const EngineReconciler::ReportStatus status = engine_.OnLoad(now, load);
  if (status == EngineReconciler::ReportStatus::kStale) return Finish(now, {});
  if (status == EngineReconciler::ReportStatus::kNewBoot) OnNewBoot();
  reachable_ = true;
  engine_leaving_ = load.leaving;
  ObserveSpeed(now, load);
  return Finish(now, {});
}

void EndpointOwner::ObserveSpeed(TimePoint now, const EngineLoad& load) {
  // Reports show the decode speed only if every stream was decoding: prompts in
  // prefill produce no tokens, and a report may be older than the newest
  // grants.
  const TimePoint steady = now - options_.policies.pool.report_lag;
  int64_t decoding = 0;
  for (const auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld && entry.prefill_left <= 0 &&
        entry.answer_left > 0 && entry.granted_at < steady) {
      ++decoding;
    }
  }
  if (decoding == 0 || decoding < grants_.size() || load.running < decoding) {
    return;
  }
  const auto batch = static_cast<double>(load.running);
  const double expected = model_.DecodeSpeed(batch) * batch;
  if (slow_start_.OnSpeed(load.tokens_per_second / expected)) prefixes_.Clear();
}

OwnerActions EndpointOwner::OnStreamList(TimePoint now,
                                         const EngineStreams& list) {
  Advance(now);
  OwnerActions actions;
  const EngineReconciler::ReportStatus status = engine_.OnListHeader(now, list);
  if (status == EngineReconciler::ReportStatus::kStale) {
    return Finish(now, std::move(actions));
  }
  if (status == EngineReconciler::ReportStatus::kNewBoot) OnNewBoot();
  std::vector<StreamKey> ended;
  for (CancelEngineStream& cancel :
       engine_.OnList(now, list, grants_, &ended)) {
    actions.emplace_back(std::move(cancel));
  }
  EndGrantsOfOldBoots(now, actions);
  for (const StreamKey& key : ended) grants_.Remove(key, now);
  return Finish(now, std::move(actions));
}

OwnerActions EndpointOwner::OnCacheEvents(TimePoint now,
                                          const CacheEvents& events) {
  Advance(now);
  prefixes_.Apply(events);
  // Queued requests reserve KV tokens only for the uncached part of the prompt.
  for (auto& [key, item] : queue_.items()) {
    if (item.request.prefixes.empty()) continue;
    QueuedRequest fresh = MakeQueuedRequest(now, item.from, item.request);
    item.uncached_tokens = fresh.uncached_tokens;
    item.kv = fresh.kv;
    item.demand = fresh.demand;
    item.cost = fresh.cost;
    item.density = fresh.density;
  }
  return Finish(now, {});
}

void EndpointOwner::ReportSuspect(const GrantEntry& entry,
                                  OwnerActions& actions) const {
  // Its holder lists it as not started, so the call wasn't in flight.
  const bool unused = entry.state == GrantState::kHeld && !entry.ever_started;
  if (entry.fingerprint == Fingerprint() || unused) return;
  const Suspect suspect{entry.fingerprint, options_.endpoint.endpoint,
                        entry.boot, Duration()};
  for (OwnerAction& action : actions) {
    auto* report = std::get_if<ReportSuspects>(&action);
    if (report == nullptr) continue;
    const auto& known = report->suspects;
    if (std::find(known.begin(), known.end(), suspect) == known.end()) {
      report->suspects.push_back(suspect);
    }
    return;
  }
  actions.emplace_back(ReportSuspects{{suspect}});
}

void EndpointOwner::OnNewBoot() {
  slow_start_.Reset();
  const std::optional<EndpointSummary>& previous = options_.previous;
  if (previous && previous->warm && previous->boot == engine_.boot()) {
    slow_start_.SetWarm();
  }
  options_.previous.reset();
  prefixes_.Clear();
  engine_.ScheduleList();
}

void EndpointOwner::EndGrantsOfOldBoots(TimePoint now, OwnerActions& actions) {
  std::vector<StreamKey> ended;
  for (const auto& [key, entry] : grants_.entries()) {
    // OnList has set the current boot number on the entries that it found.
    if (entry.boot == BootNumber() || entry.boot == engine_.boot()) continue;
    // A grant that isn't known to have started may still be used on the current
    // boot, so its KV tokens stay reserved until it is released or expires.
    const bool ran = entry.ever_started || entry.connection_lost ||
                     entry.state == GrantState::kCancelling;
    if (!ran) continue;
    ReportSuspect(entry, actions);
    ended.push_back(key);
  }
  for (const StreamKey& key : ended) grants_.Remove(key, now);
}

OwnerActions EndpointOwner::OnEndpointUnreachable(TimePoint now) {
  Advance(now);
  OwnerActions actions;
  if (reachable_) {
    // The endpoint may be unreachable only from this VM, so the grants stay
    // until a new boot number shows that they ended.
    reachable_ = false;
    for (const auto& [key, entry] : grants_.entries()) {
      ReportSuspect(entry, actions);
    }
  }
  return Finish(now, std::move(actions));
}

// -----------------------------------------------------------------------------
// Local events

OwnerActions EndpointOwner::OnVmDown(TimePoint now, const VmId& vm) {
  Advance(now);
  OwnerActions actions;
  failed_vms_.insert(vm);
  std::vector<StreamKey> waiting;
  for (const auto& [key, item] : queue_.items()) {
    if (item.from == vm) waiting.push_back(key);
  }
  for (const StreamKey& key : waiting) queue_.Remove(key);
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.holder != vm || entry.state == GrantState::kCancelling) continue;
    // Started streams keep the rest of their lease: the caller may reconnect
    // through another VM, which then lists the grant as its own.
    if (!entry.ever_started) Reclaim(now, entry, actions);
  }
  return Finish(now, std::move(actions));
}

OwnerActions EndpointOwner::OnPolicy(TimePoint now,
                                     const EndpointAdminState& state,
                                     const OwnerPolicies& policies) {
  Advance(now);
  const bool usable =
      policies.classes && policies.teams && policies.pool.max_requests >= 1;
  ZR_ASSERT(usable, "endpoint owner received invalid policies");
  state_ = state;
  if (usable) {
    options_.policies = policies;
    slow_start_.Configure(policies.pool);
    engine_.Configure(policies.pool);
    queue_.SetTeams(policies.teams);
  }
  return Finish(now, {});
}

OwnerActions EndpointOwner::OnSelfPaused(TimePoint now) {
  Advance(now);
  OwnerActions actions;
  // Another VM may have taken over the endpoint, and lists may have been lost.
  engine_.BeginTakeOver(now);
  slow_start_.SetDemonstratedLoad(grants_.size());
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld) entry.expires_at = now + kGrantLease;
  }
  // The ingresses have most likely sent these requests to another owner.
  RefuseAll(RefusalReason::kBusy, actions);
  return Finish(now, std::move(actions));
}

OwnerActions EndpointOwner::OnTick(TimePoint now) {
  Advance(now);
  return Finish(now, {});
}

TimePoint EndpointOwner::NextWakeup() const {
  TimePoint next = grants_.NextExpiry();
  if (reachable_) {
    next = std::min(next, engine_.NextListTime(
                              grants_.CountState(GrantState::kCancelling) > 0));
  }
  if (pending_gather_) next = std::min(next, pending_gather_->until);
  if (engine_.taking_over()) {
    next = std::min(next, std::max(engine_.TakeOverEnd(advanced_to_),
                                   advanced_to_ + Duration::Milliseconds(50)));
  }
  for (const auto& [key, item] : queue_.items()) {
    // Times at which refusal, reservation and ageing take effect.
    for (const TimePoint at : {item.busy_after, item.ReserveAfter(),
                               item.UrgentAfter(), item.LatestStart()}) {
      if (at > advanced_to_) next = std::min(next, at);
    }
    // Short-lived limits, such as the pace of grants, need frequent checks.
    next = std::min(next, advanced_to_ + kQueueCheckInterval);
  }
  return next;
}

// -----------------------------------------------------------------------------
// Queries

EndpointSummary EndpointOwner::MakeSummary(TimePoint now) {
  EndpointSummary summary;
  summary.endpoint = options_.endpoint.endpoint;
  summary.pool = options_.endpoint.pool;
  summary.domain = options_.endpoint.domain;
  summary.owner = options_.self;
  summary.owner_incarnation = options_.incarnation;
  summary.sequence = ++summary_sequence_;
  const bool plain = options_.policies.pool.kind == PoolKind::kService;
  summary.accepts_new = AcceptsNew() && (plain || engine_.has_load());
  summary.kv_free = std::max(TokenCount(0), planner_.FreeKv());
  if (engine_.has_load()) summary.kv_capacity = engine_.load()->kv_capacity;
  auto wait = [&](TokenCount prompt) {
    AdmissionRequest typical;
    typical.plain_service = plain;
    typical.prompt = plain ? TokenCount(0) : prompt;
    typical.max_answer = plain ? TokenCount(0) : kTypicalAnswer;
    typical.time_left = kDefaultWait;
    const QueuedRequest item = MakeQueuedRequest(now, options_.self, typical);
    const TimePoint start =
        planner_.ExpectedStart(queue_.OrderedUpTo(item, now), now);
    if (start == TimePoint::Max()) return kDefaultWait;
    // Prompts in prefill delay the first token in the same way as a queue.
    const Duration prefill_delay =
        WorkForecast::RunTime(grants_, model_, item.demand, 1) -
        WorkForecast::RunTimeAlone(model_, item.demand);
    return std::min(kDefaultWait, start - now + prefill_delay);
  };
  summary.wait_short = wait(kTypicalShortPrompt);
  summary.wait_long = wait(options_.policies.pool.long_prompt + TokenCount(1));
  summary.prefixes = prefixes_.Sample(kSummaryPrefixes);
  summary.prefill_tokens_per_second =
      static_cast<int64_t>(model_.PrefillSpeed());
  summary.boot = engine_.boot();
  summary.warm = slow_start_.warm() && engine_.has_load();
  return summary;
}

OwnerSnapshot EndpointOwner::Snapshot() const {
  OwnerSnapshot view = counters_;
  view.endpoint = options_.endpoint.endpoint;
  view.boot = engine_.boot();
  view.accepts_new = AcceptsNew();
  view.taking_over = engine_.taking_over();
  view.drained = state_.drained;
  view.leaving = state_.leaving || engine_leaving_;
  view.reachable = reachable_;
  view.active_grants = grants_.size();
  for (const auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld && entry.started) ++view.running;
  }
  view.cancelling = grants_.CountState(GrantState::kCancelling);
  view.queued = static_cast<int64_t>(queue_.size());
  view.own_limit = slow_start_.OwnLimit();
  view.foreign_requests = engine_.foreign_requests();
  if (engine_.has_load()) view.kv_capacity = engine_.load()->kv_capacity;
  view.kv_limit = engine_.KvLimit();
  view.kv_reserved = grants_.reserved();
  view.kv_foreign = engine_.foreign_kv();
  view.completed = slow_start_.completed();
  view.prefill_tokens_per_second = model_.PrefillSpeed();
  const auto batch = static_cast<double>(std::max<int64_t>(1, grants_.size()));
  view.decode_tokens_per_second = model_.DecodeSpeed(batch);
  view.foreign_cancelled = engine_.foreign_cancelled();
  return view;
}

std::optional<GrantedStream> EndpointOwner::FindStream(
    const RequestId& request) const {
  std::optional<GrantedStream> newest;
  const auto first =
      grants_.entries().lower_bound(StreamKey{request, AttemptNumber()});
  for (auto it = first;
       it != grants_.entries().end() && it->first.request == request; ++it) {
    const GrantEntry& entry = it->second;
    if (entry.state == GrantState::kCancelling) continue;
    newest = GrantedStream{entry.key, entry.team, entry.holder, entry.started};
  }
  return newest;
}

}  // namespace zr
