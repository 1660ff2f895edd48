#pragma once

#include <ctime>
#include <memory>
#include <string>
#include <unordered_map>

#include "zr_gateway/zr_gateway.h"
#include "zr_gateway_host/gateway_settings.h"
#include "zr_http/zr_http.h"
#include "zr_request/retry_budget.h"
#include "zr_telemetry/decision_log.h"
#include "zr_telemetry/metrics.h"

namespace zr {

class DispatchClient;
class LimitExchange;
class PathExchange;
class ReservationKeeper;
class SuspectExchange;

/** Time since boot, including suspensions of the VM. */
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint::FromMicroseconds(int64_t{now.tv_sec} * 1'000'000 +
                                     now.tv_nsec / 1000);
}

/** State shared by the requests of one process; used on one thread. */
struct GatewayState {
  GatewayState(const GatewaySettings& settings, Metrics& metrics_registry)
      : metrics(metrics_registry),
        log(settings.vm.value()),
        answer_buffers(MemoryAccount::AnswerBytes(settings.memory_bytes)),
        freshness(settings.revocation_bound - kWatchGap, settings.config_bound),
        placement(PlacementPolicy::Options{.forecast_passes =
                                               settings.forecast_passes}),
        local_placement(PlacementPolicy::Options{
            .pack = false, .forecast_passes = settings.forecast_passes}),
        random(Hash64(settings.callers_address)),
        retry_ratio(settings.retry_ratio),
        vm(settings.vm),
        domain(settings.domain) {
    if (!settings.slow_readers) return;
    readers = std::make_shared<ReaderBudget>(
        ReaderBudget::LimitsFor(settings.memory_bytes));
  }

  RetryBudget& BudgetOf(const ServiceName& service) {
    return budgets
        .try_emplace(service, kRetryShare * retry_ratio, kRetryFloor,
                     kRetryBurst)
        .first->second;
  }

  // Share of the allowed retry ratio that is used; the rest is a margin for
  // windows in which the request rate falls.
  static constexpr double kRetryShare = 0.75;
  // Rate (per second) and burst of retries of a VM that has few requests. The
  // sum over all VMs stays below a service's fixed allowance.
  static constexpr double kRetryFloor = 0.2;
  static constexpr double kRetryBurst = 3.0;
  /** A watch may miss changes for about a second before it is cut off. */
  static constexpr Duration kWatchGap = Duration::Milliseconds(1300);

  Metrics& metrics;
  DecisionLog log;
  BufferBudget answer_buffers;  // of the answers that are not streamed
  /** Null if slow readers and bodies in flight are not bounded, see
   * GatewaySettings::slow_readers. */
  std::shared_ptr<ReaderBudget> readers;
  BodyBudget bodies;             // in flight to endpoints
  GatewayConfigPtr config;       // null until the first configuration was read
  bool endpoints_known = false;  // the first list of endpoints was read
  ConfigFreshness freshness;
  EndpointTracker tracker;
  /** Of the dispatcher, which knows the calls of all VMs. */
  PlacementPolicy placement;
  /** Used without a dispatcher. Knows only the calls of this VM, so it spreads
   * them instead of packing them. */
  PlacementPolicy local_placement;
  Random random;
  double retry_ratio;
  std::unordered_map<ServiceName, RetryBudget> budgets;
  std::shared_ptr<HttpClient> http;
  std::shared_ptr<DispatchClient> dispatch;
  std::shared_ptr<ReservationKeeper> reservations;
  std::shared_ptr<SuspectExchange> suspects;
  std::shared_ptr<LimitExchange> limits;
  std::shared_ptr<PathExchange> paths;
  VmId vm;
  DomainId domain;  // failure domain of this VM and of its callers
  /** Calls in progress that this VM has placed by itself, by pool. */
  std::unordered_map<PoolId, int> local_calls;
  StartupHold startup{BootNow()};
  bool stopping = false;
  TimePoint stop_began;  // if stopping
  TimePoint stop_ends;   // latest exit of the process, if stopping
};

}  // namespace zr
