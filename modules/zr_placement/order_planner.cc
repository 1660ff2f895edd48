#include "zr_placement/order_planner.h"

#include <algorithm>
#include <utility>

namespace zr {

std::string_view ToString(EngineOrder::Kind kind) {
  switch (kind) {
    case EngineOrder::Kind::kLoadModel:
      return "load_model";
    case EngineOrder::Kind::kLoadAdapter:
      return "load_adapter";
    case EngineOrder::Kind::kSetVersion:
      return "set_version";
    case EngineOrder::Kind::kSetRole:
      return "set_role";
  }
  return "unknown";
}

OrderPlanner::OrderPlanner(OrderPlannerOptions options) : options_(options) {
  ZR_ASSERT(options_.rate_per_load > 0, "the rate of a load must be positive");
  ZR_ASSERT(options_.reload_share_permille > 0 &&
                options_.reload_share_permille <= 1000,
            "the reload share must be in (0, 1000] permille");
}

int64_t OrderPlanner::max_loads() const {
  return std::max<int64_t>(1,
                           options_.weight_store_rate / options_.rate_per_load);
}

// -----------------------------------------------------------------------------
// Input

void OrderPlanner::SetDesiredState(
    const std::vector<PoolPolicy>& pools,
    const std::vector<EndpointInfo>& endpoints,
    const std::map<EndpointId, std::string>& roles) {
  desired_.clear();
  pool_size_.clear();
  for (const EndpointInfo& endpoint : endpoints) {
    const auto pool =
        std::find_if(pools.begin(), pools.end(), [&](const PoolPolicy& policy) {
          return policy.pool == endpoint.pool &&
                 policy.kind == PoolKind::kModel;
        });
    if (pool == pools.end()) continue;
    const auto role = roles.find(endpoint.endpoint);
    desired_[endpoint.endpoint] = {*pool,
                                   role == roles.end() ? "" : role->second};
    ++pool_size_[endpoint.pool];
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return !desired_.contains(entry.first);
  });
  std::erase_if(in_progress_, [&](const auto& entry) {
    return !desired_.contains(entry.first);
  });
}

void OrderPlanner::OnReport(const EngineReport& report) {
  EngineReport& latest = reports_[report.endpoint];
  if (report.received_at >= latest.received_at) latest = report;
}

void OrderPlanner::OnLeaseAcquired(FencingNumber fencing) {
  if (fencing == fencing_) return;
  fencing_ = fencing;
  in_progress_.clear();
  phase_ = ReconcilePhase::kConverging;
}

// -----------------------------------------------------------------------------
// Planning

std::vector<EngineOrder> OrderPlanner::Plan(TimePoint now,
                                            FencingNumber fencing) {
  OnLeaseAcquired(fencing);
  DropFinished(now);
  std::map<PoolId, int64_t> out_of_service = CountOutOfService(now);
  std::vector<EngineOrder> orders;
  bool all_agree = true;
  for (const auto& [endpoint, desired] : desired_) {
    if (!IsFresh(now, endpoint) || reports_.at(endpoint).leaving) continue;
    std::optional<EngineOrder> order = NextOrder(endpoint);
    if (!order) continue;
    all_agree = false;
    if (in_progress_.contains(endpoint)) continue;
    if (static_cast<int64_t>(in_progress_.size()) >= max_loads()) continue;
    if (TakesOutOfService(*order)) {
      const PoolId& pool = desired.pool.pool;
      const int64_t allowed = std::max<int64_t>(
          1, pool_size_[pool] * options_.reload_share_permille / 1000);
      if (out_of_service[pool] >= allowed) continue;
      ++out_of_service[pool];
    }
    order->fencing = fencing;
    in_progress_[endpoint] = {*order, now, reports_.at(endpoint).boot};
    orders.push_back(std::move(*order));
  }
  AdvancePhase(now, all_agree && in_progress_.empty());
  return orders;
}

