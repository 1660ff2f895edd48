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

/** Names one call to an endpoint among the calls of all VMs. */
struct CallKey {
  VmId vm;
  RequestId request;
  int number = 0;  // of the request's calls
  friend auto operator<=>(const CallKey&, const CallKey&) = default;
};

/** What a call costs an endpoint. */
struct CallLoad {
  CallKey key;
  double reading_ms = 0;  // to read the part of the prompt; 0 once it is read
  TokenCount held;        // memory until the call ends
  Duration gap = Duration::Max();  // longest pause that its caller tolerates
  bool writes = true;              // takes a slot; false for helpers
  double value = 0;                // see RequestValue()
  TimePoint expires;               // forgotten then, whatever became of it
  friend auto operator<=>(const CallLoad&, const CallLoad&) = default;
};

/** One endpoint and what this VM believes about it. */
struct EndpointState {
  ListedEndpoint listed;
  std::vector<CallLoad> calls;
  TimePoint busy_until;  // forecast end of the reading in progress
  std::optional<ReportedLoad> report;
  TimePoint reported_at;
  TimePoint cold_until;
  int strikes = 0;        // failures in a row
  TimePoint avoid_until;  // no calls before, unless nothing else is left
  TokenBucket cold_limiter{0, 1};

  /** Calls that take a slot. */
  int Writers() const;
  /** Value of the answers whose callers tolerate no such pause. */
  double ValueDisturbedBy(double pause_ms) const;
  /** Forecast milliseconds until the prompts given to it are read. */
  double BacklogMs(TimePoint now) const;
  TokenCount Held() const;
};

/**
 * The endpoints of all services with their load, health and cold starts, as
 * seen by one VM. Health is decided by what calls show, not by health checks.
 */
class EndpointBoard {
 public:
  struct Options {
    Duration initial_backoff = Duration::Milliseconds(700);  // after a failure
    Duration max_backoff = Duration::Seconds(6);             // doubling ends
    Duration rejected_backoff = Duration::Milliseconds(60);  // after kRejected
    /** Part of a cold endpoint's rate that one VM may use; the sum over the
     * VMs of a deployment must stay below the endpoint's bound. */
    double cold_share = 0.05;
  };

  EndpointBoard() : EndpointBoard(Options{}) {}
  explicit EndpointBoard(Options options) : options_(options) {}

  /** Changes the share of cold endpoints' rates; see Options. */
  void SetColdShare(double share) { options_.cold_share = share; }

  //============================================================================
  // What the platform says

  /** An entry was written or read again. */
  void Upsert(TimePoint now, const ListedEndpoint& listed, double cold_rate);
  /** The entry is gone: no new calls; its calls in progress go on. */
  void Remove(const EndpointId& id);
  /** The domain gets no new calls until it is returned. */
  void SetEvacuated(std::set<DomainId> domains) {
    evacuated_ = std::move(domains);
  }

  //============================================================================
  // What calls show

  void OnStart(TimePoint now, const EndpointId& id, const CallLoad& load);
  /** The first token arrived: the prompt has been read. */
  void OnPromptRead(TimePoint now, const EndpointId& id, const CallKey& key);
  void OnEnd(TimePoint now, const EndpointId& id, const CallKey& key);
  /** Forgets the calls of a VM that is gone. */
  void DropVm(TimePoint now, const VmId& vm);
  /** Forgets calls that must have ended. */
  void Expire(TimePoint now);
  void OnSign(TimePoint now, const EndpointId& id, CallSign sign);
  void OnLoad(TimePoint now, const EndpointId& id, const ReportedLoad& load);
  void OnCold(TimePoint now, const EndpointId& id, Duration left,
              double cold_rate);

  //============================================================================
  // Queries

  const EndpointState* Find(const EndpointId& id) const;
  /** The endpoint is listed, not leaving and its domain not evacuated. */
  bool MayCall(const EndpointId& id) const {
    const EndpointState* state = Find(id);
    return state != nullptr && AcceptsCalls(*state);
  }
  /**
   * Endpoints of a service that may be given a call now. Endpoints to be
   * avoided are left out while others remain.
   *
   * @param excluded  already tried by the request
   */
  std::vector<const EndpointState*> Available(
      TimePoint now, const ServiceName& service,
      const std::set<EndpointId>& excluded) const;
  /** Endpoints of the service that are neither leaving nor evacuated. */
  size_t CountActive(const ServiceName& service) const;
  /** Reading not yet done at the service's active endpoints, mean of all. */
  double MeanBacklogMs(TimePoint now, const ServiceName& service) const;
  size_t size() const { return endpoints_.size(); }
  const std::unordered_map<EndpointId, EndpointState>& endpoints() const {
    return endpoints_;
  }

 private:
  bool AcceptsCalls(const EndpointState& state) const;
  /** Another endpoint that started later has the address. */
  bool Superseded(const ListedEndpoint& listed) const;
  static void CapPrefillEnd(TimePoint now, EndpointState& state);
  EndpointState* FindMutable(const EndpointId& id);

  Options options_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  /** The endpoint that started last at each address. */
  std::unordered_map<std::string, EndpointId> newest_at_address_;
  std::set<DomainId> evacuated_;
};

}  // namespace zr
