#include "zr_daemon/control/placement_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "zr_daemon/control/lease_codec.h"
#include "zr_daemon/endpoint/engine_codec.h"

namespace zr {
namespace {

constexpr Duration kTickPeriod = Duration::Milliseconds(500);
// Of one engine, as far as kPollsPerSecond allows.
constexpr Duration kPollPeriod = Duration::Seconds(3);
constexpr double kPollsPerSecond = 40;
// A VM that is no longer a candidate still runs the lease for this long, which
// covers its release and a retry after a lost reply.
constexpr Duration kReleaseWindow = Duration::Seconds(20);
// Both below the lease's margin, which bounds the time that an order is in
// flight.
constexpr Duration kConnectTimeout = Duration::Milliseconds(700);
constexpr Duration kOrderTimeout = Duration::Seconds(2);
constexpr size_t kMaxLoadBytes = size_t{256} << 10;
constexpr const char* kLeaseKind = "leases";
constexpr const char* kLeaseName = "placement";

PlacementLease MakeLease(const NodeContext& context) {
  PlacementLeaseOptions options;
  options.self = context.settings.vm;
  options.incarnation = context.incarnation;
  auto lease = PlacementLease::Create(options);
  ZR_ASSERT(lease.has_value(), "the lease's default periods are valid");
  return std::move(*lease);
}

OrderPlannerOptions PlannerOptions() {
  OrderPlannerOptions options;
  // Four weight loads in parallel.
  options.weight_store_rate = 4;
  options.rate_per_load = 1;
  // Three poll periods, so that one lost report does not delay orders.
  options.report_max_age = kPollPeriod * 3;
  return options;
}

}  // namespace

PlacementRunner::PlacementRunner(NodeContext& context)
    : context_(context),
      strand_(asio::make_strand(context.io)),
      timer_(strand_),
      lease_(MakeLease(context)),
      planner_(PlannerOptions()),
      poll_budget_(kPollsPerSecond, kPollsPerSecond * 0.5) {}

void PlacementRunner::Start() {
  asio::post(strand_, [self = shared_from_this()] { self->Schedule(); });
}

void PlacementRunner::Release() {
  asio::post(strand_, [self = shared_from_this()] {
    self->released_ = true;
    self->Tick();
  });
}

void PlacementRunner::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    self->timer_.cancel();
  });
}

void PlacementRunner::Schedule() {
  if (stopped_) return;
  timer_.expires_after(std::chrono::microseconds(kTickPeriod.microseconds()));
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (!self || error) return;
    self->Tick();
    self->Schedule();
  });
}

void PlacementRunner::Tick() {
  const TimePoint now = SteadyNow();
  const auto snapshot = context_.cluster->Get();
  const auto candidates = LeaseCandidates(*snapshot->view);
  const bool candidate = !released_ && snapshot->Ready() &&
                         std::find(candidates.begin(), candidates.end(),
                                   context_.settings.vm) != candidates.end();
  lease_.SetCandidate(candidate);
  if (candidate) lease_ticks_until_ = now + kReleaseWindow;
  // VMs that are not candidates don't access the lease object, which bounds the
  // store reads of a large fleet.
  if (now < lease_ticks_until_) TickLease(now);
  UpdateLease(lease_.CurrentFencing(now));
  if (!fencing_) return;
  UpdateDesiredState(*snapshot);
  PollLoads(now);
  SendOrders(now);
}

//==============================================================================
// Lease

void PlacementRunner::TickLease(TimePoint now) {
  if (auto call = lease_.OnTick(now)) SendLeaseCall(*call);
}

void PlacementRunner::SendLeaseCall(const LeaseCall& call) {
  auto reply = [self = shared_from_this(), kind = call.kind,
                id = call.id](const StoreReply& reply) {
    asio::post(self->strand_, [self, kind, id, reply] {
      if (kind == LeaseCall::Kind::kRead) {
        self->OnRead(id, reply);
      } else {
        self->OnPut(id, reply);
      }
    });
  };
  if (call.kind == LeaseCall::Kind::kRead) {
    context_.store->Get(StorePurpose::kLease, kLeaseKind, kLeaseName,
                        std::move(reply));
  } else {
    context_.store->Put(StorePurpose::kLease, kLeaseKind, kLeaseName,
                        call.expected, EncodeLease(call.value),
                        std::move(reply));
  }
}

void PlacementRunner::OnRead(uint64_t id, const StoreReply& reply) {
  std::optional<LeaseObject> object;
  if (reply.status == StoreStatus::kNotFound) {
    object.emplace();
  } else if (reply.status == StoreStatus::kOk && reply.version.value() > 0) {
    auto value = DecodeLease(reply.value);
    if (value) {
      object = LeaseObject{reply.version, std::move(*value)};
    } else {
      Log(LogLevel::kError, "placement", value.error());
    }
  }
  const TimePoint now = SteadyNow();
  lease_.OnRead(now, id, object);
  if (object) TickLease(now);
}

