#include <algorithm>
#include <utility>

#include "zr_admission/endpoint_owner.h"

namespace zr {
namespace {

// Hashes in a summary; 64 of 8 bytes keep it well below 1 KB.
constexpr size_t kSummaryPrefixes = 64;
// The typical short request for which a summary tells the wait.
constexpr TokenCount kShortPrompt{1'024};
constexpr TokenCount kShortAnswer{256};
// Interval of checks while requests wait.
constexpr Duration kQueueCheck = Duration::Milliseconds(20);
// Told as the wait when there is no estimate.
constexpr Duration kUnknownWait = Duration::Seconds(60);

}  // namespace

// -----------------------------------------------------------------------------
// Reports of the engine

OwnerActions EndpointOwner::OnLoadReport(TimePoint now,
                                         const EngineLoad& load) {
  Advance(now);
  const EngineReconciler::ReportKind kind = engine_.OnLoad(now, load);
  if (kind == EngineReconciler::ReportKind::kStale) return Finish(now, {});
  if (kind == EngineReconciler::ReportKind::kNewBoot) OnNewBoot();
  reachable_ = true;
  engine_leaving_ = load.leaving;
  ObserveSpeed(now, load);
  return Finish(now, {});
}

void EndpointOwner::ObserveSpeed(TimePoint now, const EngineLoad& load) {
  // Only reports during steady decoding tell the speed: prompts in prefill
  // produce no tokens, and the report may be older than the newest grants.
  const TimePoint steady = now - options_.policies.pool.report_lag;
  int64_t decoding = 0;
  for (const auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld && entry.prefill_left <= 0 &&
        entry.answer_left > 0 && entry.granted < steady) {
      ++decoding;
    }
  }
  if (decoding == 0 || decoding < grants_.size() || load.running < decoding) {
    return;
  }
  const auto batch = static_cast<double>(load.running);
  const double expected = model_.DecodeSpeed(batch) * batch;
  if (ramp_.OnSpeed(load.tokens_per_second / expected)) prefixes_.Clear();
}

OwnerActions EndpointOwner::OnStreamList(TimePoint now,
                                         const EngineStreams& list) {
  Advance(now);
  OwnerActions actions;
  const EngineReconciler::ReportKind kind = engine_.OnListHeader(now, list);
  if (kind == EngineReconciler::ReportKind::kStale) {
    return Finish(now, std::move(actions));
  }
  if (kind == EngineReconciler::ReportKind::kNewBoot) OnNewBoot();
  std::vector<StreamKey> ended;
  for (CancelEngineStream& cancel :
       engine_.OnList(now, list, grants_, &ended)) {
    actions.emplace_back(std::move(cancel));
  }
  EndOldBoots(now, actions);
  for (const StreamKey& key : ended) grants_.Remove(key, now);
  return Finish(now, std::move(actions));
}

OwnerActions EndpointOwner::OnCacheEvents(TimePoint now,
                                          const CacheEvents& events) {
  Advance(now);
  prefixes_.Apply(events);
  // What is cached changes what the waiting requests have to reserve.
  for (auto& [key, item] : queue_.items()) {
    if (item.request.prefixes.empty()) continue;
    QueuedRequest fresh = MakeQueued(now, item.from, item.request);
    item.uncached = fresh.uncached;
    item.kv = fresh.kv;
    item.demand = fresh.demand;
    item.cost = fresh.cost;
    item.density = fresh.density;
  }
  return Finish(now, {});
}

void EndpointOwner::ReportSuspect(const GrantEntry& entry,
                                  OwnerActions& actions) const {
  // Listed as not started by its holder: it was not running.
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
  ramp_.Reset();
  const std::optional<EndpointSummary>& previous = options_.previous;
  if (previous && previous->warm && previous->boot == engine_.boot()) {
    ramp_.SetWarm();
  }
  options_.previous.reset();
  prefixes_.Clear();
  engine_.WantList();
}

void EndpointOwner::EndOldBoots(TimePoint now, OwnerActions& actions) {
  std::vector<StreamKey> ended;
  for (const auto& [key, entry] : grants_.entries()) {
    // Entries that the list names carry the present boot number by now.
    if (entry.boot == BootNumber() || entry.boot == engine_.boot()) continue;
    // A grant that is not known to have started may be used on the present
    // boot, so its memory stays reserved until it is released or expires.
    const bool ran = entry.ever_started || entry.broken ||
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
    // The grants stay until a new boot number shows that they ended: the
    // endpoint may only be out of this VM's reach.
    reachable_ = false;
    for (const auto& [key, entry] : grants_.entries()) {
      ReportSuspect(entry, actions);
    }
  }
  return Finish(now, std::move(actions));
}

// -----------------------------------------------------------------------------
// Local events

OwnerActions EndpointOwner::OnVmDead(TimePoint now, const VmId& vm) {
  Advance(now);
  OwnerActions actions;
  gone_vms_.insert(vm);
  std::vector<StreamKey> waiting;
  for (const auto& [key, item] : queue_.items()) {
    if (item.from == vm) waiting.push_back(key);
  }
  for (const StreamKey& key : waiting) queue_.Remove(key);
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.holder != vm || entry.state == GrantState::kCancelling) continue;
    // Streams in progress keep the rest of the listing time: the caller may
    // reconnect through another VM, which then lists the grant as its own.
    if (!entry.ever_started) Reclaim(now, entry, actions);
  }
  return Finish(now, std::move(actions));
}

