#include "zr_admission/endpoint_owner.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Longest wait of a request that must run alone for the endpoint to drain. No
// other request is started in the meantime.
constexpr Duration kMaxRunAloneWait = Duration::Seconds(10);
// A request is queued only if this fraction of its remaining time stays free,
// so that a small forecast error doesn't make it late.
constexpr int64_t kSlackReserveDivisor = 20;  // 1/20

}  // namespace

Result<std::unique_ptr<EndpointOwner>> EndpointOwner::Create(
    OwnerOptions options, TimePoint now) {
  auto invalid = [&](const char* message) {
    return Fail(ErrorCode::kInvalidArgument, "admission",
                options.endpoint.endpoint.value(), message);
  };
  const PoolPolicy& pool = options.policies.pool;
  if (options.self.empty() || options.endpoint.endpoint.empty()) {
    return invalid("VM id and endpoint id must not be empty");
  }
  if (options.endpoint.pool != pool.pool) {
    return invalid("endpoint belongs to another pool than the policy");
  }
  if (!options.policies.classes || !options.policies.teams) {
    return invalid("class or team policies are missing");
  }
  if (pool.max_requests < 1 || pool.fresh_requests < 1) {
    return invalid("max_requests and fresh_requests must be at least 1");
  }
  if (pool.kind == PoolKind::kModel && pool.prefill_tokens_per_second < 1) {
    return invalid("prefill_tokens_per_second must be at least 1");
  }
  if (pool.kind == PoolKind::kModel && pool.decode_tokens_per_second < 1) {
    return invalid("decode_tokens_per_second must be at least 1");
  }
  return std::unique_ptr<EndpointOwner>(
      new EndpointOwner(std::move(options), now));
}

EndpointOwner::EndpointOwner(OwnerOptions options, TimePoint now)
    : options_(std::move(options)),
      model_(options_.policies.pool),
      slow_start_(options_.policies.pool),
      engine_(options_.policies.pool, options_.taken_over, now),
      planner_(options_.policies.pool, grants_, queue_, model_, slow_start_,
               engine_),
      last_grant_(options_.last_grant),
      advanced_to_(now) {
  queue_.SetTeams(options_.policies.teams);
}

void EndpointOwner::Advance(TimePoint now) {
  ZR_ASSERT(now >= advanced_to_,
            "time of an event precedes the previous event");
  if (now > advanced_to_) {
    WorkForecast::Advance(grants_, model_, now - advanced_to_);
  }
  advanced_to_ = std::max(advanced_to_, now);
  if (grants_.size() == 0) engine_.RecordIdle(now);
  engine_.UpdateTakeOver(now);
  if (pending_gather_ && now >= pending_gather_->until) pending_gather_.reset();
}

OwnerActions EndpointOwner::Finish(TimePoint now, OwnerActions actions) {
  engine_.UpdateTakeOver(now);  // the event may have completed the takeover
  ExpireGrants(now, actions);
  ProcessQueue(now, actions);
  grants_.PruneTombstones(now);
  engine_.RecordReserved(now, grants_.reserved(), grants_.size());
  // Stream lists show another owner's streams sooner than load reports do,
  // which matters while the endpoint may be in slow start.
  const bool watch = !engine_.BootConfirmed() || !slow_start_.warm();
  if (watch && (grants_.size() > 0 || !queue_.empty())) engine_.ScheduleList();
  const bool cancelling = grants_.CountState(GrantState::kCancelling) > 0;
  if (reachable_ && engine_.StartListIfDue(now, cancelling)) {
    actions.emplace_back(RequestStreamList{});
  }
  CheckInvariants(now);
  return actions;
}

void EndpointOwner::CheckInvariants(TimePoint now) const {
  const Duration window = options_.policies.pool.unclaimed_window;
  grants_.CheckInvariants(
      now, std::max(window + Duration::Seconds(2), Duration::Seconds(5)));
}

