#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"
#include "zr_wire/messages.h"

namespace zr {

/** Identifies a call among the calls of all VMs. */
struct CallKey {
  VmId vm;
  RequestId request;
  int call_number = 0;  // counts the calls of the request
  friend auto operator<=>(const CallKey&, const CallKey&) = default;
};

/** Load that a call puts on an endpoint. */
struct CallLoad {
  CallKey key;
  double prefill_ms = 0;  // time to prefill its segment; 0 afterwards
  TokenCount kv_tokens;   // memory until the call ends
  Duration max_gap =
      Duration::Max();     // longest pause that the caller tolerates
  bool takes_slot = true;  // occupies a slot; false for helpers
  double value = 0;        // see RequestValue()
  TimePoint expires;       // dropped then even if the end was not reported
  TimePoint placed;        // set by EndpointTracker::OnStart()
  friend auto operator<=>(const CallLoad&, const CallLoad&) = default;
};

/** An endpoint with its load and health as known to this VM. */
struct EndpointState {
  ListedEndpoint listed;
  std::vector<CallLoad> calls;
  TimePoint prefill_until;  // forecast end of prefill
  TimePoint pass_began;     // the last known begin of a pass of an engine
  double slowness = 1;      // duration of its passes / that of the profile
  std::optional<ReportedLoad> report;
  TimePoint reported_at;
  TimePoint cold_until;
  int failures = 0;         // consecutive
  TimePoint backoff_until;  // gets calls before only if no other is available
  TokenBucket throttle{0, 1};   // limits calls while cold
  std::optional<double> limit;  // requests per second of all VMs together
  TokenBucket limiter{0, 1};    // of the requests that this VM places

  /** Number of calls that occupy a slot. */
  int OccupiedSlots() const;
  /** Total value of the calls whose callers do not tolerate such a pause. */
  double ValueStalledBy(double pause_ms) const;
  /** Forecast time until its prompts are prefilled. */
  double BacklogMs(TimePoint now) const;
  TokenCount KvInUse() const;
  /** The endpoint's own limit leaves room for one more request.
   * @param spare  further requests for which it has to leave room */
  bool WithinLimit(TimePoint now, double spare) const;
};

/** Whether an endpoint may get a call now, or why not. */
enum class Availability : uint8_t {
  kAvailable,
  kDraining,
  kEvacuated,   // its domain
  kSuperseded,  // another endpoint has its address
  kExcluded,    // the request has tried it already
  kCold,        // its cold rate is used up
  kLimited,     // the limit that it names is used up
  kBackoff,     // it failed or rejected; called only if no other is available
};

/** A short reason for operators; empty if available. */
const char* ToString(Availability availability);

/**
 * Tracks load, health and cold starts of the endpoints of all services, as seen
 * by one VM. Health follows from the results of calls, not from health checks.
 */
class EndpointTracker {
 public:
  struct Options {
    Duration initial_backoff = Duration::Milliseconds(700);  // after a failure
    Duration max_backoff = Duration::Seconds(6);             // after doubling
    Duration rejected_backoff = Duration::Milliseconds(60);  // after kRejected
    /** Share of a cold endpoint's rate that one VM may use. The sum over all
     * VMs must stay below the limit of the endpoint. */
    double cold_share = 0.05;
    /** The same of the limit that an endpoint names. */
    double limit_share = 0.02;
  };

  EndpointTracker() : EndpointTracker(Options{}) {}
  explicit EndpointTracker(Options options) : options_(options) {}

  /** Sets Options::limit_share. */
  void SetLimitShare(double share) { options_.limit_share = share; }
  /** Sets Options::cold_share. */
  void SetColdShare(double share) { options_.cold_share = share; }

  //============================================================================
  // Updates from the platform

  /** Adds or updates an endpoint. */
  void Upsert(TimePoint now, const ListedEndpoint& listed, double cold_rate);
  /** Removes an endpoint: it gets no new calls; calls in progress continue. */
  void Remove(const EndpointId& id);
  /** Sets the domains that get no new calls. */
  void SetEvacuated(std::set<DomainId> domains) {
    evacuated_ = std::move(domains);
  }

  //============================================================================
  // Updates from calls

  void OnStart(TimePoint now, const EndpointId& id, const CallLoad& load);
  /** The first token has arrived, so prefill is complete. */
  void OnPrefillDone(TimePoint now, const EndpointId& id, const CallKey& key);
  void OnEnd(TimePoint now, const EndpointId& id, const CallKey& key);
  /** Drops the calls of a failed VM. */
  void RemoveVmCalls(TimePoint now, const VmId& vm);
  /** Drops calls that must have ended. */
  void Expire(TimePoint now);
  void OnCallResult(TimePoint now, const EndpointId& id, CallResult result);
  void OnLoad(TimePoint now, const EndpointId& id, const ReportedLoad& load);
  void OnCold(TimePoint now, const EndpointId& id, Duration left,
              double cold_rate);

  /** Sets the limit of an endpoint's requests per second, or ends it. */
  void SetLimit(TimePoint now, const EndpointId& id, BootNumber boot,
                std::optional<double> rate);
  /** This VM begins to place requests for all VMs; what it did not use of the
   * limits before, others have used. */
  void RestartLimits(TimePoint now);
  /** This VM places a request at the endpoint. */
  void CountRequest(TimePoint now, const EndpointId& id);

  //============================================================================
  // Queries

  const EndpointState* Find(const EndpointId& id) const;
  /** The endpoint is listed and not draining, its domain is not evacuated, and
   * no other endpoint has taken its address. */
  bool MayCall(const EndpointId& id) const {
    const EndpointState* state = Find(id);
    return state != nullptr && AcceptsCalls(*state);
  }
  /** Whether one endpoint may get a call now; parameters as of Available(). */
  Availability AvailabilityOf(TimePoint now, const EndpointState& state,
                              const std::set<EndpointId>& excluded,
                              std::optional<double> spare = 0) const;
  /**
   * Endpoints of a service that may get a call now. Endpoints in backoff are
   * returned only if there are no others.
   *
   * @param excluded  endpoints that the request has tried already
   * @param spare  further requests for which endpoints with a limit of their
   * own have to leave room; if empty, these limits don't count
   */
  std::vector<const EndpointState*> Available(
      TimePoint now, const ServiceName& service,
      const std::set<EndpointId>& excluded,
      std::optional<double> spare = 0) const;
  /** One of the service's endpoints has named a limit. */
  bool HasLimits(const ServiceName& service) const;
  /** Time until one of these limits leaves room for a request; 0 if one does or
   * there is none. */
  Duration TimeUntilWithinLimit(TimePoint now,
                                const ServiceName& service) const;
  /** Number of the service's endpoints for which MayCall() is true. */
  size_t CountActive(const ServiceName& service) const;
  /** Mean prefill backlog of these endpoints. */
  double MeanBacklogMs(TimePoint now, const ServiceName& service) const;
  size_t size() const { return endpoints_.size(); }
  const std::unordered_map<EndpointId, EndpointState>& endpoints() const {
    return endpoints_;
  }

 private:
  bool AcceptsCalls(const EndpointState& state) const;
  /** An endpoint that started later has the same address. */
  bool Superseded(const ListedEndpoint& listed) const;
  static void CapPrefillEnd(TimePoint now, EndpointState& state);
  EndpointState* FindMutable(const EndpointId& id);

  Options options_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  /** The most recently started endpoint of each address. */
  std::unordered_map<std::string, EndpointId> newest_at_address_;
  std::set<DomainId> evacuated_;
};

}  // namespace zr
