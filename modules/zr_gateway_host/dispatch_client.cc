#include "zr_gateway_host/dispatch_client.h"

#include <algorithm>
#include <span>
#include <utility>

#include "zr_gateway_host/limit_exchange.h"
#include "zr_gateway_host/path_exchange.h"
#include "zr_gateway_host/suspect_exchange.h"
#include "zr_wire/zr_wire.h"

namespace zr {
namespace {

// Links are kept to this many VMs for each pool, so that another VM takes over
// at once when the dispatcher is lost.
constexpr size_t kRankedVms = 3;
// A dispatcher answers within a round trip of a few milliseconds; the link to a
// VM that takes longer is closed and dialled again.
constexpr Duration kDispatchTimeout = Duration::Milliseconds(60);
// A queued request is granted or refused within the wait of its caller, 2 s,
// several objectives or several pauses. Without a reply this long afterwards
// the dispatcher has lost it.
constexpr Duration kMinQueuedTimeout = Duration::Seconds(2);
constexpr int64_t kQueuedObjectives = 4;
constexpr int64_t kQueuedGaps = 8;
// Calls that all VMs together place without a dispatcher, for each slot of the
// pool, and the least for one VM: callers of one VM may be many more than its
// share of them.
constexpr int kLocalCallsPerSlot = 4;
constexpr int kMinLocalCalls = 2;
// Lower bound on the size of a deployment, used while fewer VMs are known.
constexpr size_t kMinVms = 8;
// Send buffer of a link between entry VMs; configurations are the largest
// messages.
constexpr size_t kMaxLinkBytes = 1 << 20;
// Shares of a cold endpoint's rate: the dispatcher's, and that of all VMs
// together which place calls without a dispatcher. Two dispatchers at once and
// all VMs stay below 1.5 times the rate.
constexpr double kDispatcherColdShare = 0.5;
constexpr double kLocalColdShare = 0.4;
// The same of the limit that an endpoint names, which the dispatcher may use
// in full.
constexpr double kDispatcherLimitShare = 1;
constexpr double kLocalLimitShare = 0.25;
// Ranked instead of a pool if there is no pool of engines.
constexpr const char* kNoPoolRank = "no pool of engines";

/** Says that a request is not waiting any more, or that a grant isn't used. */
CallProgress Aborted(const RequestId& request, AttemptNumber call_number,
                     const PoolId& pool) {
  CallProgress progress;
  progress.request = request;
  progress.call_number = call_number;
  progress.pool = pool;
  progress.stage = CallStage::kEnded;
  progress.result = CallResult::kAborted;
  return progress;
}

}  // namespace

DispatchClient::DispatchClient(asio::io_context& io,
                               const GatewaySettings& settings,
                               GatewayState& state,
                               InFlightCallsSource in_flight_calls)
    : io_(io),
      settings_(settings),
      state_(state),
      in_flight_calls_(std::move(in_flight_calls)),
      dispatcher_(state.placement, Hash64(settings.vm.value())),
      relay_(state) {
  dispatcher_.tracker().SetColdShare(kDispatcherColdShare);
  dispatcher_.tracker().SetLimitShare(kDispatcherLimitShare);
  SetFairQueue(settings.fair_queue);
}

Result<void> DispatchClient::Start(const std::string& key) {
  PeerOptions options;
  options.self = settings_.vm;
  options.incarnation = Incarnation(
      static_cast<uint64_t>(std::max<int64_t>(1, BootNow().microseconds())));
  options.listen_address = settings_.peers_address;
  options.key = key;
  options.max_buffered_bytes = kMaxLinkBytes;
  options.max_unproved_links = settings_.Sockets().unproved_links;
  auto links = PeerLinks::Start(io_, options, weak_from_this());
  if (!links) return tl::unexpected(links.error());
  links_ = std::move(*links);
  ChooseTargets();
  return {};
}

void DispatchClient::SetVms(std::map<VmId, std::string> vms, VmCores cores) {
  if (vms == vms_ && cores == cores_) return;
  vms_ = std::move(vms);
  cores_ = std::move(cores);
  const auto vm_count =
      static_cast<double>(std::max<size_t>(kMinVms, vms_.size()));
  state_.tracker.SetColdShare(kLocalColdShare / vm_count);
  state_.tracker.SetLimitShare(kLocalLimitShare / vm_count);
  ChooseTargets();
}

void DispatchClient::SetPools(std::vector<PoolId> pools) {
  if (pools.empty()) pools.emplace_back(kNoPoolRank);
  if (pools == pools_) return;
  pools_ = std::move(pools);
  ChooseTargets();
}

void DispatchClient::Retire() {
  retired_ = true;
  Heartbeat heartbeat;
  heartbeat.origin.vm = settings_.vm;
  heartbeat.leaving = true;
  for (const VmId& vm : linked_) Send(vm, heartbeat);
  UpdateDispatchers();
}

void DispatchClient::Stop() {
  if (links_) links_->Stop();
}

void DispatchClient::ChooseTargets() {
  if (!links_) return;
  ranked_.clear();
  std::set<std::string> targets;
  std::vector<VmId> all;
  all.reserve(vms_.size());
  for (const auto& [vm, address] : vms_) all.push_back(vm);
  relay_.SetVms(all, cores_);
  for (const VmId& vm : relay_.targets()) targets.insert(vms_[vm]);
  for (const PoolId& pool : pools_) {
    std::vector<VmId> vms = RankForDuty(pool.value(), all, kRankedVms, cores_);
    for (const VmId& vm : vms) targets.insert(vms_[vm]);
    ranked_[pool] = std::move(vms);
  }
  links_->SetTargets(std::move(targets));
  UpdateDispatchers();
}

VmId DispatchClient::DispatcherFor(const PoolId& pool) const {
  if (ranked_.empty()) return VmId();
  auto it = ranked_.find(pool);
  // A plain service has the dispatcher of the first pool of engines.
  if (it == ranked_.end()) it = ranked_.begin();
  for (const VmId& vm : it->second) {
    if (vm == settings_.vm ? !retired_ : IsUsable(vm)) return vm;
  }
  return VmId();
}

bool DispatchClient::IsDispatcher() const {
  return std::any_of(pools_.begin(), pools_.end(), [this](const PoolId& pool) {
    return DispatcherFor(pool) == settings_.vm;
  });
}

bool DispatchClient::IsHub() const {
  const auto has_self = [this](const std::vector<VmId>& vms) {
    return std::find(vms.begin(), vms.end(), settings_.vm) != vms.end();
  };
  return has_self(relay_.targets()) ||
         std::any_of(ranked_.begin(), ranked_.end(),
                     [&](const auto& item) { return has_self(item.second); });
}

std::set<VmId> DispatchClient::LinkedHubs() const {
  std::set<VmId> hubs;
  const auto add = [&](const std::vector<VmId>& vms) {
    for (const VmId& vm : vms) {
      if (linked_.contains(vm)) hubs.insert(vm);
    }
  };
  add(relay_.targets());
  for (const auto& [pool, vms] : ranked_) add(vms);
  return hubs;
}

void DispatchClient::UpdateDispatchers() {
  const TimePoint now = BootNow();
  for (const PoolId& pool : pools_) {
    const VmId vm = DispatcherFor(pool);
    if (current_dispatchers_[pool] == vm) continue;
    state_.log.Write(now, "dispatcher",
                     {{"pool", pool.value()},
                      {"before", current_dispatchers_[pool].value()},
                      {"now", vm.value()},
                      {"vms", vms_.size()}});
    const bool was_dispatcher = current_dispatchers_[pool] == settings_.vm;
    current_dispatchers_[pool] = vm;
    if (vm.empty()) continue;
    const EndpointTracker& known =
        was_dispatcher ? dispatcher_.tracker() : state_.tracker;
    InFlightCalls calls{pool, in_flight_calls_(pool),
                        known.Allowances(now, pool, was_dispatcher)};
    if (vm == settings_.vm) {
      dispatcher_.tracker().RestartLimits(now);
      dispatcher_.tracker().RestartPace(now);
      dispatcher_.OnInFlightCalls(now, vm, calls);
    } else {
      Send(vm, calls);
    }
  }
  MoveQueuedRequests(now);
}

//==============================================================================
// Use

void DispatchClient::RequestDispatch(TimePoint now, const DispatchRequest& call,
                                     DispatchCallback done) {
  const VmId vm = DispatcherFor(call.pool);
  if (vm.empty() || !state_.config) return done(std::nullopt);
  PendingDispatch pending;
  pending.done = std::move(done);
  pending.call = call;
  pending.asked = now;
  Ask(now, vm, std::move(pending));
}

void DispatchClient::Ask(TimePoint now, const VmId& vm,
                         PendingDispatch pending) {
  const DispatchKey key(pending.call.request, pending.call.call_number);
  pending.dispatcher = vm;
  pending.queued = false;
  pending.deadline = now + kDispatchTimeout;
  if (vm != settings_.vm) {
    if (!Send(vm, pending.call)) return pending.done(std::nullopt);
    pending_[key] = std::move(pending);
    return;
  }
  DispatchReply reply = Dispatch(now, vm, pending.call);
  if (!reply.queued) return pending.done(std::move(reply));
  pending_[key] = std::move(pending);
  OnDispatchReply(now, vm, std::move(reply));
  DeliverQueueEvents(now);
}

void DispatchClient::OnDispatchReply(TimePoint now, const VmId& vm,
                                     DispatchReply reply) {
  const DispatchKey key(reply.request, reply.call_number);
  const auto it = pending_.find(key);
  if (it == pending_.end() || it->second.dispatcher != vm) {
    // The request has gone, or asks another dispatcher by now.
    if (reply.endpoint.empty() && !reply.queued) return;
    DispatchRequest call;
    call.request = reply.request;
    call.call_number = reply.call_number;
    if (it != pending_.end()) call.pool = it->second.call.pool;
    return ReturnGrant(vm, call);
  }
  if (!reply.queued) return CompleteDispatch(key, std::move(reply));
  PendingDispatch& pending = it->second;
  pending.queued = true;
  Duration wait =
      std::max(kMinQueuedTimeout, pending.call.objective * kQueuedObjectives);
  if (pending.call.max_gap < pending.call.time_left) {
    wait = std::max(wait, pending.call.max_gap * kQueuedGaps);
  }
  pending.deadline =
      now + std::min(wait, pending.call.time_left) + kDispatchTimeout;
}

void DispatchClient::ReturnGrant(const VmId& vm, const DispatchRequest& call) {
  const CallProgress progress =
      Aborted(call.request, call.call_number, call.pool);
  if (vm == settings_.vm) {
    const TimePoint now = BootNow();
    dispatcher_.OnProgress(now, vm, progress);
    DeliverQueueEvents(now);
  } else if (linked_.contains(vm)) {
    Send(vm, progress);
  }
}

void DispatchClient::CancelDispatch(const RequestId& request,
                                    AttemptNumber call_number) {
  const auto it = pending_.find({request, call_number});
  if (it == pending_.end()) return;
  const VmId vm = it->second.dispatcher;
  const DispatchRequest call = std::move(it->second.call);
  pending_.erase(it);
  ReturnGrant(vm, call);
}

void DispatchClient::MoveQueuedRequests(TimePoint now) {
  std::vector<PendingDispatch> moved;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingDispatch& pending = it->second;
    if (pending.queued &&
        pending.dispatcher != DispatcherFor(pending.call.pool)) {
      moved.push_back(std::move(pending));
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
  for (PendingDispatch& pending : moved) {
    ReturnGrant(pending.dispatcher, pending.call);
    const Duration elapsed = now - pending.asked;
    DispatchRequest& call = pending.call;
    call.waited = call.waited + elapsed;
    call.objective = std::max(Duration(), call.objective - elapsed);
    call.time_left = std::max(Duration(), call.time_left - elapsed);
    pending.asked = now;
    const VmId vm = DispatcherFor(call.pool);
    state_.log.Write(now, "queue_moved",
                     {{"request", call.request.value()},
                      {"before", pending.dispatcher.value()},
                      {"now", vm.value()},
                      {"waited_ms", call.waited.milliseconds()}});
    if (vm.empty()) {
      pending.done(std::nullopt);
    } else {
      Ask(now, vm, std::move(pending));
    }
  }
}

std::optional<int> DispatchClient::MaxLocalCalls(
    const GatewayConfig& config, const ServicePolicy& service) const {
  if (!dispatcher_.HasQueue(config, service)) return std::nullopt;
  int slots = 0;
  for (const auto& [id, state] : state_.tracker.endpoints()) {
    if (state.listed.service == service.name && state_.tracker.MayCall(id)) {
      slots += state.listed.slots;
    }
  }
  const int vms = static_cast<int>(std::max<size_t>(1, vms_.size()));
  return std::max(kMinLocalCalls, kLocalCallsPerSlot * slots / vms);
}

//==============================================================================
// The queue of this dispatcher

void DispatchClient::DeliverQueueEvents(TimePoint now) {
  for (QueueEvent& event : dispatcher_.TakeEvents()) {
    LogQueueEvent(now, event);
    if (!event.push) continue;
    if (event.vm == settings_.vm) {
      OnDispatchReply(now, event.vm, std::move(event.reply));
    } else if (!Send(event.vm, event.reply)) {
      // The grant is lost with the link.
      dispatcher_.OnProgress(
          now, event.vm,
          Aborted(event.reply.request, event.reply.call_number, event.pool));
    }
  }
}

void DispatchClient::LogQueueEvent(TimePoint now, const QueueEvent& event) {
  const std::string pool = event.pool.value();
  LogFields fields = {{"request", event.reply.request.value()},
                      {"asked_by", event.vm.value()},
                      {"pool", pool},
                      {"team", event.team.value()}};
  switch (event.kind) {
    case QueueEvent::Kind::kQueued:
      fields["position"] = event.position;
      fields["expected_wait_ms"] = event.reply.expected_wait.milliseconds();
      state_.log.Write(now, "queued", fields);
      return;
    case QueueEvent::Kind::kGranted:
      state_.metrics.Count("zr_gateway_team_engine_seconds_total",
                           {{"team", event.team.value()}},
                           event.engine_ms / 1000);
      if (!event.push) return;  // it has not waited
      state_.metrics.Observe("zr_gateway_queue_wait_seconds", {{"pool", pool}},
                             event.waited);
      fields["waited_ms"] = event.waited.milliseconds();
      fields["endpoint"] = event.reply.endpoint.value();
      fields["forecast_ms"] = event.reply.forecast.milliseconds();
      state_.log.Write(now, "granted", fields);
      return;
    case QueueEvent::Kind::kRefused:
      state_.metrics.Count("zr_gateway_queue_refusals_total",
                           {{"pool", pool}, {"reason", event.reason}});
      fields["reason"] = event.reason;
      fields["waited_ms"] = event.waited.milliseconds();
      fields["expected_wait_ms"] = event.reply.expected_wait.milliseconds();
      fields["retry_after_ms"] = event.reply.retry_after.milliseconds();
      state_.log.Write(now, "refused", fields);
      return;
  }
}

//==============================================================================
// Dispatching

DispatchReply DispatchClient::Dispatch(TimePoint now, const VmId& vm,
                                       const DispatchRequest& call) {
  DispatchReply answer;
  answer.request = call.request;
  answer.call_number = call.call_number;
  // A VM that has just started can't tell that no endpoint takes the call; the
  // empty reply lets the other VM place it.
  if (state_.config && state_.endpoints_known) {
    answer = dispatcher_.OnDispatchRequest(now, vm, *state_.config, call);
  }
  // Queued and refused requests have lines of their own.
  if (answer.queued || answer.expected_wait > Duration()) return answer;
  LogFields fields = {{"request", call.request.value()},
                      {"asked_by", vm.value()},
                      {"call", call.call_number.value()},
                      {"prompt", call.prompt.value()},
                      {"endpoint", answer.endpoint.value()},
                      {"helpers", answer.helpers.size()},
                      {"forecast_ms", answer.forecast.milliseconds()},
                      {"ask_again_ms", answer.defer_for.milliseconds()},
                      {"calls", dispatcher_.calls()}};
  if (const auto* state = dispatcher_.tracker().Find(answer.endpoint)) {
    fields["endpoint_calls"] = state->OccupiedSlots();
    fields["backlog_ms"] = state->BacklogMs(now);
  }
  state_.log.Write(now, "dispatched", fields);
  return answer;
}

void DispatchClient::Report(const CallProgress& progress) {
  const VmId vm = DispatcherFor(progress.pool);
  if (vm == settings_.vm) {
    const TimePoint now = BootNow();
    OnProgress(now, vm, progress);
    DeliverQueueEvents(now);
  } else if (!vm.empty()) {
    Send(vm, progress);
  }
}

void DispatchClient::OnProgress(TimePoint now, const VmId& vm,
                                const CallProgress& progress) {
  const auto long_pause = dispatcher_.OnProgress(now, vm, progress);
  if (!long_pause) return;
  state_.log.Write(
      now, "long_pause",
      {{"request", progress.request.value()},
       {"endpoint", long_pause->endpoint.value()},
       {"pause_ms", long_pause->pause.milliseconds()},
       {"prefill_ms", static_cast<int64_t>(long_pause->prefill_ms)},
       {"streams", long_pause->streams}});
}

void DispatchClient::ReportPace(TimePoint now) {
  const auto report = [&](EndpointTracker& tracker, bool dispatcher) {
    for (const PaceChange& change : tracker.TakePaceChanges()) {
      const EndpointState* endpoint = tracker.Find(change.endpoint);
      const ServiceName& service = endpoint->listed.service;
      const VmId vm =
          ranked_.contains(service) ? DispatcherFor(service) : VmId();
      if (dispatcher ? vm != settings_.vm : !vm.empty()) continue;
      state_.log.Write(now, "pace",
                       {{"endpoint", change.endpoint.value()},
                        {"allowance", change.now},
                        {"before", change.before},
                        {"slowness", change.slowness},
                        {"reason", ToString(change.reason)},
                        {"by", dispatcher ? "dispatcher" : "this VM"}});
      state_.metrics.Set("zr_gateway_endpoint_pace",
                         {{"endpoint", change.endpoint.value()}},
                         change.now > 0 ? change.now : endpoint->listed.slots);
    }
  };
  report(dispatcher_.tracker(), true);
  report(state_.tracker, false);
}

void DispatchClient::Tick(TimePoint now) {
  dispatcher_.Tick(now);
  ReportPace(now);
  DeliverQueueEvents(now);
  for (const auto& [pool, length] : dispatcher_.QueueLengths()) {
    state_.metrics.Set("zr_gateway_queue_length", {{"pool", pool.value()}},
                       static_cast<double>(length));
  }
  relay_.Tick(
      now, [this](const VmId& vm) { return IsUsable(vm); },
      [this](const VmId& vm, const Message& message) {
        return Send(vm, message);
      });
  const auto send_to_all = [this](const Message& message) {
    for (const VmId& vm : linked_) Send(vm, message);
  };
  const bool is_hub = IsHub();
  state_.suspects->Exchange(now, is_hub, linked_.size(), send_to_all);
  state_.limits->Exchange(now, is_hub, linked_.size(), send_to_all);
  state_.paths->Exchange(
      now, LinkedHubs(),
      [this](const VmId& vm, const Message& message) { Send(vm, message); });
  std::vector<DispatchKey> overdue;
  std::set<VmId> silent;
  for (const auto& [key, pending] : pending_) {
    if (now < pending.deadline) continue;
    overdue.push_back(key);
    if (pending.dispatcher != settings_.vm) silent.insert(pending.dispatcher);
  }
  for (const VmId& vm : silent) {
    state_.log.Write(now, "dispatcher_silent", {{"peer", vm.value()}});
    if (links_) links_->Disconnect(vm);
  }
  for (const DispatchKey& key : overdue) CompleteDispatch(key, std::nullopt);
}

void DispatchClient::CompleteDispatch(const DispatchKey& key,
                                      std::optional<DispatchReply> reply) {
  auto it = pending_.find(key);
  if (it == pending_.end()) return;
  DispatchCallback done = std::move(it->second.done);
  pending_.erase(it);
  done(std::move(reply));
}

bool DispatchClient::Send(const VmId& vm, const Message& message) {
  if (!links_) return false;
  const std::vector<uint8_t> frame = EncodeMessage(message);
  return links_->Send(
      vm, std::string_view(reinterpret_cast<const char*>(frame.data()),
                           frame.size()));
}

void DispatchClient::SendConfigNotices() {
  for (const VmId& vm : linked_) Send(vm, ConfigNotice{config_version_()});
}

//==============================================================================
// Links

void DispatchClient::OnPeerUp(const VmId& vm, Incarnation) {
  linked_.insert(vm);
  if (retired_) Retire();
  const TimePoint now = BootNow();
  state_.log.Write(now, "peer_up", {{"peer", vm.value()}});
  for (const CrashEvidence& evidence : state_.suspects->Snapshot(now)) {
    Send(vm, evidence);
  }
  const LimitReport limits = state_.limits->Snapshot(now);
  if (!limits.observations.empty() || !limits.notices.empty()) Send(vm, limits);
  Send(vm, ConfigNotice{config_version_()});
  UpdateDispatchers();
}

void DispatchClient::OnPeerDown(const VmId& vm) {
  linked_.erase(vm);
  leaving_.erase(vm);
  const TimePoint now = BootNow();
  state_.log.Write(now, "peer_down", {{"peer", vm.value()}});
  dispatcher_.OnVmDown(now, vm);
  DeliverQueueEvents(now);
  UpdateDispatchers();
  std::vector<DispatchKey> lost;
  for (const auto& [key, pending] : pending_) {
    if (pending.dispatcher == vm) lost.push_back(key);
  }
  for (const DispatchKey& key : lost) CompleteDispatch(key, std::nullopt);
}

void DispatchClient::OnLinksRefused(const char* reason, uint64_t count) {
  state_.log.Write(BootNow(), "links_refused",
                   {{"reason", reason}, {"count", count}});
  state_.metrics.Count("zr_link_refusals_total", {{"reason", reason}},
                       static_cast<double>(count));
}

void DispatchClient::OnPeerMessage(const VmId& vm, std::string_view payload) {
  const TimePoint now = BootNow();
  auto message = DecodeMessage(std::span(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size()));
  if (!message) {
    state_.log.Write(
        now, "bad_frame",
        {{"peer", vm.value()}, {"reason", ToString(message.error())}});
    return;
  }
  if (const auto* call = std::get_if<DispatchRequest>(&*message)) {
    Send(vm, Dispatch(now, vm, *call));
    DeliverQueueEvents(now);
  } else if (auto* reply = std::get_if<DispatchReply>(&*message)) {
    OnDispatchReply(now, vm, std::move(*reply));
  } else if (const auto* progress = std::get_if<CallProgress>(&*message)) {
    OnProgress(now, vm, *progress);
    DeliverQueueEvents(now);
  } else if (const auto* calls = std::get_if<InFlightCalls>(&*message)) {
    dispatcher_.OnInFlightCalls(now, vm, *calls);
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
    if (heartbeat->leaving) leaving_.insert(vm);
    UpdateDispatchers();
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    Send(vm, relay_.OnQuery(now, *query));
  } else if (const auto* update = std::get_if<StoreUpdate>(&*message)) {
    relay_.OnUpdate(now, vm, *update);
  } else if (const auto* evidence = std::get_if<CrashEvidence>(&*message)) {
    state_.suspects->OnEvidence(now, vm, *evidence);
  } else if (const auto* limits = std::get_if<LimitReport>(&*message)) {
    state_.limits->OnReport(now, vm, *limits);
  } else if (const auto* paths = std::get_if<PathReport>(&*message)) {
    state_.paths->OnReport(
        now, *paths, linked_,
        [this](const VmId& to, const Message& reply) { Send(to, reply); });
  } else if (const auto* advice = std::get_if<PathAdvice>(&*message)) {
    state_.paths->OnAdvice(now, *advice);
  } else {
    on_config_message_(vm, *message);
  }
}

}  // namespace zr
