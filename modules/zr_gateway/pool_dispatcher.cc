#include "zr_gateway/pool_dispatcher.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// A call is dropped this long after its deadline if no VM reported its end.
constexpr Duration kExpiryGrace = Duration::Milliseconds(500);

// Interval at which a VM asks again for a deferred prompt.
constexpr Duration kDeferInterval = Duration::Milliseconds(200);

}  // namespace

DispatchReply PoolDispatcher::OnDispatchRequest(
    TimePoint now, const VmId& vm, const GatewayConfig& config,
    const DispatchRequest& request) {
  DispatchReply reply;
  reply.request = request.request;
  reply.call_number = request.call_number;
  reply.retry_after = Duration::Milliseconds(300);
  const ServicePolicy* service = config.FindService(request.pool);
  if (service == nullptr) return reply;
  if (MayQueue(config, *service, request)) {
    return OnQueueableRequest(now, vm, *service->engine, request);
  }
  const CallRequirements requirements = RequirementsOf(request);
  const auto plan =
      placement_.Choose(now, tracker_, request.pool,
                        service->engine ? &*service->engine : nullptr,
                        requirements, random_.Next());
  if (service->engine) {
    const PrefillDecision decision =
        DecidePrefill(now, *service->engine, request, requirements, plan,
                      prefill_admissions_[request.pool]);
    if (decision == PrefillDecision::kDefer) reply.defer_for = kDeferInterval;
    reply.deadline_unreachable = decision == PrefillDecision::kRefuse;
    if (decision != PrefillDecision::kStart) return reply;
  }
  if (!plan) {
    reply.retry_after = std::max(
        reply.retry_after, tracker_.TimeUntilWithinLimit(now, request.pool));
    return reply;
  }
  Grant(now, vm, request, *plan, request.time_left, now + request.objective,
        reply);
  return reply;
}

CallRequirements PoolDispatcher::RequirementsOf(
    const DispatchRequest& request) const {
  CallRequirements requirements;
  requirements.shape = {request.prompt, request.max_answer};
  requirements.objective = request.objective;
  requirements.max_gap = request.max_gap;
  requirements.time_left = request.time_left;
  requirements.excluded = {request.excluded.begin(), request.excluded.end()};
  return requirements;
}

void PoolDispatcher::Grant(TimePoint now, const VmId& vm,
                           const DispatchRequest& request,
                           const PlacementPlan& plan, Duration time_left,
                           TimePoint first_token_by, DispatchReply& reply) {
  tracker_.CountRequest(now, plan.primary.endpoint);

  CallEndpoints endpoints = plan.Endpoints();
  reply.endpoint = endpoints.primary;
  reply.helpers = endpoints.helpers;
  reply.kv_holders = static_cast<uint32_t>(endpoints.kv_holders);
  reply.kv_per_holder = endpoints.kv_per_holder;
  reply.prefill_us = static_cast<uint32_t>(1000 * plan.prefill_ms);
  reply.forecast = plan.expected_first_token;

  CallLoad load;
  load.prefill_ms = plan.prefill_ms;
  load.kv_tokens = request.prompt + request.max_answer;
  load.max_gap = request.max_gap;
  if (plan.starts_at_once) {
    load.forecast_ms = plan.expected_first_token.seconds() * 1000;
  }
  load.first_token_by = first_token_by;
  load.value = RequestValue({request.prompt, request.max_answer});
  load.expires = now + time_left + kExpiryGrace;
  AddCall(now, MakeCallKey(vm, request.request, request.call_number),
          request.pool, std::move(endpoints), load);
}

PlacementReport PoolDispatcher::Explain(TimePoint now,
                                        const ServicePolicy& service,
                                        const DispatchRequest& request) const {
  const CallRequirements requirements = RequirementsOf(request);
  PlacementReport report =
      ExplainPlacement(now, placement_, tracker_, service, requirements);
  if (!service.engine) return report;
  const auto known = prefill_admissions_.find(request.pool);
  PrefillAdmission policy =
      known == prefill_admissions_.end() ? PrefillAdmission() : known->second;
  const PrefillDecision decision = DecidePrefill(
      now, *service.engine, request, requirements, report.plan, policy);
  report.facts.emplace_back("mean_backlog_ms",
                            tracker_.MeanBacklogMs(request.pool));
  if (const PoolQueue* queue = QueueOf(request.pool)) {
    report.facts.emplace_back("queue_length",
                              static_cast<double>(queue->size()));
    if (report.plan && !report.plan->undisturbed) {
      report.decision = PlacementDecision::kWait;
      report.reason =
          "no engine would answer it in time without making others late, so it "
          "waits in the queue of the pool";
    }
  }
  if (decision == PrefillDecision::kDefer) {
    report.decision = PlacementDecision::kWait;
    report.reason =
        "the engines' prefill time is worth more to other prompts; it asks "
        "again every 200 ms";
  } else if (decision == PrefillDecision::kRefuse) {
    report.decision = PlacementDecision::kRefuse;
    report.reason = "it can't be read and answered before its deadline";
  }
  return report;
}

