#pragma once

#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_placement/zr_placement.h"

namespace zr {

/**
 * Competes for the placement lease while this VM is a lease candidate. The
 * holder polls the loads of the engines at a limited rate and sends the orders
 * of the OrderPlanner. All state is confined to one strand.
 */
class PlacementRunner : public std::enable_shared_from_this<PlacementRunner> {
 public:
  explicit PlacementRunner(NodeContext& context);
  PlacementRunner(const PlacementRunner&) = delete;
  PlacementRunner& operator=(const PlacementRunner&) = delete;

  void Start();
  /** Releases the lease, so that a successor does not have to wait for its
   * expiry. Thread-safe. */
  void Release();
  /** Cancels the timer. Thread-safe. */
  void Stop();

 private:
  void Schedule();
  void Tick();
  void TickLease(TimePoint now);
  void SendLeaseCall(const LeaseCall& call);
  void OnRead(uint64_t id, const StoreReply& reply);
  void OnPut(uint64_t id, const StoreReply& reply);
  void UpdateLease(std::optional<FencingNumber> fencing);
  void UpdateDesiredState(const ClusterSnapshot& snapshot);
  void PollLoads(TimePoint now);
  void PollLoad(const EndpointInfo& info);
  void SendOrders(TimePoint now);
  void SendOrder(const EngineOrder& order, const EndpointInfo& info,
                 FencingNumber fencing);

  NodeContext& context_;
  Strand strand_;
  asio::steady_timer timer_;
  PlacementLease lease_;
  OrderPlanner planner_;
  TimePoint lease_ticks_until_;  // the lease's timers run until then
  std::optional<FencingNumber> fencing_;
  std::shared_ptr<const Environment> environment_;
  std::shared_ptr<const std::map<EndpointId, EndpointInfo>> endpoints_;
  std::deque<EndpointId> poll_order_;
  TokenBucket poll_budget_;
  std::map<EndpointId, TimePoint> last_poll_;
  bool released_ = false;
  bool stopped_ = false;
};

}  // namespace zr
