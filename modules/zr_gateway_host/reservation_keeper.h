#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "zr_gateway_host/gateway_format.h"
#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/path_exchange.h"

namespace zr {

/**
 * Keeps the memory reservations of this VM's calls: sends the orders to the
 * engines, renews reservations, and repeats releases after a call has ended.
 * Used on the thread of the io_context.
 */
class ReservationKeeper {
 public:
  /** Called once; `held` is false if any engine doesn't hold the memory. */
  using DoneCallback = std::function<void(bool held)>;
  /** Encodes an order in the wire format of the platform. */
  using OrderWriter = std::function<ClientRequest(const MemoryOrder&)>;

  ReservationKeeper(GatewayState& state, Duration ttl, OrderWriter write)
      : state_(state), ttl_(ttl), write_(std::move(write)) {}

  /**
   * Reserves memory at the holders of a plan.
   *
   * @param call  unique among all calls; names the reservations
   */
  void Reserve(TimePoint now, const CallKey& call, const PlacementPlan& plan,
               DoneCallback done);
  /** Id of a call's reservation at one of the plan's holders. */
  static std::string IdAt(const CallKey& call, size_t holder);
  /** Releases the reservations of a call, if it has any. */
  void Release(TimePoint now, const CallKey& call);
  void Tick(TimePoint now);

  size_t size() const { return sets_.size(); }

 private:
  struct Entry {
    ReservationSet set;
    RequestId request;
    DoneCallback done;  // null once called
  };

  static std::string Name(const CallKey& call);
  void Send(const std::string& name, const ReservationSet::Orders& orders);
  std::optional<TunnelVm> TunnelVmFor(const EndpointId& endpoint) const;
  void OnOutcome(const std::string& name, const MemoryOrder& order, int status);
  /** Calls the callback once the result is known; erases ended sets. */
  void NotifyResult(TimePoint now, const std::string& name);

  GatewayState& state_;
  Duration ttl_;
  OrderWriter write_;
  std::map<std::string, Entry> sets_;
};

}  // namespace zr
