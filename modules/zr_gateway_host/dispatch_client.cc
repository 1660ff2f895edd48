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
}

Result<void> DispatchClient::Start(const std::string& key) {
  PeerOptions options;
  options.self = settings_.vm;
  options.incarnation = Incarnation(
      static_cast<uint64_t>(std::max<int64_t>(1, BootNow().microseconds())));
  options.listen_address = settings_.peers_address;
  options.key = key;
  options.max_buffered_bytes = kMaxLinkBytes;
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
    current_dispatchers_[pool] = vm;
    if (vm.empty()) continue;
    InFlightCalls calls{pool, in_flight_calls_(pool)};
    if (vm == settings_.vm) {
      dispatcher_.tracker().RestartLimits(now);
      dispatcher_.OnInFlightCalls(now, vm, calls);
    } else {
      Send(vm, calls);
    }
  }
}

//==============================================================================
// Use

void DispatchClient::RequestDispatch(TimePoint now, const DispatchRequest& call,
                                     DispatchCallback done) {
  const VmId vm = DispatcherFor(call.pool);
  if (vm.empty() || !state_.config) return done(std::nullopt);
  if (vm == settings_.vm) {
    return done(Dispatch(now, vm, call));
  }
  if (!Send(vm, call)) return done(std::nullopt);
  pending_[{call.request, call.call_number}] = {vm, now + kDispatchTimeout,
                                                std::move(done)};
}

DispatchReply DispatchClient::Dispatch(TimePoint now, const VmId& vm,
                                       const DispatchRequest& call) {
  DispatchReply answer;
  answer.request = call.request;
  answer.call_number = call.call_number;
  if (state_.config) {
    answer = dispatcher_.OnDispatchRequest(now, vm, *state_.config, call);
  }
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
    dispatcher_.OnProgress(BootNow(), vm, progress);
  } else if (!vm.empty()) {
    Send(vm, progress);
  }
}

void DispatchClient::Tick(TimePoint now) {
  dispatcher_.Tick(now);
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
    silent.insert(pending.dispatcher);
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
  UpdateDispatchers();
  std::vector<DispatchKey> lost;
  for (const auto& [key, pending] : pending_) {
    if (pending.dispatcher == vm) lost.push_back(key);
  }
  for (const DispatchKey& key : lost) CompleteDispatch(key, std::nullopt);
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
  } else if (auto* reply = std::get_if<DispatchReply>(&*message)) {
    const DispatchKey key(reply->request, reply->call_number);
    CompleteDispatch(key, std::move(*reply));
  } else if (const auto* progress = std::get_if<CallProgress>(&*message)) {
    dispatcher_.OnProgress(now, vm, *progress);
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