void PlacementRunner::OnPut(uint64_t id, const StoreReply& reply) {
  LeasePutReply put_reply;
  if (reply.status == StoreStatus::kOk && reply.version.value() > 0) {
    put_reply.status = LeasePutReply::Status::kWritten;
    put_reply.version = reply.version;
  } else if (reply.status == StoreStatus::kConflict ||
             reply.status == StoreStatus::kNotFound) {
    put_reply.status = LeasePutReply::Status::kConflict;
  }
  const TimePoint now = SteadyNow();
  lease_.OnPut(now, id, put_reply);
  UpdateLease(lease_.CurrentFencing(now));
}

void PlacementRunner::UpdateLease(std::optional<FencingNumber> fencing) {
  if (fencing == fencing_) return;
  fencing_ = fencing;
  context_.metrics.Set("zr_placement_lease_held", {}, fencing ? 1 : 0);
  if (!fencing) {
    return Log(LogLevel::kInfo, "placement",
               "The placement lease is no longer held.");
  }
  planner_.OnLeaseAcquired(*fencing);
  Log(LogLevel::kInfo, "placement",
      "Holding the placement lease with fencing number " +
          std::to_string(fencing->value()) + ".");
}

//==============================================================================
// Orders

void PlacementRunner::UpdateDesiredState(const ClusterSnapshot& snapshot) {
  if (environment_ == snapshot.environment &&
      endpoints_ == snapshot.endpoints) {
    return;
  }
  environment_ = snapshot.environment;
  endpoints_ = snapshot.endpoints;
  std::vector<PoolPolicy> pools;
  for (const auto& [id, pool] : environment_->pools()) {
    if (pool.kind == PoolKind::kModel) pools.push_back(pool);
  }
  std::vector<EndpointInfo> endpoints;
  poll_order_.clear();
  for (const auto& [id, info] : *endpoints_) {
    const PoolPolicy* pool = environment_->FindPool(info.pool);
    if (pool == nullptr || pool->kind != PoolKind::kModel) continue;
    endpoints.push_back(info);
    poll_order_.push_back(id);
  }
  std::erase_if(last_poll_, [this](const auto& entry) {
    return !endpoints_->contains(entry.first);
  });
  planner_.SetDesiredState(pools, endpoints);
}

void PlacementRunner::PollLoads(TimePoint now) {
  // The endpoint at the front has waited longest since its last poll.
  while (!poll_order_.empty()) {
    const EndpointId endpoint = poll_order_.front();
    auto last = last_poll_.find(endpoint);
    if (last != last_poll_.end() && now - last->second < kPollPeriod) return;
    if (!poll_budget_.TryTake(now)) return;
    poll_order_.pop_front();
    poll_order_.push_back(endpoint);
    last_poll_[endpoint] = now;
    PollLoad(endpoints_->at(endpoint));
  }
}

void PlacementRunner::PollLoad(const EndpointInfo& info) {
  ClientRequest request;
  request.url = "http://" + info.address + "/engine/load";
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kOrderTimeout;
  context_.http->Fetch(
      std::move(request), kMaxLoadBytes,
      // The age of the report counts from the time the poll was sent.
      [self = shared_from_this(), endpoint = info.endpoint,
       sent_at = SteadyNow()](auto result) {
        if (!result || result->status != 200) return;
        auto load = ParseEngineLoad(result->body);
        if (!load) return;
        EngineReport report{endpoint,      load->boot,     load->model,
                            load->version, load->adapters, load->role,
                            load->leaving, sent_at};
        asio::post(self->strand_,
                   [self, report] { self->planner_.OnReport(report); });
      });
}

void PlacementRunner::SendOrders(TimePoint now) {
  for (const EngineOrder& order : planner_.Plan(now, *fencing_)) {
    const auto info = endpoints_->find(order.endpoint);
    const auto fencing = lease_.CurrentFencing(SteadyNow());
    if (info == endpoints_->end() || !fencing || *fencing != order.fencing) {
      planner_.OnOrderFailed(order.endpoint);
      continue;
    }
    SendOrder(order, info->second, *fencing);
  }
}

void PlacementRunner::SendOrder(const EngineOrder& order,
                                const EndpointInfo& info,
                                FencingNumber fencing) {
  const std::string text = std::string(ToString(order.kind)) + " " +
                           order.name + " to " + order.endpoint.value() +
                           " with fencing number " +
                           std::to_string(fencing.value());
  Log(LogLevel::kInfo, "placement", "Ordering " + text + ".");
  context_.metrics.Count("zr_orders_total",
                         {{"kind", std::string(ToString(order.kind))}});
  const nlohmann::json body = {{"fencing", fencing.value()},
                               {"kind", ToString(order.kind)},
                               {"name", order.name}};
  ClientRequest request;
  request.method = "POST";
  request.url = "http://" + info.address + "/engine/orders";
  request.headers["content-type"] = "application/json";
  request.body = body.dump();
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kOrderTimeout;
  request.fresh_connection = true;
  context_.http->Fetch(
      std::move(request), kMaxLoadBytes,
      [self = shared_from_this(), endpoint = order.endpoint,
       text](auto result) {
        if (result && result->status >= 200 && result->status < 300) return;
        const std::string reason =
            result ? "status " + std::to_string(result->status)
                   : result.error().error.message;
        Log(LogLevel::kWarning, "placement",
            "The order " + text + " has failed: " + reason + ".");
        asio::post(self->strand_, [self, endpoint] {
          self->planner_.OnOrderFailed(endpoint);
        });
      });
}

}  // namespace zr
