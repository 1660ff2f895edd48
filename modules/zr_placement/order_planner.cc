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

int64_t OrderPlanner::load_limit() const {
  return std::max<int64_t>(1,
                           options_.weight_store_rate / options_.rate_per_load);
}

// -----------------------------------------------------------------------------
// Input

void OrderPlanner::SetWanted(const std::vector<PoolPolicy>& pools,
                             const std::vector<EndpointInfo>& endpoints,
                             const std::map<EndpointId, std::string>& roles) {
  wanted_.clear();
  pool_size_.clear();
  for (const EndpointInfo& endpoint : endpoints) {
    const auto pool =
        std::find_if(pools.begin(), pools.end(), [&](const PoolPolicy& policy) {
          return policy.pool == endpoint.pool &&
                 policy.kind == PoolKind::kModel;
        });
    if (pool == pools.end()) continue;
    const auto role = roles.find(endpoint.endpoint);
    wanted_[endpoint.endpoint] = {*pool,
                                  role == roles.end() ? "" : role->second};
    ++pool_size_[endpoint.pool];
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return !wanted_.contains(entry.first);
  });
  std::erase_if(in_progress_, [&](const auto& entry) {
    return !wanted_.contains(entry.first);
  });
}

void OrderPlanner::OnReport(const EngineReport& report) {
  EngineReport& held = reports_[report.endpoint];
  if (report.received_at >= held.received_at) held = report;
}

void OrderPlanner::OnLease(FencingNumber fencing) {
  if (fencing == fencing_) return;
  fencing_ = fencing;
  in_progress_.clear();
  phase_ = ReconcilePhase::kFirstRound;
}

// -----------------------------------------------------------------------------
// Planning

std::vector<EngineOrder> OrderPlanner::Plan(TimePoint now,
                                            FencingNumber fencing) {
  OnLease(fencing);
  DropFinished(now);
  std::map<PoolId, int64_t> out_of_service = CountOutOfService(now);
  std::vector<EngineOrder> orders;
  bool all_agree = true;
  for (const auto& [endpoint, target] : wanted_) {
    if (!Fresh(now, endpoint) || reports_.at(endpoint).leaving) continue;
    std::optional<EngineOrder> order = Difference(endpoint);
    if (!order) continue;
    all_agree = false;
    if (in_progress_.contains(endpoint)) continue;
    if (static_cast<int64_t>(in_progress_.size()) >= load_limit()) continue;
    if (TakesOutOfService(*order)) {
      const PoolId& pool = target.pool.pool;
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

bool OrderPlanner::Fresh(TimePoint now, const EndpointId& endpoint) const {
  const auto report = reports_.find(endpoint);
  return report != reports_.end() &&
         now - report->second.received_at <= options_.report_valid_for;
}

/** The first order that brings the reported state nearer to the wanted one. */
std::optional<EngineOrder> OrderPlanner::Difference(
    const EndpointId& endpoint) const {
  using enum EngineOrder::Kind;
  const Target& target = wanted_.at(endpoint);
  const EngineReport& report = reports_.at(endpoint);
  if (report.model != target.pool.model) {
    return EngineOrder{kLoadModel, endpoint, target.pool.model, {}};
  }
  if (!target.pool.version.empty() && report.version != target.pool.version) {
    return EngineOrder{kSetVersion, endpoint, target.pool.version, {}};
  }
  for (const std::string& adapter : target.pool.adapters) {
    if (std::find(report.adapters.begin(), report.adapters.end(), adapter) ==
        report.adapters.end()) {
      return EngineOrder{kLoadAdapter, endpoint, adapter, {}};
    }
  }
  if (!target.role.empty() && report.role != target.role) {
    return EngineOrder{kSetRole, endpoint, target.role, {}};
  }
  return std::nullopt;
}

/** An order is finished when a later report shows its effect, a new boot, or
 * nothing in time. */
void OrderPlanner::DropFinished(TimePoint now) {
  std::erase_if(in_progress_, [&](const auto& entry) {
    const Progress& progress = entry.second;
    if (now - progress.ordered_at > options_.order_timeout) return true;
    const auto report = reports_.find(entry.first);
    if (report == reports_.end() ||
        report->second.received_at <= progress.ordered_at) {
      return false;
    }
    if (report->second.boot != progress.boot) return true;
    const auto next = Difference(entry.first);
    return !next || next->kind != progress.order.kind ||
           next->name != progress.order.name;
  });
}

/** An engine without a model serves nothing, so loading one there costs no
 * service. */
bool OrderPlanner::TakesOutOfService(const EngineOrder& order) const {
  if (order.kind == EngineOrder::Kind::kLoadAdapter) return false;
  return !reports_.at(order.endpoint).model.empty();
}

std::map<PoolId, int64_t> OrderPlanner::CountOutOfService(TimePoint now) const {
  std::map<PoolId, int64_t> count;
  for (const auto& [endpoint, target] : wanted_) {
    const auto progress = in_progress_.find(endpoint);
    const bool reloading =
        progress != in_progress_.end() &&
        progress->second.order.kind != EngineOrder::Kind::kLoadAdapter;
    const bool serving = Fresh(now, endpoint) &&
                         !reports_.at(endpoint).leaving &&
                         !reports_.at(endpoint).model.empty() && !reloading;
    if (!serving) ++count[target.pool.pool];
  }
  return count;
}

/**
 * Engines that ignore fencing may carry out a late order of the last holder.
 * After the first agreement all engines must agree once more, in reports from
 * after the time in which such an order can arrive.
 */
void OrderPlanner::AdvancePhase(TimePoint now, bool all_agree) {
  if (!all_agree) {
    phase_ = ReconcilePhase::kFirstRound;
    return;
  }
  if (phase_ == ReconcilePhase::kFirstRound) {
    phase_ = ReconcilePhase::kRecheck;
    recheck_from_ = now + options_.recheck_after;
    return;
  }
  if (phase_ != ReconcilePhase::kRecheck) return;
  for (const auto& [endpoint, target] : wanted_) {
    const auto report = reports_.find(endpoint);
    const bool rechecked = !Fresh(now, endpoint) || report->second.leaving ||
                           report->second.received_at >= recheck_from_;
    if (!rechecked) return;
  }
  if (now >= recheck_from_) phase_ = ReconcilePhase::kSteady;
}

}  // namespace zr