bool EndpointOwner::AcceptsNew() const {
  return !state_.drained && !state_.leaving && !engine_leaving_ && reachable_;
}

// -----------------------------------------------------------------------------
// Admission

QueuedRequest EndpointOwner::MakeQueuedRequest(
    TimePoint now, const VmId& from, const AdmissionRequest& request) const {
  QueuedRequest item;
  item.from = from;
  item.request = request;
  item.arrived = now;
  item.deadline = now + request.time_left;
  int64_t weight = 1;
  if (const auto it = options_.policies.classes->find(request.request_class);
      it != options_.policies.classes->end()) {
    weight = it->second.weight;
    item.priority = it->second.priority;
  }
  item.long_prompt = !request.plain_service &&
                     request.prompt > options_.policies.pool.long_prompt;
  // Engines honour priorities, so short prompts also overtake long ones of the
  // same class inside the engine.
  item.priority = item.priority * 2 + (item.long_prompt ? 0 : 1);
  item.demand.priority = item.priority;
  if (request.plain_service) {
    item.demand.plain_seconds =
        model_.PlainCallTime(request.request_class).seconds();
    item.run_time = model_.PlainCallTime(request.request_class);
  } else {
    const TokenCount prompt = std::max(TokenCount(0), request.prompt);
    const TokenCount answer = std::max(TokenCount(0), request.max_answer);
    item.uncached_tokens =
        prompt - prefixes_.CachedTokens(prompt, request.prefixes);
    item.kv = item.uncached_tokens + answer;
    item.cost = static_cast<double>(std::max<int64_t>(1, item.kv.value()));
    item.demand.prefill = static_cast<double>(item.uncached_tokens.value());
    item.demand.answer = model_.ExpectedAnswer(request.request_class, answer);
    item.run_time = WorkForecast::RunTime(grants_, model_, item.demand,
                                          planner_.ExpectedBatch());
  }
  // Endpoint time used by the request: its prefill, and its share of a full
  // batch during decode.
  const double batch = static_cast<double>(options_.policies.pool.max_requests);
  const double seconds = item.demand.prefill / model_.PrefillSpeed() +
                         (item.demand.answer / model_.DecodeSpeed(batch) +
                          item.demand.plain_seconds) /
                             batch;
  item.density = static_cast<double>(std::max<int64_t>(1, weight)) /
                 std::max(seconds, 1e-4);
  if (request.run_alone) item.busy_after = now + kMaxRunAloneWait;
  return item;
}

OwnerActions EndpointOwner::OnAdmissionRequest(
    TimePoint now, const VmId& from, const AdmissionRequest& request) {
  Advance(now);
  OwnerActions actions;
  if (AnswerDuplicate(now, from, request, actions)) {
    return Finish(now, std::move(actions));
  }
  QueuedRequest item = MakeQueuedRequest(now, from, request);
  if (!AcceptsNew()) {
    Refuse(item, RefusalReason::kNotAccepting, Duration(), actions);
    return Finish(now, std::move(actions));
  }
  const TokenCount whole = request.prompt + request.max_answer;
  if (!request.plain_service && engine_.has_load() &&
      whole > engine_.KvWhenEmpty()) {
    Refuse(item, RefusalReason::kTooLarge, Duration(), actions);
    return Finish(now, std::move(actions));
  }
  const Duration alone = WorkForecast::RunTimeAlone(model_, item.demand);
  if (now + alone > item.deadline) {
    Refuse(item, RefusalReason::kDeadline, Duration(), actions);
    return Finish(now, std::move(actions));
  }
  const StreamKey key = item.key();
  queue_.Push(std::move(item));
  ExpireGrants(now, actions);
  ProcessQueue(now, actions);
  CheckExpectedStart(now, key, actions);
  return Finish(now, std::move(actions));
}

