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
 * Requests the placement of calls from the dispatcher of their pool, and is
 * the dispatcher of the pools for which this VM ranks first. Keeps links to the
 * few highest-ranked VMs of each pool; the first of them with a link is the
 * dispatcher. If it doesn't answer in time, the caller places the call by the
 * load that this VM knows.
 */
class DispatchClient : public PeerLinks::Listener,
                       public std::enable_shared_from_this<DispatchClient> {
 public:
  /** Called once; std::nullopt if no dispatcher answered in time. */
  using DispatchCallback = std::function<void(std::optional<DispatchReply>)>;
  /** This VM's calls in flight in a pool. */
  using InFlightCallsSource =
      std::function<std::vector<InFlightCall>(const PoolId&)>;
  /** Receives what another VM says of configurations. */
  using ConfigHandler =
      std::function<void(const VmId& vm, const Message& message)>;

  DispatchClient(asio::io_context& io, const GatewaySettings& settings,
                 GatewayState& state, InFlightCallsSource in_flight_calls);

  //============================================================================
  // Set-up

  /** @param version  of the configuration in force here, told to each VM that
   * is linked */
  void SetConfigExchange(ConfigHandler handler,
                         std::function<uint64_t()> version) {
    on_config_message_ = std::move(handler);
    config_version_ = std::move(version);
  }
  /** Opens the links; @returns an error if the address cannot be bound */
  Result<void> Start(const std::string& key);
  /** Number of incoming links without a proof of the key. */
  size_t unproved_links() const { return links_ ? links_->unproved() : 0; }
  /** Sets the key of links that are opened from now on. */
  void SetKey(const std::string& key) { links_->SetKey(key); }
  bool started() const { return links_ != nullptr; }
  /** Sets the VMs of the deployment, with the addresses of their links, and the
   * processor shares of the large ones. */
  void SetVms(std::map<VmId, std::string> vms, VmCores cores);
  /** Sets the pools whose calls are dispatched. */
  void SetPools(std::vector<PoolId> pools);
  /** Stops dispatching; other VMs take over and this VM queries them. */
  void Retire();
  /** Closes the links. */
  void Stop();

  //============================================================================
  // Use

  /** Endpoints with the calls of all VMs in the pools of this dispatcher. */
  PoolDispatcher& dispatcher() { return dispatcher_; }
  /** Exchange of store changes between VMs, over the same links. */
  StoreRelay& relay() { return relay_; }
  /** The VM has said that it is about to stop. */
  bool IsLeaving(const VmId& vm) const { return leaving_.contains(vm); }
  /** This VM is the dispatcher of a pool. */
  bool IsDispatcher() const;
  bool Send(const VmId& vm, const Message& message);
  /** Tells all linked VMs the version of the configuration in force here. */
  void SendConfigNotices();
  /** A request that the dispatcher queues is answered when it is granted or
   * refused; if its dispatcher changes meanwhile, the next one is asked. */
  void RequestDispatch(TimePoint now, const DispatchRequest& call,
                       DispatchCallback done);
  /** Gives up a request that has not been answered; its grant is returned. */
  void CancelDispatch(const RequestId& request, AttemptNumber call_number);
  /** Enables the queue of the dispatcher. */
  void SetFairQueue(bool enabled) { dispatcher_.SetFairQueue(enabled); }
  /** Calls that this VM may place by itself in a pool at a time, so that the
   * sum of all VMs stays bounded without a dispatcher; nothing if the service
   * has no queue. */
  std::optional<int> MaxLocalCalls(const GatewayConfig& config,
                                   const ServicePolicy& service) const;
  void Report(const CallProgress& progress);
  void Tick(TimePoint now);

  /** The VM that places the requests of a pool now; empty if none is reached.
   */
  VmId DispatcherFor(const PoolId& pool) const;

 private:
  struct PendingDispatch {
    VmId dispatcher;
    TimePoint deadline;
    DispatchCallback done;
    DispatchRequest call;
    TimePoint asked;      // time to which the durations of `call` refer
    bool queued = false;  // the dispatcher has said that it waits
  };
  using DispatchKey = std::pair<RequestId, AttemptNumber>;

  // PeerLinks::Listener
  void OnPeerUp(const VmId& vm, Incarnation incarnation) override;
  void OnPeerDown(const VmId& vm) override;
  void OnPeerMessage(const VmId& vm, std::string_view payload) override;
  void OnLinksRefused(const char* reason, uint64_t count) override;

  DispatchReply Dispatch(TimePoint now, const VmId& vm,
                         const DispatchRequest& call);
  /** Tells the dispatcher here, and logs pauses that are too long. */
  void OnProgress(TimePoint now, const VmId& vm, const CallProgress& progress);
  void ChooseTargets();
  /** There is a link to the VM, and the VM is not about to stop. */
  bool IsUsable(const VmId& vm) const {
    return linked_.contains(vm) && !leaving_.contains(vm);
  }
  /** Most VMs keep a link to this one. */
  bool IsHub() const;
  /** The VMs of which that is true, as far as there is a link to them. */
  std::set<VmId> LinkedHubs() const;
  void UpdateDispatchers();
  /** Logs changes of what endpoints may get, where this VM places the calls. */
  void ReportPace(TimePoint now);
  void CompleteDispatch(const DispatchKey& key,
                        std::optional<DispatchReply> reply);
  /** Sends the request, or queues it here. */
  void Ask(TimePoint now, const VmId& vm, PendingDispatch pending);
  void OnDispatchReply(TimePoint now, const VmId& vm, DispatchReply reply);
  /** Tells a dispatcher that a request is not waiting, or a grant not used. */
  void ReturnGrant(const VmId& vm, const DispatchRequest& call);
  /** Asks the dispatchers that are now responsible for queued requests. */
  void MoveQueuedRequests(TimePoint now);
  /** Logs what has happened in this dispatcher's queues, and tells the VMs. */
  void DeliverQueueEvents(TimePoint now);
  void LogQueueEvent(TimePoint now, const QueueEvent& event);

  asio::io_context& io_;
  const GatewaySettings settings_;
  GatewayState& state_;
  InFlightCallsSource in_flight_calls_;
  ConfigHandler on_config_message_;
  std::function<uint64_t()> config_version_;
  PoolDispatcher dispatcher_;
  StoreRelay relay_;
  std::shared_ptr<PeerLinks> links_;
  std::map<VmId, std::string> vms_;
  VmCores cores_;
  std::vector<PoolId> pools_;
  std::map<PoolId, std::vector<VmId>> ranked_;  // most preferred first
  std::set<VmId> linked_;
  std::set<VmId> leaving_;  // linked, but about to stop
  bool retired_ = false;
  std::map<PoolId, VmId> current_dispatchers_;
  std::map<DispatchKey, PendingDispatch> pending_;
};

}  // namespace zr
