#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/store_relay.h"
#include "zr_peer/zr_peer.h"

namespace zr {

/**
 * Asks the dispatcher of a pool where a call goes, and is the dispatcher of
 * the pools that fall to this VM. Keeps links to the few VMs that come first
 * for each pool; the first of them with a link is the dispatcher. Without an
 * answer in time the caller places the call by what this VM knows itself.
 */
class DispatchClient : public PeerLinks::Listener,
                       public std::enable_shared_from_this<DispatchClient> {
 public:
  /** Called once; nothing if no dispatcher answered in time. */
  using PlacedCallback = std::function<void(std::optional<DispatchReply>)>;
  /** This VM's calls in progress in a pool. */
  using HeldCallsSource =
      std::function<std::vector<InFlightCall>(const PoolId&)>;

  DispatchClient(asio::io_context& io, const GatewaySettings& settings,
                 GatewayState& state, HeldCallsSource held_calls);

  //============================================================================
  // Set-up

  /** Opens the links; @returns an error if the address cannot be bound */
  Result<void> Start(const std::string& key);
  bool started() const { return links_ != nullptr; }
  /** The VMs of the deployment, by name, with the addresses of their links. */
  void SetVms(std::map<VmId, std::string> vms);
  /** The pools whose calls are dispatched. */
  void SetPools(std::vector<PoolId> pools);
  /** Leaves dispatching to others; this VM still asks them. */
  void Retire();
  /** Closes the links. */
  void Stop();

  //============================================================================
  // Use

  /** Endpoints with the calls of all VMs, as far as this VM dispatches. */
  PoolDispatcher& dispatcher() { return dispatcher_; }
  /** What VMs tell one another of the store, over the same links. */
  StoreRelay& relay() { return relay_; }
  void Ask(TimePoint now, const DispatchRequest& call, PlacedCallback done);
  void Report(const CallProgress& progress);
  void Tick(TimePoint now);

 private:
  struct Pending {
    VmId asked;
    TimePoint give_up;
    PlacedCallback done;
  };
  using AskKey = std::pair<RequestId, AttemptNumber>;

  // PeerLinks::Listener
  void OnPeerUp(const VmId& vm, Incarnation incarnation) override;
  void OnPeerDown(const VmId& vm) override;
  void OnPeerMessage(const VmId& vm, std::string_view payload) override;

  DispatchReply Dispatch(TimePoint now, const VmId& vm,
                         const DispatchRequest& call);
  void ChooseTargets();
  /** There is a link to the VM, and it is not about to stop. */
  bool Usable(const VmId& vm) const {
    return linked_.contains(vm) && !leaving_.contains(vm);
  }
  VmId DispatcherFor(const PoolId& pool) const;
  void NoteDispatchers();
  bool Send(const VmId& vm, const Message& message);
  void Settle(const AskKey& key, std::optional<DispatchReply> placed);

  asio::io_context& io_;
  const GatewaySettings settings_;
  GatewayState& state_;
  HeldCallsSource held_calls_;
  PoolDispatcher dispatcher_;
  StoreRelay relay_;
  std::shared_ptr<PeerLinks> links_;
  std::map<VmId, std::string> vms_;
  std::vector<PoolId> pools_;
  std::map<PoolId, std::vector<VmId>> ranked_;  // first is preferred
  std::set<VmId> linked_;
  std::set<VmId> leaving_;  // linked, but about to stop
  bool retired_ = false;
  std::map<PoolId, VmId> current_;
  std::map<AskKey, Pending> pending_;
};

}  // namespace zr