bool OrderPlanner::IsFresh(TimePoint now, const EndpointId& endpoint) const {
  const auto report = reports_.find(endpoint);
  return report != reports_.end() &&
         now - report->second.received_at <= options_.report_max_age;
}

/** Next order that moves the reported state towards the desired state. */
std::optional<EngineOrder> OrderPlanner::NextOrder(
    const EndpointId& endpoint) const {
  using enum EngineOrder::Kind;
  const DesiredState& desired = desired_.at(endpoint);
  const EngineReport& report = reports_.at(endpoint);
  if (report.model != desired.pool.model) {
    return EngineOrder{kLoadModel, endpoint, desired.pool.model, {}};
  }
  if (!desired.pool.version.empty() && report.version != desired.pool.version) {
    return EngineOrder{kSetVersion, endpoint, desired.pool.version, {}};
  }
  for (const std::string& adapter : desired.pool.adapters) {
    if (std::find(report.adapters.begin(), report.adapters.end(), adapter) ==
        report.adapters.end()) {
      return EngineOrder{kLoadAdapter, endpoint, adapter, {}};
    }
  }
  if (!desired.role.empty() && report.role != desired.role) {
    return EngineOrder{kSetRole, endpoint, desired.role, {}};
  }
  return std::nullopt;
}

/** An order is finished when a later report shows its effect or a new boot, or
 * when it times out. */
void OrderPlanner::DropFinished(TimePoint now) {
  std::erase_if(in_progress_, [&](const auto& entry) {
    const PendingOrder& pending = entry.second;
    if (now - pending.ordered_at > options_.order_timeout) return true;
    const auto report = reports_.find(entry.first);
    if (report == reports_.end() ||
        report->second.received_at <= pending.ordered_at) {
      return false;
    }
    if (report->second.boot != pending.boot) return true;
    const auto next = NextOrder(entry.first);
    return !next || next->kind != pending.order.kind ||
           next->name != pending.order.name;
  });
}

/** An engine without a model serves no requests, so loading a model there takes
 * nothing out of service. */
bool OrderPlanner::TakesOutOfService(const EngineOrder& order) const {
  if (order.kind == EngineOrder::Kind::kLoadAdapter) return false;
  return !reports_.at(order.endpoint).model.empty();
}

std::map<PoolId, int64_t> OrderPlanner::CountOutOfService(TimePoint now) const {
  std::map<PoolId, int64_t> count;
  for (const auto& [endpoint, desired] : desired_) {
    const auto pending = in_progress_.find(endpoint);
    const bool reloading =
        pending != in_progress_.end() &&
        pending->second.order.kind != EngineOrder::Kind::kLoadAdapter;
    const bool serving = IsFresh(now, endpoint) &&
                         !reports_.at(endpoint).leaving &&
                         !reports_.at(endpoint).model.empty() && !reloading;
    if (!serving) ++count[desired.pool.pool];
  }
  return count;
}

/**
 * Engines that ignore fencing may execute a late order of the previous lease
 * holder. After all engines have matched the desired state once, they must
 * match it again in reports from after the time within which such an order can
 * arrive.
 */
void OrderPlanner::AdvancePhase(TimePoint now, bool all_agree) {
  if (!all_agree) {
    phase_ = ReconcilePhase::kConverging;
    return;
  }
  if (phase_ == ReconcilePhase::kConverging) {
    phase_ = ReconcilePhase::kRecheck;
    recheck_from_ = now + options_.recheck_delay;
    return;
  }
  if (phase_ != ReconcilePhase::kRecheck) return;
  for (const auto& [endpoint, desired] : desired_) {
    const auto report = reports_.find(endpoint);
    const bool rechecked = !IsFresh(now, endpoint) || report->second.leaving ||
                           report->second.received_at >= recheck_from_;
    if (!rechecked) return;
  }
  if (now >= recheck_from_) phase_ = ReconcilePhase::kSteady;
}

}  // namespace zr
