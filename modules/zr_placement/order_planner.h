#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/** What an engine last reported about itself. */
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

/** An order to an engine; the daemon sends it if the lease still allows it. */
struct EngineOrder {
  enum class Kind : uint8_t { kLoadModel, kLoadAdapter, kSetVersion, kSetRole };
  Kind kind = Kind::kLoadModel;
  EndpointId endpoint;
  std::string name;
  FencingNumber fencing;
  friend auto operator<=>(const EngineOrder&, const EngineOrder&) = default;
};

/** Name of the kind in the engine's protocol, for example "load_model". */
std::string_view ToString(EngineOrder::Kind kind);

struct OrderPlannerOptions {
  /** Rate of the weight store and of one load, in bytes/s; their quotient
   * bounds the loads. */
  int64_t weight_store_rate = 0;
  int64_t rate_per_load = 1;
  /** Most endpoints of a pool that may be out of service for reloads, in
   * permille; at least 1. */
  int64_t reload_share_permille = 200;
  /** An order without effect in the reports is given again after this time. */
  Duration order_timeout = Duration::Seconds(120);
  /** Reports older than this are not acted on. */
  Duration report_valid_for = Duration::Seconds(5);
  /** Time for which an order of the last holder may still arrive at an engine.
   */
  Duration recheck_delay = Duration::Seconds(5);
};

/** How far the orders of the current lease holder have come. */
enum class ReconcilePhase : uint8_t {
  kConverging,  // wanted and reported state differ since this VM became the
                // holder
  kRecheck,     // all agreed once; orders of the last holder may still arrive
  kSteady,      // all agreed again, from reports after the recheck time
};

/**
 * Level-triggered orders: compares wanted with reported state and orders the
 * difference, again and again. It keeps no memory of what should have happened
 * besides the loads in progress, so a lost or overwritten order is repeated.
 */
class OrderPlanner {
 public:
  /** @pre the rates are positive and the share is in (0, 1000] */
  explicit OrderPlanner(OrderPlannerOptions options);

  /** Sets the wanted state: pools of kind kModel with their endpoints, and
   * roles by endpoint. */
  void SetWanted(const std::vector<PoolPolicy>& pools,
                 const std::vector<EndpointInfo>& endpoints,
                 const std::map<EndpointId, std::string>& roles = {});

  /** Takes a load report; older ones are ignored. */
  void OnReport(const EngineReport& report);

  /** This VM became the holder of the lease, or got a new fencing number. */
  void OnLease(FencingNumber fencing);

  /** The engine refused the order; it is planned again from the next report. */
  void OnOrderFailed(const EndpointId& endpoint) {
    in_progress_.erase(endpoint);
  }

  /**
   * Orders to send now. Call it with the result of PlacementLease::MayOrder(),
   * and ask that again before each single order.
   */
  std::vector<EngineOrder> Plan(TimePoint now, FencingNumber fencing);

  ReconcilePhase phase() const { return phase_; }
  /** Most loads at the same time that the weight store's rate allows; at
   * least 1. */
  int64_t max_concurrent_loads() const;
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

  bool HasFreshReport(TimePoint now, const EndpointId& endpoint) const;
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
  TimePoint
      recheck_from_;  // reports received before do not count for the recheck
};

}  // namespace zr
