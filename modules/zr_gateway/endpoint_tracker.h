#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_pace.h"
#include "zr_gateway/gateway_types.h"
#include "zr_gateway/slowness_estimate.h"
#include "zr_wire/messages.h"

namespace zr {

/** Identifies a call among the calls of all VMs. */
struct CallKey {
  VmId vm;
  RequestId request;
  int call_number = 0;  // counts the calls of the request
  friend auto operator<=>(const CallKey&, const CallKey&) = default;
};

inline CallKey MakeCallKey(const VmId& vm, const RequestId& request,
                           AttemptNumber call_number) {
  return {vm, request, static_cast<int>(call_number.value())};
}

/** Load that a call puts on an endpoint. */
struct CallLoad {
  CallKey key;
  double prefill_ms = 0;  // time to prefill its segment; 0 afterwards
  TokenCount kv_tokens;   // memory until the call ends
  Duration max_gap =
      Duration::Max();  // longest pause that the caller tolerates
  /** Its first token is late afterwards; Max if it is late anyway. */
  TimePoint first_token_by = TimePoint::Max();
  bool takes_slot = true;  // occupies a slot; false for helpers
  double value = 0;        // see RequestValue()
  TimePoint expires;       // dropped then even if the end was not reported
  /** Forecast time to its first event; 0 if unknown. */
  double forecast_ms = 0;
  bool split = false;  // over several engines; set by StartCall()
  TimePoint placed;    // set by EndpointTracker::OnStart()
  /** Set by OnStart(): its slowness then, the time from which the forecast
   * counts, and whether the call still waits for a slot. */
  double slowness = 1;
  TimePoint began;
  bool waits = false;
  /** Prefill of other prompts that may delay it beyond its forecast, as they
   * were placed later or are read in another order. */
  double contention_ms = 0;
  bool blamed = false;  // its engines have been suspected as it was overdue
  friend auto operator<=>(const CallLoad&, const CallLoad&) = default;
};

/** An endpoint with its load and health as known to this VM. */
struct EndpointState {
  ListedEndpoint listed;
  std::vector<CallLoad> calls;
  TimePoint prefill_until;  // forecast end of prefill
  TimePoint pass_began;     // the last known begin of a pass of an engine
  double slowness = 1;      // observed / forecast times; see SlownessEstimate
  SlownessEstimate slowness_estimate;
  EndpointPace pace;
  bool learned = false;  // `pace` and `slowness` are in use
  TimePoint sound_at;    // last took part in a first event in time
  TimePoint active_at;   // a call was placed, answered or ended
  /** Observed / forecast time of a call that it shared with others, any of
   * which may have been slow; 0 if there is none. A short call there shows
   * whether it was this one. */
  double suspicion = 0;
  TimePoint suspected_at;
  /** Weight of load reports; falls if they contradict its answers. */
  double report_trust = 1;
  int logged_calls = 0;  // of `pace`, in the last PaceChange
  double logged_slowness = 1;
  std::optional<ReportedLoad> report;
  TimePoint reported_at;
  TimePoint cold_until;
  double cold_rate = 0;     // while cold, of all VMs together; 0: no limit
  int failures = 0;         // consecutive
  TimePoint backoff_until;  // gets calls before only if no other is available
  TokenBucket throttle{0, 1};   // limits calls while cold
  bool leaving = false;         // as its answers say
  TimePoint paused_until;       // gets no calls before, as its answers say
  std::optional<double> limit;  // requests per second of all VMs together
  TokenBucket limiter{0, 1};    // of the requests that this VM places

  /** Number of calls that occupy a slot. */
  int OccupiedSlots() const;
  /** `pace` allows one more call. */
  bool HasRoom(TimePoint now) const;
  /** The next short call should show whether the endpoint is slow. */
  bool WantsTest() const;
  /** Total value of the calls whose callers do not tolerate such a pause. */
  double ValueStalledBy(double pause_ms) const;
  /** Total value of the calls that wait for the pass after the current one and
   * whose first token would be late.
   * @param pass_began  of the current pass
   * @param first_token  end of the next one */
  double ValueDelayedTo(TimePoint first_token, TimePoint pass_began) const;
  /** Forecast time until its prompts are prefilled. */
  double BacklogMs(TimePoint now) const;
  TokenCount KvInUse() const;
  /** The endpoint's own limit leaves room for one more request.
   * @param spare  further requests for which it has to leave room */
  bool WithinLimit(TimePoint now, double spare) const;
};

/** A change of what an endpoint may get, for the log. */
struct PaceChange {
  EndpointId endpoint;
  int before = 0;  // calls at once; 0 if not limited
  int now = 0;
  double slowness = 1;
  EndpointPace::Reason reason = EndpointPace::Reason::kNone;
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
  kPaused,      // it asked for a pause
  kPaced,       // EndpointPace allows no further call
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
    /** Of endpoints that are engines or have a cold rate. */
    PaceMode pace = PaceMode::kFixed;
  };

  EndpointTracker() : EndpointTracker(Options{}) {}
  explicit EndpointTracker(Options options) : options_(options) {}