bool EndpointOwner::AnswerDuplicate(TimePoint now, const VmId& from,
                                    const AdmissionRequest& request,
                                    OwnerActions& actions) {
  const StreamKey key{request.request, request.attempt};
  if (QueuedRequest* waiting = queue_.Find(key)) {
    waiting->from = from;
    if (request.queue_if_busy && !request.run_alone) {
      waiting->busy_after = TimePoint::Max();
    }
    return true;
  }
  GrantEntry* entry = grants_.Find(key);
  if (entry == nullptr) return false;
  const bool unused = entry->state == GrantState::kOffered ||
                      (entry->state == GrantState::kHeld && !entry->started);
  const bool same_boot = entry->boot == engine_.boot();
  if (unused && same_boot && !entry->adopted && entry->holder == from &&
      AcceptsNew()) {
    // The first reply was lost. The holder hasn't started the call, so the same
    // grant can be sent again.
    entry->state = GrantState::kOffered;
    entry->expires_at = now + kGrantLease;
    SendGrant(*entry, actions);
    return true;
  }
  QueuedRequest item = MakeQueuedRequest(now, from, request);
  Refuse(item,
         AcceptsNew() ? RefusalReason::kBusy : RefusalReason::kNotAccepting,
         kGrantLease, actions);
  return true;
}

void EndpointOwner::CheckExpectedStart(TimePoint now, const StreamKey& key,
                                       OwnerActions& actions) {
  QueuedRequest* item = queue_.Find(key);
  if (item == nullptr) return;
  const std::vector<const QueuedRequest*> ahead =
      queue_.OrderedUpTo(*item, now);
  const TimePoint start = planner_.ExpectedStart(ahead, now);
  // Tell the ingress to retry in 1 s if the end of the endpoint's work is
  // unknown.
  const Duration hint =
      start == TimePoint::Max() ? Duration::Seconds(1) : start - now;
  const bool too_long_to_drain =
      item->request.run_alone && start > item->busy_after;
  if (!item->request.queue_if_busy || too_long_to_drain) {
    if (too_long_to_drain || start > now + kBusyTolerance ||
        item->request.run_alone) {
      Refuse(*item, RefusalReason::kBusy, hint, actions);
      queue_.Remove(key);
    } else {
      item->busy_after = now + kBusyTolerance;
    }
    return;
  }
  if (!engine_.has_load() && !item->request.plain_service) return;
  const Duration reserve = item->request.time_left / kSlackReserveDivisor;
  if (start == TimePoint::Max() || start > item->LatestStart() - reserve) {
    queue_.OnCapacityRefusal(now, item->density);
    Refuse(*item, RefusalReason::kDeadline, hint, actions);
    queue_.Remove(key);
  }
}

void EndpointOwner::ProcessQueue(TimePoint now, OwnerActions& actions) {
  if (!AcceptsNew()) {
    RefuseAll(RefusalReason::kNotAccepting, actions);
    return;
  }
  while (!queue_.empty()) {
    const Plan plan = planner_.MakePlan(now, pending_gather_);
    for (const PlannedRefusal& refusal : plan.refusals) {
      const std::optional<QueuedRequest> item = queue_.Remove(refusal.key);
      if (!item) continue;
      if (refusal.reason == RefusalReason::kDeadline) {
        queue_.OnCapacityRefusal(now, item->density);
      }
      Refuse(*item, refusal.reason, refusal.wait_hint, actions);
    }
    if (engine_.in_doubt() || !plan.start) return;
    GrantQueued(now, *plan.start, actions);
  }
}

