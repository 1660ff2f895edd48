#include "zr_gateway_host/dispatch_client.h"

#include <algorithm>
#include <span>
#include <utility>

#include "zr_wire/zr_wire.h"

namespace zr {
namespace {

// Links are kept to this many VMs for each pool, so that another one takes
// over at once when the dispatcher is lost.
constexpr size_t kRankedVms = 3;
// A dispatcher answers within a round trip of a few milliseconds; a VM that is
// silent for longer is given up and its link is dialled again.
constexpr Duration kAskPatience = Duration::Milliseconds(60);
// Deployments have at least this many VMs, even if fewer are known yet.
constexpr size_t kLeastVms = 8;
// Bytes that wait on a link between entry VMs; configurations are the largest.
constexpr size_t kMaxLinkBytes = 1 << 20;
// Shares of a cold endpoint's rate: the dispatcher's, and that of all VMs
// together which place without it. Two dispatchers at once and the VMs stay
// below one and a half times the rate.
constexpr double kDispatcherColdShare = 0.5;
constexpr double kOwnColdShares = 0.4;

}  // namespace

DispatchClient::DispatchClient(asio::io_context& io,
                               const GatewaySettings& settings,
                               GatewayState& state, HeldCallsSource held_calls)
    : io_(io),
      settings_(settings),
      state_(state),
      held_calls_(std::move(held_calls)),
      dispatcher_(state.placement, Hash64(settings.vm.value())),
      relay_(state) {
  dispatcher_.board().SetColdShare(kDispatcherColdShare);
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

void DispatchClient::SetVms(std::map<VmId, std::string> vms) {
  if (vms == vms_) return;
  vms_ = std::move(vms);
  state_.board.SetColdShare(
      kOwnColdShares /
      static_cast<double>(std::max<size_t>(kLeastVms, vms_.size())));
  ChooseTargets();
}

void DispatchClient::SetPools(std::vector<PoolId> pools) {
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
  NoteDispatchers();
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
  relay_.SetVms(all);
  for (const VmId& vm : relay_.targets()) targets.insert(vms_[vm]);
  for (const PoolId& pool : pools_) {
    std::vector<VmId> vms = RankDispatchers(pool, all, kRankedVms);
    for (const VmId& vm : vms) targets.insert(vms_[vm]);
    ranked_[pool] = std::move(vms);
  }
  links_->SetTargets(std::move(targets));
  NoteDispatchers();
}

VmId DispatchClient::DispatcherFor(const PoolId& pool) const {
  auto it = ranked_.find(pool);
  if (it == ranked_.end()) return VmId();
  for (const VmId& vm : it->second) {
    if (vm == settings_.vm ? !retired_ : Usable(vm)) return vm;
  }
  return VmId();
}

void DispatchClient::NoteDispatchers() {
  const TimePoint now = BootNow();
  for (const PoolId& pool : pools_) {
    const VmId vm = DispatcherFor(pool);
    if (current_[pool] == vm) continue;
    state_.log.Write(now, "dispatcher",
                     {{"pool", pool.value()},
                      {"before", current_[pool].value()},
                      {"now", vm.value()},
                      {"vms", vms_.size()}});
    current_[pool] = vm;
    if (vm.empty()) continue;
    HeldCalls held{pool, held_calls_(pool)};
    if (vm == settings_.vm) {
      dispatcher_.OnHeldCalls(now, vm, held);
    } else {
      Send(vm, held);
    }
  }
}

//==============================================================================
// Use

void DispatchClient::Ask(TimePoint now, const PlaceCall& call,
                         PlacedCallback done) {
  const VmId vm = DispatcherFor(call.pool);
  if (vm.empty() || !state_.config) return done(std::nullopt);
  if (vm == settings_.vm) {
    return done(Dispatch(now, vm, call));
  }
  if (!Send(vm, call)) return done(std::nullopt);
  pending_[{call.request, call.call}] = {vm, now + kAskPatience,
                                         std::move(done)};
}

CallPlaced DispatchClient::Dispatch(TimePoint now, const VmId& vm,
                                    const PlaceCall& call) {
  CallPlaced answer;
  answer.request = call.request;
  answer.call = call.call;
  if (state_.config) {
    answer = dispatcher_.OnPlaceCall(now, vm, *state_.config, call);
  }
  LogFields fields = {{"request", call.request.value()},
                      {"asked_by", vm.value()},
                      {"call", call.call.value()},
                      {"prompt", call.prompt.value()},
                      {"endpoint", answer.endpoint.value()},
                      {"helpers", answer.helpers.size()},
                      {"forecast_ms", answer.forecast.milliseconds()},
                      {"ask_again_ms", answer.ask_again.milliseconds()},
                      {"calls", dispatcher_.calls()}};
  if (const auto* state = dispatcher_.board().Find(answer.endpoint)) {
    fields["endpoint_calls"] = state->Writers();
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
      now, [this](const VmId& vm) { return Usable(vm); },
      [this](const VmId& vm, const Message& m) { return Send(vm, m); });
  std::vector<AskKey> overdue;
  std::set<VmId> silent;
  for (const auto& [key, pending] : pending_) {
    if (now < pending.give_up) continue;
    overdue.push_back(key);
    silent.insert(pending.asked);
  }
  for (const VmId& vm : silent) {
    state_.log.Write(now, "dispatcher_silent", {{"peer", vm.value()}});
    if (links_) links_->Disconnect(vm);
  }
  for (const AskKey& key : overdue) Settle(key, std::nullopt);
}

void DispatchClient::Settle(const AskKey& key,
                            std::optional<CallPlaced> placed) {
  auto it = pending_.find(key);
  if (it == pending_.end()) return;
  PlacedCallback done = std::move(it->second.done);
  pending_.erase(it);
  done(std::move(placed));
}

bool DispatchClient::Send(const VmId& vm, const Message& message) {
  if (!links_) return false;
  const std::vector<uint8_t> frame = EncodeMessage(message);
  return links_->Send(
      vm, std::string_view(reinterpret_cast<const char*>(frame.data()),
                           frame.size()));
}

//==============================================================================
// Links

void DispatchClient::OnPeerUp(const VmId& vm, Incarnation) {
  linked_.insert(vm);
  if (retired_) Retire();
  state_.log.Write(BootNow(), "peer_up", {{"peer", vm.value()}});
  NoteDispatchers();
}

void DispatchClient::OnPeerDown(const VmId& vm) {
  linked_.erase(vm);
  leaving_.erase(vm);
  const TimePoint now = BootNow();
  state_.log.Write(now, "peer_down", {{"peer", vm.value()}});
  dispatcher_.OnVmGone(now, vm);
  NoteDispatchers();
  std::vector<AskKey> lost;
  for (const auto& [key, pending] : pending_) {
    if (pending.asked == vm) lost.push_back(key);
  }
  for (const AskKey& key : lost) Settle(key, std::nullopt);
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
  if (const auto* call = std::get_if<PlaceCall>(&*message)) {
    Send(vm, Dispatch(now, vm, *call));
  } else if (auto* placed = std::get_if<CallPlaced>(&*message)) {
    const AskKey key(placed->request, placed->call);
    Settle(key, std::move(*placed));
  } else if (const auto* progress = std::get_if<CallProgress>(&*message)) {
    dispatcher_.OnProgress(now, vm, *progress);
  } else if (const auto* held = std::get_if<HeldCalls>(&*message)) {
    dispatcher_.OnHeldCalls(now, vm, *held);
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
    if (heartbeat->leaving) leaving_.insert(vm);
    NoteDispatchers();
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    Send(vm, relay_.OnQuery(now, *query));
  } else if (const auto* news = std::get_if<StoreNews>(&*message)) {
    relay_.OnNews(now, vm, *news);
  }
}

}  // namespace zr