  /** Sets Options::limit_share. */
  void SetLimitShare(double share) { options_.limit_share = share; }
  /** Sets Options::cold_share. */
  void SetColdShare(double share) { options_.cold_share = share; }
  /** Sets Options::pace; ends the limits that were learned. */
  void SetPace(PaceMode pace);

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
  /** An engine wrote the last event of an answer, which ends a pass. */
  void OnPassEnd(TimePoint now, const EndpointId& id);
  /** Drops the calls of a failed VM. */
  void RemoveVmCalls(TimePoint now, const VmId& vm);
  /** Drops calls that must have ended. */
  void Expire(TimePoint now);
  /** @param answered_in  time to the answer of a plain service, if known */
  void OnCallResult(TimePoint now, const EndpointId& id, CallResult result,
                    std::optional<Duration> answered_in = std::nullopt);
  /**
   * The first event of a call has arrived. Of a call that is split over several
   * engines, the time counts only if it is clear which of them was slow.
   *
   * @param engines  those that prefill the prompt; the first runs the request
   * @param elapsed  since the call began; nothing if unknown
   */
  void OnFirstEvent(TimePoint now, const std::vector<EndpointId>& engines,
                    const CallKey& key, std::optional<Duration> elapsed);
  /** Updates what overdue calls tell; call every few ten milliseconds. */
  void UpdatePace(TimePoint now);
  void OnLoad(TimePoint now, const EndpointId& id, const ReportedLoad& load);
  void OnCold(TimePoint now, const EndpointId& id, Duration left,
              double cold_rate);

  /** Sets the limit of an endpoint's requests per second, or ends it. */
  void SetLimit(TimePoint now, const EndpointId& id, BootNumber boot,
                std::optional<double> rate);
  /** The endpoint has said that it leaves, or when it takes calls again. */
  void SetNotice(const EndpointId& id, BootNumber boot, bool leaving,
                 TimePoint paused_until);
  /** This VM begins to place requests for all VMs; what it did not use of the
   * limits before, others have used. */
  void RestartLimits(TimePoint now);
  /** Limits that were found to hold, for another dispatcher.
   * @param knows_all_calls  false if only this VM's calls are tracked; limits
   * from rejections are then left out, as they are a part of the endpoint's */
  std::vector<EndpointAllowance> Allowances(TimePoint now,
                                            const ServiceName& service,
                                            bool knows_all_calls) const;
  /** This VM begins to place calls for all VMs: forgets limits of earlier times
   * at which it did, except those of cold endpoints, which start anew. */
  void RestartPace(TimePoint now);
  /** Takes what another VM has found; the smallest counts. */
  void OnAllowances(TimePoint now,
                    const std::vector<EndpointAllowance>& allowances);
  /** Changes since the last call. */
  std::vector<PaceChange> TakePaceChanges();

  /** This VM places a request at the endpoint. */
  void CountRequest(TimePoint now, const EndpointId& id);

  //============================================================================
  // Queries

  const EndpointState* Find(const EndpointId& id) const;
  /** The endpoint is listed and not leaving, its domain is not evacuated, and
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
  /**
   * Mean prefill of these endpoints that is not reported as done. Engines
   * prefill segments of other engines' prompts first, so in an overload prompts
   * wait far longer than forecast, and a forecast of what is done would hide
   * the overload.
   */
  double MeanBacklogMs(const ServiceName& service) const;
  /** The same with the prefill that is forecast to be left. */
  double MeanForecastBacklogMs(TimePoint now, const ServiceName& service) const;
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
  void OnPlacedLoad(TimePoint now, EndpointState& state, const CallLoad& load);
  void OnAnswered(TimePoint now, EndpointState& state,
                  std::optional<Duration> elapsed);
  void LearnFromSplit(TimePoint now, const std::vector<EndpointState*>& engines,
                      double ratio);
  /** @param slowness  that the call's forecast assumed, if it is not split */
  void LearnRatio(TimePoint now, const std::vector<EndpointId>& engines,
                  double ratio, double slowness);
  /** Adds what a call on a single endpoint shows. */
  static void LearnSlowness(TimePoint now, EndpointState& state, double ratio);
  /** At least one of the engines was slow. */
  static void Suspect(TimePoint now, const std::vector<EndpointState*>& engines,
                      double ratio);
  /** Longest contention of a call at one of its engines. */
  double ContentionMs(const std::vector<EndpointId>& engines,
                      const CallKey& key) const;
  /** Suspects the engines of split calls that are overdue. */
  void SuspectOverdue(TimePoint now);
  void SetBack(EndpointState& state);
  /** A call has ended, so that one which waits has a slot. */
  static void BeginWaiting(TimePoint now, EndpointState& state);
  void AnsweredInTime(TimePoint now, EndpointState& state);
  /** What the service's endpoints sustained at their start. */
  double& StartCalls(const ServiceName& service);

  Options options_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  /** The most recently started endpoint of each address. */
  std::unordered_map<std::string, EndpointId> newest_at_address_;
  std::set<DomainId> evacuated_;
  std::map<ServiceName, double> start_calls_;
  std::map<ServiceName, double> usual_answer_ms_;  // of plain services
};

}  // namespace zr
