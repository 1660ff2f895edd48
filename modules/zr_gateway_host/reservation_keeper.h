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
  /** Called once at most, if no engine has begun to use the memory in time. */
  using IdleCallback = std::function<void()>;

  /** The platform's wire format of what is said of reservations. */
  struct Codec {
    std::function<ClientRequest(const MemoryOrder&)> write_order;
    std::function<ClientRequest(const PlacedEndpoint&)> write_use_query;
    /** @param id  of the reservation */
    std::function<ReservationUse(const ClientResponse&, const std::string& id)>
        read_use;
  };

  /** Copies the times of the settings, which therefore hold until the end of
   * the process. */
  ReservationKeeper(GatewayState& state, const GatewaySettings& settings,
                    Codec codec)
      : state_(state),
        ttl_(settings.reservation_ttl),
        max_idle_(settings.reservation_max_idle),
        codec_(std::move(codec)) {}

  /**
   * Reserves memory at the holders of a plan.
   *
   * @param call  unique among all calls; names the reservations
   */
  void Reserve(TimePoint now, const CallKey& call, const PlacementPlan& plan,
               DoneCallback done, IdleCallback on_idle);
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
    DoneCallback done;     // null once called
    IdleCallback on_idle;  // null once called
  };

  static std::string Name(const CallKey& call);
  void Send(const std::string& name, const ReservationSet::Orders& orders);
  /** Asks the first engine whether a request uses the memory. */
  void QueryUse(const std::string& name);
  void OnUse(const std::string& name, ReservationUse use);
  /** Sends a request to an engine, through another VM if own paths are lost; on
   * a new connection if the engine has dropped the one that was kept.
   * @param on_sent_again  called in that case; may be null */
  void Fetch(
      const EndpointId& endpoint, ClientRequest request,
      std::function<void(tl::expected<ClientResponse, ClientFailure>)> done,
      std::function<void()> on_sent_again = nullptr);
  std::optional<TunnelVm> TunnelVmFor(const EndpointId& endpoint) const;
  void OnOutcome(const std::string& name, const MemoryOrder& order, int status);
  void OnSentAgain(const std::string& name, const MemoryOrder& order);
  /** Calls the callback once the result is known; erases ended sets. */
  void NotifyResult(TimePoint now, const std::string& name);

  GatewayState& state_;
  const Duration ttl_;
  const Duration max_idle_;
  const Codec codec_;
  std::map<std::string, Entry> sets_;
};

}  // namespace zr
