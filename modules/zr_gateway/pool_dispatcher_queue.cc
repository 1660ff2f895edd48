// The queue of PoolDispatcher: which request is granted, held or refused.

#include <algorithm>
#include <utility>

#include "zr_gateway/pool_dispatcher.h"

namespace zr {
namespace {

// A class of requests that found no room is not tried again sooner. Bounds the
// processor time for attempts, each of which takes some 100 us.
constexpr Duration kAttemptPeriod = Duration::Milliseconds(4);
// The same for prompts that are not short, for which an attempt takes up to
// 1 ms; also if a slot has become free meanwhile.
constexpr Duration kLongAttemptPeriod = Duration::Milliseconds(20);
// Attempts after one event.
constexpr int kMaxAttempts = 8;
// A deferred long prompt is tried again after this time; the price of prefill
// changes no faster, and such an attempt takes up to 1 ms.
constexpr Duration kDeferredAttemptPeriod = Duration::Milliseconds(100);
// Prompts that one engine reads within this time are of medium size.
constexpr double kMaxMediumPrefillMs = 600;
// Callers leave after a gap of 2 s, four times the objective or eight times the
// allowed pause. The rest is left for the messages on the way.
constexpr Duration kMinCallerWait = Duration::Seconds(2);
constexpr int64_t kObjectivesWaited = 4;
constexpr int64_t kGapsWaited = 8;
constexpr Duration kCallerWaitMargin = Duration::Milliseconds(300);
// Retry-After of a refusal, at the least.
constexpr Duration kMinRetryAfter = Duration::Milliseconds(300);
// Callers repeat after at most this share of the time that they have left.
constexpr int64_t kRetryAfterDivisor = 3;

Duration FromMilliseconds(double ms) {
  return Duration::Microseconds(static_cast<int64_t>(1000 * ms));
}

/** Latest first token that the caller of a request waits for. */
Duration CallerWait(const DispatchRequest& request) {
  Duration wait = kMinCallerWait;
  // Once the objective has passed, its length is not known any more.
  if (request.objective > Duration()) {
    wait = std::max(wait,
                    (request.objective + request.waited) * kObjectivesWaited);
  }
  // A pause as long as the time left is one without a limit.
  if (request.max_gap < request.time_left) {
    wait = std::max(wait, request.max_gap * kGapsWaited);
  }
  return wait - kCallerWaitMargin;
}

}  // namespace

bool PoolDispatcher::MayQueue(const GatewayConfig& config,
                              const ServicePolicy& service,
                              const DispatchRequest& request) const {
  // Without an active endpoint, or if the prompt fits on no engines, there is
  // nothing to wait for.
  return request.reads_grants && HasQueue(config, service) &&
         tracker_.CountActive(request.pool) > 0 &&
         FitsEngines(*service.engine, {request.prompt, request.max_answer},
                     tracker_.CountActive(request.pool), kMaxHelpers);
}

QueuedCall PoolDispatcher::MakeQueuedCall(
    TimePoint now, const VmId& vm, QueuedPool& pool,
    const DispatchRequest& request) const {
  const PromptShape shape{request.prompt, request.max_answer};
  const double prefill_ms = PrefillMilliseconds(pool.engine, request.prompt);
  QueuedCall call;
  call.key = MakeCallKey(vm, request.request, request.call_number);
  call.request = request;
  call.received = now;
  call.arrived = now - request.waited;
  call.objective_at = now + request.objective;
  call.deadline = now + request.time_left;
  call.latest_first_token =
      std::min(call.arrived + CallerWait(request), call.deadline);
  call.cost_ms = EngineCostMs(pool.engine, shape);
  call.value = RequestValue(shape);
  double segment_ms = prefill_ms;
  if (!placement_.IsShortPrefill(prefill_ms)) {
    call.size = prefill_ms <= kMaxMediumPrefillMs ? SizeClass::kMedium
                                                  : SizeClass::kLong;
    segment_ms /= static_cast<double>(
        std::min(tracker_.CountActive(request.pool), kMaxHelpers + 1));
  }
  call.shortest_first_token =
      FromMilliseconds(segment_ms + PassMilliseconds(pool.engine, 1, 0));
  const RepeatInfo repeat = pool.refusals.OnArrival(now, request.fingerprint);
  call.repeat = repeat.kind;
  call.objective_at = std::min(call.objective_at, repeat.objective_at);
  return call;
}

DispatchReply PoolDispatcher::OnQueueableRequest(
    TimePoint now, const VmId& vm, const EngineProfile& engine,
    const DispatchRequest& request) {
  QueuedPool& pool = queued_pools_[request.pool];
  pool.engine = engine;
  pool.queue.Remove(MakeCallKey(vm, request.request, request.call_number));
  QueuedCall call = MakeQueuedCall(now, vm, pool, request);
  if (call.size != SizeClass::kShort && !request.deferred) {
    prefill_admissions_[request.pool].OnArrival(
        now, PrefillMilliseconds(engine, request.prompt), call.value);
  }
  DispatchReply reply;
  reply.request = request.request;
  reply.call_number = request.call_number;
  if (!pool.queue.GoesAfterOthers(now, call)) {
    TimePoint first_token;
    switch (TryGrant(now, pool, call, reply, first_token)) {
      case Attempt::kGranted:
        AddEvent(now, QueueEvent::Kind::kGranted, call, reply, false);
        return reply;
      case Attempt::kRefuse:
        reply = Refusal(now, pool, call);
        AddEvent(now, QueueEvent::Kind::kRefused, call, reply, false,
                 "deadline");
        return reply;
      case Attempt::kDefer:
        call.not_before = now + kDeferredAttemptPeriod;
        break;
      case Attempt::kNoRoom:
      case Attempt::kTooLate:
      case Attempt::kHarmful:
        break;
    }
  }
  const size_t engines = tracker_.CountActive(request.pool);
  QueueForecast forecast;
  if (call.size == SizeClass::kShort) {
    forecast = pool.queue.Forecast(now, call, engines);
  }
  const bool too_long =
      call.repeat != RepeatKind::kInstructedRepeat &&
      now + forecast.wait + call.shortest_first_token > call.latest_first_token;
  if (too_long || !call.CanBeAnswered(now)) {
    reply = Refusal(now, pool, call);
    reply.expected_wait = std::max(reply.expected_wait, forecast.wait);
    AddEvent(now, QueueEvent::Kind::kRefused, call, reply, false,
             "forecast on arrival");
    return reply;
  }
  reply.queued = true;
  reply.expected_wait = forecast.wait;
  AddEvent(now, QueueEvent::Kind::kQueued, call, reply, false);
  events_.back().position = forecast.position;
  pool.queue.Push(std::move(call));
  // It may use room that is too late for those that go before it.
  ServeQueue(now, request.pool);
  return reply;
}

PoolDispatcher::Attempt PoolDispatcher::TryGrant(TimePoint now,
                                                 QueuedPool& pool,
                                                 const QueuedCall& call,
                                                 DispatchReply& reply,
                                                 TimePoint& first_token) {
  CallRequirements requirements = RequirementsOf(call.request);
  requirements.objective = std::max(Duration(), call.objective_at - now);
  requirements.time_left = call.deadline - now;
  requirements.prefers_room = true;
  requirements.needs_room = pool.queue.HasStarved(now, call);
  const auto plan =
      placement_.Choose(now, tracker_, call.request.pool, &pool.engine,
                        requirements, random_.Next());
  if (call.size == SizeClass::kShort) {
    if (!plan || !plan->has_room) return Attempt::kNoRoom;
    first_token = now + plan->expected_first_token;
    const Attempt start = MayStart(now, pool, call, *plan);
    if (start != Attempt::kGranted) return start;
  } else {
    DispatchRequest counted = call.request;
    counted.deferred = true;  // counted when it arrived
    switch (DecidePrefill(now, pool.engine, counted, requirements, plan,
                          prefill_admissions_[call.request.pool])) {
      case PrefillDecision::kDefer:
        return Attempt::kDefer;
      case PrefillDecision::kRefuse:
        return Attempt::kRefuse;
      case PrefillDecision::kStart:
        break;
    }
    if (!plan || !plan->has_room) return Attempt::kNoRoom;
  }
  first_token = now + plan->expected_first_token;
  Grant(now, call.key.vm, call.request, *plan, requirements.time_left,
        first_token <= call.objective_at ? call.objective_at : TimePoint::Max(),
        reply);
  reply.expected_wait = now - call.received;
  pool.queue.OnGranted(now, call, plan->expected_first_token);
  return Attempt::kGranted;
}

PoolDispatcher::Attempt PoolDispatcher::MayStart(
    TimePoint now, const QueuedPool& pool, const QueuedCall& call,
    const PlacementPlan& plan) const {
  if (plan.undisturbed || pool.queue.HasStarved(now, call)) {
    return Attempt::kGranted;
  }
  // The passes of an engine that takes it without harm end within some 100 ms.
  if (plan.harmed_value > 0) return Attempt::kHarmful;
  // While it can still be in time, another engine may have room for it.
  if (now + plan.expected_first_token <= call.objective_at) {
    return Attempt::kGranted;
  }
  if (pool.queue.CanMeetObjective(now, call)) return Attempt::kTooLate;
  // Slots of one engine become free together, more than prompts fit into the
  // next pass in time. The rest is kept for the pass after it.
  return plan.shares_pass && pool.queue.HasInTime(now, call.size)
             ? Attempt::kHarmful
             : Attempt::kGranted;
}

void PoolDispatcher::ServeQueue(TimePoint now, const PoolId& pool_id,
                                bool room_freed) {
  const auto it = queued_pools_.find(pool_id);
  if (it == queued_pools_.end() || it->second.queue.empty()) return;
  QueuedPool& pool = it->second;
  if (room_freed) {
    pool.blocked_until[PoolQueue::kShortClass] = TimePoint();
    pool.blocked_until[PoolQueue::kShortClass + 1] = TimePoint();
  }
  PoolQueue::Skipped skipped;
  for (size_t i = 0; i < skipped.classes.size(); ++i) {
    skipped.classes[i] = now < pool.blocked_until[i];
  }
  const auto block = [&](size_t index) {
    skipped.classes[index] = true;
    pool.blocked_until[index] =
        now + (index < PoolQueue::kShortClass + 2 ? kAttemptPeriod
                                                  : kLongAttemptPeriod);
  };
  for (int attempts = 0; attempts < kMaxAttempts; ++attempts) {
    QueuedCall* next = pool.queue.Next(now, skipped);
    if (next == nullptr) return;
    const size_t index = pool.queue.ClassOf(now, *next);
    DispatchReply reply;
    reply.request = next->request.request;
    reply.call_number = next->request.call_number;
    TimePoint first_token;
    switch (TryGrant(now, pool, *next, reply, first_token)) {
      case Attempt::kGranted:
        AddEvent(now, QueueEvent::Kind::kGranted, *next, reply, true);
        pool.queue.Remove(CallKey(next->key));
        break;
      case Attempt::kNoRoom:
        // Late requests of this size have no room either.
        block(index);
        block(index | 1);
        break;
      case Attempt::kTooLate:
        skipped.late_before[index / 2] = first_token;
        pool.blocked_until[index] = now + kAttemptPeriod;
        break;
      case Attempt::kHarmful:
        block(index);
        break;
      case Attempt::kDefer:
        next->not_before = now + kDeferredAttemptPeriod;
        break;
      case Attempt::kRefuse:
        AddEvent(now, QueueEvent::Kind::kRefused, *next,
                 Refusal(now, pool, *next), true, "deadline");
        pool.queue.Remove(CallKey(next->key));
        break;
    }
  }
}

void PoolDispatcher::RefuseHopeless(TimePoint now, const PoolId& pool_id,
                                    QueuedPool& pool) {
  if (pool.queue.empty()) return;
  const auto refuse = [&](const CallKey& key, const char* reason) {
    const QueuedCall call = *pool.queue.Find(key);
    AddEvent(now, QueueEvent::Kind::kRefused, call, Refusal(now, pool, call),
             true, reason);
    pool.queue.Remove(key);
  };
  std::vector<CallKey> ended;
  for (const auto& [key, call] : pool.queue.calls()) {
    if (!call.CanBeAnswered(now)) ended.push_back(key);
  }
  for (const CallKey& key : ended) refuse(key, "caller's wait");
  for (const CallKey& key :
       pool.queue.Hopeless(now, tracker_.CountActive(pool_id))) {
    refuse(key, "forecast");
  }
}

DispatchReply PoolDispatcher::Refusal(TimePoint now, QueuedPool& pool,
                                      const QueuedCall& call) {
  DispatchReply reply;
  reply.request = call.request.request;
  reply.call_number = call.request.call_number;
  reply.deadline_unreachable = true;
  const Duration drain =
      pool.queue.DrainTime(now, tracker_.CountActive(call.request.pool));
  reply.expected_wait = std::max(Duration::Milliseconds(1), drain);
  // Callers that are refused together come back spread over the drain time, or
  // over half of the longest wait if it is shorter.
  const Duration longest = (call.deadline - now) / kRetryAfterDivisor;
  const Duration earliest =
      std::min(std::max(drain, kMinRetryAfter), longest / 2);
  const Duration spread =
      std::min(std::max(drain, kMinRetryAfter), longest - earliest);
  reply.retry_after = earliest + Duration::Microseconds(static_cast<int64_t>(
                                     random_.Unit() * spread.seconds() * 1e6));
  pool.refusals.OnRefused(now, call.request.fingerprint,
                          now + reply.retry_after, call.objective_at);
  return reply;
}

void PoolDispatcher::AddEvent(TimePoint now, QueueEvent::Kind kind,
                              const QueuedCall& call,
                              const DispatchReply& reply, bool push,
                              const char* reason) {
  QueueEvent event;
  event.kind = kind;
  event.vm = call.key.vm;
  event.pool = call.request.pool;
  event.team = call.request.team;
  event.push = push;
  event.reply = reply;
  event.waited = now - call.received;
  if (kind == QueueEvent::Kind::kGranted) event.engine_ms = call.cost_ms;
  event.reason = reason;
  events_.push_back(std::move(event));
}

std::map<PoolId, size_t> PoolDispatcher::QueueLengths() const {
  std::map<PoolId, size_t> lengths;
  for (const auto& [pool_id, pool] : queued_pools_) {
    lengths[pool_id] = pool.queue.size();
  }
  return lengths;
}

const PoolQueue* PoolDispatcher::QueueOf(const PoolId& pool) const {
  const auto it = queued_pools_.find(pool);
  return it == queued_pools_.end() ? nullptr : &it->second.queue;
}

}  // namespace zr
