#include "zr_gateway/pool_dispatcher.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// A call is dropped this long after its deadline if no VM reported its end.
constexpr Duration kExpiryGrace = Duration::Milliseconds(500);

// Interval at which a VM asks again for a deferred prompt.
constexpr Duration kDeferInterval = Duration::Milliseconds(200);

CallKey MakeCallKey(const VmId& vm, const RequestId& request,
                    AttemptNumber call) {
  return {vm, request, static_cast<int>(call.value())};
}

}  // namespace

CallPlaced PoolDispatcher::OnPlaceCall(TimePoint now, const VmId& vm,
                                       const GatewayConfig& config,
                                       const PlaceCall& call) {
  CallPlaced answer;
  answer.request = call.request;
  answer.call = call.call;
  answer.retry_after = Duration::Milliseconds(300);
  const ServicePolicy* service = config.FindService(call.pool);
  if (service == nullptr) return answer;
  CallNeeds needs;
  needs.shape = {call.prompt, call.max_answer};
  needs.objective = call.objective;
  needs.gap = call.gap;
  needs.time_left = call.time_left;
  needs.excluded = {call.excluded.begin(), call.excluded.end()};
  const auto plan = placement_.Choose(
      now, board_, call.pool, service->engine ? &*service->engine : nullptr,
      needs, random_.Next());
  if (service->engine) {
    const StartDecision decision =
        DecidePrefill(now, *service->engine, call, needs, plan);
    if (decision == StartDecision::kWait) answer.ask_again = kDeferInterval;
    answer.hopeless = decision == StartDecision::kRefuse;
    if (decision != StartDecision::kStart) return answer;
  }
  if (!plan) return answer;

  CallEndpoints endpoints = plan->Endpoints();
  answer.endpoint = endpoints.first;
  answer.helpers = endpoints.helpers;
  answer.holders = static_cast<uint32_t>(endpoints.holders);
  answer.reserved = endpoints.reserved;
  answer.part_us = static_cast<uint32_t>(1000 * plan->part_ms);
  answer.forecast = plan->expected_first_token;

  CallLoad load;
  load.reading_ms = plan->part_ms;
  load.held = call.prompt + call.max_answer;
  load.gap = call.gap;
  load.value = RequestValue(needs.shape);
  load.expires = now + call.time_left + kExpiryGrace;
  AddCall(now, MakeCallKey(vm, call.request, call.call), call.pool,
          std::move(endpoints), load);
  return answer;
}

StartDecision PoolDispatcher::DecidePrefill(
    TimePoint now, const EngineFigures& engine, const PlaceCall& call,
    const CallNeeds& needs, const std::optional<PlacementPlan>& plan) {
  StartFacts facts;
  facts.total_prefill_ms = ReadMilliseconds(engine, call.prompt);
  if (placement_.IsShortPrefill(facts.total_prefill_ms) ||
      !FitsEngines(engine, needs.shape, board_.CountActive(call.pool),
                   kMaxHelpers)) {
    return StartDecision::kStart;
  }
  facts.value = RequestValue(needs.shape);
  if (plan) facts.first_token = plan->expected_first_token;
  const size_t readers =
      std::min(board_.CountActive(call.pool), kMaxHelpers + 1);
  facts.earliest_first_token = Duration::Microseconds(static_cast<int64_t>(
      1000 * facts.total_prefill_ms / static_cast<double>(readers)));
  facts.objective_left = needs.objective;
  facts.time_left = needs.time_left;
  StartRule& rule = prefill_admissions_[call.pool];
  if (!call.waited) rule.OnArrival(now, facts.total_prefill_ms, facts.value);
  if (!plan) return rule.DecideWithoutMemory(facts);
  return rule.Decide(board_.MeanBacklogMs(now, call.pool), facts);
}

void PoolDispatcher::AddCall(TimePoint now, const CallKey& key,
                             const PoolId& pool, CallEndpoints endpoints,
                             const CallLoad& load) {
  // Replaces an earlier placement of the same call.
  RemoveCall(now, key);
  CallLoad keyed_load = load;
  keyed_load.key = key;
  StartCall(now, board_, endpoints, keyed_load);
  calls_[key] = {pool, std::move(endpoints), load.expires};
}

void PoolDispatcher::OnProgress(TimePoint now, const VmId& vm,
                                const CallProgress& progress) {
  const CallKey key = MakeCallKey(vm, progress.request, progress.call);
  auto it = calls_.find(key);
  if (it == calls_.end()) return;
  const CallEndpoints& endpoints = it->second.endpoints;
  if (progress.stage == CallStage::kPromptRead) {
    return NotePromptRead(now, board_, endpoints, key);
  }
  // With helpers, it is unknown which of the endpoints rejected the call.
  if (endpoints.helpers.empty() || progress.sign != CallSign::kRejected) {
    board_.OnSign(now, endpoints.first, progress.sign);
  }
  RemoveCall(now, key);
}

void PoolDispatcher::RemoveCall(TimePoint now, const CallKey& key) {
  auto it = calls_.find(key);
  if (it == calls_.end()) return;
  EndCall(now, board_, it->second.endpoints, key);
  calls_.erase(it);
}

void PoolDispatcher::OnHeldCalls(TimePoint now, const VmId& vm,
                                 const HeldCalls& held) {
  std::vector<CallKey> known;
  for (const auto& [key, placed] : calls_) {
    if (key.vm == vm && placed.pool == held.pool) known.push_back(key);
  }
  for (const CallKey& key : known) RemoveCall(now, key);
  for (const HeldCall& call : held.calls) {
    CallEndpoints endpoints;
    endpoints.first = call.endpoint;
    endpoints.helpers = call.helpers;
    endpoints.holders = std::min<size_t>(call.holders, call.helpers.size());
    endpoints.reserved = call.reserved;
    CallLoad load;
    load.reading_ms = call.part_us / 1000.0;
    load.held = call.held;
    load.gap = call.gap;
    load.value = static_cast<double>(call.value);
    load.expires = now + call.time_left + kExpiryGrace;
    AddCall(now, MakeCallKey(vm, call.request, call.call), held.pool,
            std::move(endpoints), load);
  }
}

void PoolDispatcher::OnVmGone(TimePoint now, const VmId& vm) {
  std::vector<CallKey> known;
  for (const auto& [key, placed] : calls_) {
    if (key.vm == vm) known.push_back(key);
  }
  for (const CallKey& key : known) RemoveCall(now, key);
}

void PoolDispatcher::Tick(TimePoint now) {
  std::vector<CallKey> expired;
  for (const auto& [key, placed] : calls_) {
    if (now > placed.expires) expired.push_back(key);
  }
  for (const CallKey& key : expired) RemoveCall(now, key);
}

std::vector<VmId> RankDispatchers(const PoolId& pool, std::vector<VmId> vms,
                                  size_t count) {
  count = std::min(count, vms.size());
  std::partial_sort(vms.begin(), vms.begin() + static_cast<int64_t>(count),
                    vms.end(), [&pool](const VmId& a, const VmId& b) {
                      return RendezvousScore(pool.value(), a.value()) >
                             RendezvousScore(pool.value(), b.value());
                    });
  vms.resize(count);
  return vms;
}

}  // namespace zr