PrefillDecision PoolDispatcher::DecidePrefill(
    TimePoint now, const EngineProfile& engine, const DispatchRequest& request,
    const CallRequirements& requirements,
    const std::optional<PlacementPlan>& plan, PrefillAdmission& policy) const {
  PrefillCandidate prompt;
  prompt.prefill_ms = PrefillMilliseconds(engine, request.prompt);
  if (placement_.IsShortPrefill(prompt.prefill_ms) ||
      !FitsEngines(engine, requirements.shape,
                   tracker_.CountActive(request.pool), kMaxHelpers)) {
    return PrefillDecision::kStart;
  }
  prompt.value = RequestValue(requirements.shape);
  if (plan) prompt.first_token = plan->expected_first_token;
  const size_t readers =
      std::min(tracker_.CountActive(request.pool), kMaxHelpers + 1);
  prompt.earliest_first_token = Duration::Microseconds(static_cast<int64_t>(
      1000 * prompt.prefill_ms / static_cast<double>(readers)));
  prompt.objective_left = requirements.objective;
  prompt.time_left = requirements.time_left;
  if (!request.deferred) policy.OnArrival(now, prompt.prefill_ms, prompt.value);
  if (!plan) return policy.DecideWithoutMemory(prompt);
  return policy.Decide(placement_.forecasts_passes()
                           ? tracker_.MeanBacklogMs(request.pool)
                           : tracker_.MeanForecastBacklogMs(now, request.pool),
                       prompt);
}

void PoolDispatcher::AddCall(TimePoint now, const CallKey& key,
                             const PoolId& pool, CallEndpoints endpoints,
                             const CallLoad& load) {
  // Replaces an earlier placement of the same call.
  RemoveCall(now, key);
  CallLoad keyed_load = load;
  keyed_load.key = key;
  StartCall(now, tracker_, endpoints, keyed_load);
  calls_[key] = {pool, std::move(endpoints), load.expires,
                 load.prefill_ms <= 0 && load.kv_tokens == TokenCount()};
}

std::optional<LongPause> PoolDispatcher::OnProgress(
    TimePoint now, const VmId& vm, const CallProgress& progress) {
  const CallKey key = MakeCallKey(vm, progress.request, progress.call_number);
  auto it = calls_.find(key);
  if (it == calls_.end()) {
    // The caller of a queued request has left.
    const auto queued = queued_pools_.find(progress.pool);
    if (queued != queued_pools_.end()) queued->second.queue.Remove(key);
    return std::nullopt;
  }
  const PoolId pool = it->second.pool;
  const CallEndpoints& endpoints = it->second.endpoints;
  // VMs of earlier versions don't tell the time.
  std::optional<Duration> elapsed;
  if (progress.elapsed > Duration()) elapsed = progress.elapsed;
  pauses_.OnPrefillEnded(now, tracker_, endpoints, key);
  if (progress.stage == CallStage::kPrefillDone) {
    FinishPrefill(now, tracker_, endpoints, key, elapsed);
    ServeQueue(now, pool);
    return std::nullopt;
  }
  auto long_pause =
      pauses_.OnCallEnded(now, tracker_, endpoints.primary, key, progress);
  // With helpers, it is unknown which of the endpoints rejected the call.
  if (endpoints.helpers.empty() || progress.result != CallResult::kRejected) {
    tracker_.OnCallResult(now, endpoints.primary, progress.result,
                          it->second.plain ? elapsed : std::nullopt);
  }
  if (progress.result == CallResult::kAnswered) {
    tracker_.OnPassEnd(now, endpoints.primary);
  }
  RemoveCall(now, key);
  ServeQueue(now, pool, true);
  return long_pause;
}

void PoolDispatcher::RemoveCall(TimePoint now, const CallKey& key) {
  auto it = calls_.find(key);
  if (it == calls_.end()) return;
  EndCall(now, tracker_, it->second.endpoints, key);
  calls_.erase(it);
}

void PoolDispatcher::OnInFlightCalls(TimePoint now, const VmId& vm,
                                     const InFlightCalls& in_flight) {
  std::vector<CallKey> known;
  for (const auto& [key, placed] : calls_) {
    if (key.vm == vm && placed.pool == in_flight.pool) known.push_back(key);
  }
  for (const CallKey& key : known) RemoveCall(now, key);
  for (const InFlightCall& call : in_flight.calls) {
    CallEndpoints endpoints;
    endpoints.primary = call.endpoint;
    endpoints.helpers = call.helpers;
    endpoints.kv_holders =
        std::min<size_t>(call.kv_holders, call.helpers.size());
    endpoints.kv_per_holder = call.kv_per_holder;
    CallLoad load;
    load.prefill_ms = call.prefill_us / 1000.0;
    load.kv_tokens = call.kv_tokens;
    load.max_gap = call.max_gap;
    load.value = static_cast<double>(call.value);
    load.expires = now + call.time_left + kExpiryGrace;
    AddCall(now, MakeCallKey(vm, call.request, call.call_number),
            in_flight.pool, std::move(endpoints), load);
  }
  tracker_.OnAllowances(now, in_flight.allowances);
}

void PoolDispatcher::OnVmDown(TimePoint now, const VmId& vm) {
  std::vector<CallKey> known;
  for (const auto& [key, placed] : calls_) {
    if (key.vm == vm) known.push_back(key);
  }
  for (const CallKey& key : known) RemoveCall(now, key);
  for (auto& [pool_id, pool] : queued_pools_) {
    pool.queue.RemoveVm(vm);
    ServeQueue(now, pool_id);
  }
}

void PoolDispatcher::Tick(TimePoint now) {
  std::vector<CallKey> expired;
  for (const auto& [key, placed] : calls_) {
    if (now > placed.expires) expired.push_back(key);
  }
  for (const CallKey& key : expired) RemoveCall(now, key);
  tracker_.UpdatePace(now);
  for (auto& [pool_id, pool] : queued_pools_) {
    RefuseHopeless(now, pool_id, pool);
    ServeQueue(now, pool_id);
  }
}

}  // namespace zr