void EndpointOwner::GrantQueued(TimePoint now, const StreamKey& key,
                                OwnerActions& actions) {
  const std::optional<QueuedRequest> item = queue_.RemoveGranted(key);
  if (!item) return;
  const AdmissionRequest& request = item->request;
  last_grant_ = last_grant_.Next();
  GrantEntry entry;
  entry.key = key;
  entry.holder = item->from;
  entry.owner = options_.self;
  entry.owner_incarnation = options_.incarnation;
  entry.number = last_grant_;
  entry.kv = item->kv;
  entry.run_alone = request.run_alone;
  entry.long_prompt = item->long_prompt;
  entry.plain = request.plain_service;
  entry.priority = item->priority;
  entry.team = request.team;
  entry.request_class = request.request_class;
  entry.fingerprint = request.fingerprint;
  entry.boot = engine_.boot();
  entry.max_answer = request.max_answer;
  entry.granted_at = now;
  entry.deadline = item->deadline;
  entry.expires_at = now + kGrantLease;
  entry.uncached_tokens = entry.prefill_left = item->demand.prefill;
  entry.expected_answer = entry.answer_left = item->demand.answer;
  entry.plain_left = item->demand.plain_seconds;
  ZR_ASSERT_INVARIANT(kAdmittedFinishes, now < entry.deadline,
                      "grant issued after the request's deadline");
  ZR_ASSERT_INVARIANT(kDrainedDomainIdle, !state_.drained,
                      "grant issued on a drained endpoint");
  ZR_ASSERT_INVARIANT(kLeavingEndpointIdle, !state_.leaving && !engine_leaving_,
                      "grant issued on a leaving endpoint");
  ZR_ASSERT_INVARIANT(kFreshNotOverrun, planner_.FreeSlots(now) >= 1,
                      "grant exceeds the slow-start limit");
  ZR_ASSERT_INVARIANT(kNoKvLeak, entry.plain || planner_.FreeKv() >= entry.kv,
                      "grant exceeds the free KV tokens");
  SendGrant(grants_.Add(std::move(entry)), actions);
  ++counters_.grants_issued;
}

void EndpointOwner::SendGrant(const GrantEntry& entry,
                              OwnerActions& actions) const {
  Grant grant;
  grant.request = entry.key.request;
  grant.attempt = entry.key.attempt;
  grant.endpoint = options_.endpoint.endpoint;
  grant.number = entry.number;
  grant.owner = options_.self;
  grant.owner_incarnation = options_.incarnation;
  grant.kv_tokens = entry.kv;
  grant.start_within = kStartWithin;
  grant.priority = entry.priority;
  grant.boot = entry.boot;
  actions.emplace_back(SendMessage{entry.holder, std::move(grant)});
}

void EndpointOwner::Refuse(const QueuedRequest& item, RefusalReason reason,
                           Duration wait_hint, OwnerActions& actions) {
  Refusal refusal;
  refusal.request = item.request.request;
  refusal.attempt = item.request.attempt;
  refusal.endpoint = options_.endpoint.endpoint;
  refusal.reason = reason;
  refusal.wait_hint = wait_hint;
  actions.emplace_back(SendMessage{item.from, std::move(refusal)});
  if (reason == RefusalReason::kBusy) {
    ++counters_.refused_busy;
  } else if (reason == RefusalReason::kDeadline) {
    ++counters_.refused_deadline;
  } else {
    ++counters_.refused_other;
  }
}

void EndpointOwner::RefuseAll(RefusalReason reason, OwnerActions& actions) {
  for (const QueuedRequest& item : queue_.Clear()) {
    Refuse(item, reason, Duration(), actions);
  }
}

OwnerActions EndpointOwner::OnCancel(TimePoint now, const VmId& from,
                                     const CancelAdmission& cancel) {
  Advance(now);
  const StreamKey key{cancel.request, cancel.attempt};
  if (const QueuedRequest* item = queue_.Find(key);
      item != nullptr && item->from == from) {
    queue_.Remove(key);
  }
  // A grant that crosses the cancellation is never used by its receiver.
  const GrantEntry* entry = grants_.Find(key);
  if (entry != nullptr && entry->holder == from && !entry->ever_started &&
      entry->state == GrantState::kOffered) {
    grants_.Remove(key, now);
  }
  return Finish(now, {});
}

}  // namespace zr
