#pragma once

#include <functional>
#include <map>
#include <string>

#include "zr_gateway_host/gateway_format.h"
#include "zr_gateway_host/gateway_state.h"

namespace zr {

/**
 * The reservations of this VM's calls: sends their orders, renews them, and
 * goes on releasing them after their calls have ended. Used on the thread of
 * the io_context.
 */
class ReservationKeeper {
 public:
  /** Called once: all engines hold the memory, or at least one doesn't. */
  using DoneCallback = std::function<void(bool held)>;
  /** Writes an order in the words of the platform. */
  using OrderWriter = std::function<ClientRequest(const MemoryOrder&)>;

  ReservationKeeper(GatewayState& state, Duration ttl, OrderWriter write)
      : state_(state), ttl_(ttl), write_(std::move(write)) {}

  /**
   * Reserves memory at the holders of a plan.
   *
   * @param call  the only one of its name; names the reservations
   */
  void Reserve(TimePoint now, const CallKey& call, const PlacementPlan& plan,
               DoneCallback done);
  /** Ids of a call's reservations, in the order of the plan's holders. */
  static std::string IdAt(const CallKey& call, size_t holder);
  /** The call has ended; nothing if it has no reservation. */
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
  void OnOutcome(const std::string& name, const MemoryOrder& order, int status);
  void NotifyResult(TimePoint now, const std::string& name);

  GatewayState& state_;
  Duration ttl_;
  OrderWriter write_;
  std::map<std::string, Entry> sets_;
};

}  // namespace zr