OwnerActions EndpointOwner::OnPolicy(TimePoint now, const EndpointState& state,
                                     const OwnerPolicies& policies) {
  Advance(now);
  const bool usable =
      policies.classes && policies.teams && policies.pool.max_requests >= 1;
  ZR_ASSERT(usable, "an owner got unusable policies");
  state_ = state;
  if (usable) {
    options_.policies = policies;
    ramp_.Configure(policies.pool);
    engine_.Configure(policies.pool);
    queue_.SetTeams(policies.teams);
  }
  return Finish(now, {});
}

OwnerActions EndpointOwner::OnSelfPaused(TimePoint now) {
  Advance(now);
  OwnerActions actions;
  // Another VM may own the endpoint by now, and holders' lists may be missing.
  engine_.BeginTakeOver(now);
  ramp_.SetDemonstrated(grants_.size());
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld) entry.expires = now + kReclaimAfter;
  }
  // The ingresses have most likely asked another owner since.
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
  if (wanted_gather_) next = std::min(next, wanted_gather_->until);
  if (engine_.taking_over()) {
    next = std::min(next, std::max(engine_.TakeOverEnd(advanced_to_),
                                   advanced_to_ + Duration::Milliseconds(50)));
  }
  for (const auto& [key, item] : queue_.items()) {
    // Deadlines, ageing and reservations take effect at these times.
    for (const TimePoint at : {item.give_up, item.ReserveAfter(),
                               item.UrgentAfter(), item.LatestStart()}) {
      if (at > advanced_to_) next = std::min(next, at);
    }
    // Bounds that pass soon, such as the pace of grants, are checked often.
    next = std::min(next, advanced_to_ + kQueueCheck);
  }
  return next;
}

// -----------------------------------------------------------------------------
// Views

EndpointSummary EndpointOwner::MakeSummary(TimePoint now) {
  EndpointSummary summary;
  summary.endpoint = options_.endpoint.endpoint;
  summary.pool = options_.endpoint.pool;
  summary.domain = options_.endpoint.domain;
  summary.owner = options_.self;
  summary.owner_incarnation = options_.incarnation;
  summary.sequence = ++summary_sequence_;
  const bool plain = options_.policies.pool.kind == PoolKind::kService;
  summary.accepts_new = Accepting() && (plain || engine_.has_load());
  summary.kv_free = std::max(TokenCount(0), planner_.FreeKv());
  if (engine_.has_load()) summary.kv_capacity = engine_.load()->kv_capacity;
  auto wait = [&](TokenCount prompt) {
    AdmissionRequest typical;
    typical.plain_service = plain;
    typical.prompt = plain ? TokenCount(0) : prompt;
    typical.max_answer = plain ? TokenCount(0) : kShortAnswer;
    typical.time_left = kUnknownWait;
    const QueuedRequest item = MakeQueued(now, options_.self, typical);
    const TimePoint start =
        planner_.ExpectedStart(queue_.OrderedUpTo(item, now), now);
    if (start == TimePoint::Max()) return kUnknownWait;
    // Prompts in prefill delay the first token as a queue would.
    const Duration beside =
        WorkForecast::RunTime(grants_, model_, item.demand, 1) -
        WorkForecast::RunTimeAlone(model_, item.demand);
    return std::min(kUnknownWait, start - now + beside);
  };
  summary.wait_short = wait(kShortPrompt);
  summary.wait_long = wait(options_.policies.pool.long_prompt + TokenCount(1));
  summary.prefixes = prefixes_.Sample(kSummaryPrefixes);
  summary.prefill_tokens_per_second =
      static_cast<int64_t>(model_.PrefillSpeed());
  summary.boot = engine_.boot();
  summary.warm = ramp_.warm() && engine_.has_load();
  return summary;
}

OwnerSnapshot EndpointOwner::Snapshot() const {
  OwnerSnapshot view = counters_;
  view.endpoint = options_.endpoint.endpoint;
  view.boot = engine_.boot();
  view.accepts_new = Accepting();
  view.taking_over = engine_.taking_over();
  view.drained = state_.drained;
  view.leaving = state_.leaving || engine_leaving_;
  view.reachable = reachable_;
  view.granted = grants_.size();
  for (const auto& [key, entry] : grants_.entries()) {
    if (entry.state == GrantState::kHeld && entry.started) ++view.running;
  }
  view.cancelling = grants_.CountState(GrantState::kCancelling);
  view.queued = static_cast<int64_t>(queue_.size());
  view.own_limit = ramp_.OwnLimit();
  view.foreign_requests = engine_.foreign_requests();
  if (engine_.has_load()) view.kv_capacity = engine_.load()->kv_capacity;
  view.kv_limit = engine_.KvLimit();
  view.kv_reserved = grants_.reserved();
  view.kv_foreign = engine_.foreign_kv();
  view.completed = ramp_.completed();
  view.prefill_tokens_per_second = model_.PrefillSpeed();
  const auto batch = static_cast<double>(std::max<int64_t>(1, grants_.size()));
  view.decode_tokens_per_second = model_.DecodeSpeed(batch);
  view.foreign_cancelled = engine_.foreign_cancelled();
  return view;
}

std::optional<KnownStream> EndpointOwner::FindStream(
    const RequestId& request) const {
  std::optional<KnownStream> newest;
  const auto first =
      grants_.entries().lower_bound(StreamKey{request, AttemptNumber()});
  for (auto it = first;
       it != grants_.entries().end() && it->first.request == request; ++it) {
    const GrantEntry& entry = it->second;
    if (entry.state == GrantState::kCancelling) continue;
    newest = KnownStream{entry.key, entry.team, entry.holder, entry.started};
  }
  return newest;
}

}  // namespace zr
