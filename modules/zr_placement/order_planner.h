#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/** Last state that an engine reported. */
struct EngineReport {
  EndpointId endpoint;
  BootNumber boot;
  std::string model;  // empty: none loaded
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  bool leaving = false;
  TimePoint received_at;
};

/** An order to an engine. The daemon sends it if this VM still holds the lease.
 */
struct EngineOrder {
  enum class Kind : uint8_t { kLoadModel, kLoadAdapter, kSetVersion, kSetRole };
  Kind kind = Kind::kLoadModel;
  EndpointId endpoint;
  std::string name;  // model, adapter, version or role, depending on kind
  FencingNumber fencing;
  friend auto operator<=>(const EngineOrder&, const EngineOrder&) = default;
};

/** Name of the kind in the engine's protocol, for example "load_model". */
std::string_view ToString(EngineOrder::Kind kind);

struct OrderPlannerOptions {
  /** Throughput of the weight store and of one load, in bytes/s. Their quotient
   * limits the number of concurrent loads. */
  int64_t weight_store_rate = 0;
  int64_t rate_per_load = 1;
  /** Largest share of a pool's endpoints that may be out of service for
   * reloads, in permille; at least one endpoint. */
  int64_t reload_share_permille = 200;
  /** An order whose effect is not reported within this time is sent again. */
  Duration order_timeout = Duration::Seconds(120);
  /** Older reports are stale and cause no orders. */
  Duration report_max_age = Duration::Seconds(5);
  /** Time for which an order of the previous lease holder may still arrive at
   * an engine. */
  Duration recheck_delay = Duration::Seconds(5);
};

/** Progress of reconciliation under the current lease holder. */
enum class ReconcilePhase : uint8_t {
  kConverging,  // desired and reported state have not matched yet since this VM
                // became the holder, or differ again
  kRecheck,     // all matched once; orders of the previous holder may still
                // arrive
  kSteady,      // all matched again, in reports from after the recheck time
};

/**
 * Level-triggered reconciliation: repeatedly compares the desired state with
 * the reported state and plans orders for the difference. The only history that
 * it keeps is the orders in progress, so a lost or overwritten order is
 * repeated.
 */
class OrderPlanner {
 public:
  /** @pre the rates are positive and the share is in (0, 1000] */
  explicit OrderPlanner(OrderPlannerOptions options);

  /** Sets the desired state: pools of kind kModel with their endpoints, and
   * roles by endpoint. */
  void SetDesiredState(const std::vector<PoolPolicy>& pools,
                       const std::vector<EndpointInfo>& endpoints,
                       const std::map<EndpointId, std::string>& roles = {});

  /** Processes a load report; reports older than the latest one are ignored. */
  void OnReport(const EngineReport& report);

  /** This VM acquired the lease or received a new fencing number. */
  void OnLeaseAcquired(FencingNumber fencing);

  /** The order was rejected or not sent. It is planned again from the next
   * report. */
  void OnOrderFailed(const EndpointId& endpoint) {
    in_progress_.erase(endpoint);
  }

  /**
   * Returns the orders to send now. The fencing number comes from
   * PlacementLease::CurrentFencing(), which must be called again before each
   * order is sent.
   */
  std::vector<EngineOrder> Plan(TimePoint now, FencingNumber fencing);

  ReconcilePhase phase() const { return phase_; }
  /** Number of concurrent loads that the weight store's throughput allows; at
   * least 1. */
  int64_t max_loads() const;
  size_t orders_in_progress() const { return in_progress_.size(); }

 private:
  struct PendingOrder {
    EngineOrder order;
    TimePoint ordered_at;
    BootNumber boot;
  };
  struct DesiredState {
    PoolPolicy pool;
    std::string role;
  };

  bool IsFresh(TimePoint now, const EndpointId& endpoint) const;
  std::optional<EngineOrder> NextOrder(const EndpointId& endpoint) const;
  void DropFinished(TimePoint now);
  bool TakesOutOfService(const EngineOrder& order) const;
  std::map<PoolId, int64_t> CountOutOfService(TimePoint now) const;
  void AdvancePhase(TimePoint now, bool all_agree);

  OrderPlannerOptions options_;
  std::map<EndpointId, DesiredState> desired_;
  std::map<PoolId, int64_t> pool_size_;
  std::map<EndpointId, EngineReport> reports_;
  std::map<EndpointId, PendingOrder> in_progress_;
  FencingNumber fencing_;
  ReconcilePhase phase_ = ReconcilePhase::kConverging;
  TimePoint recheck_from_;  // earlier reports do not count for the recheck
};

}  // namespace zr
