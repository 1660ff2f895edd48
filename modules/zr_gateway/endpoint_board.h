#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** What a call to an endpoint showed about it. */
enum class CallSign : uint8_t {
  kAnswered,     // a sound answer
  kRejected,     // full; it runs, but takes nothing more just now
  kErrorAnswer,  // an error status of its own
  kBroken,       // the connection failed or broke, or the answer was spoilt
  kSilent,       // no sign of life within the bound
  kMisdirected,  // another endpoint has the address
};

/** One endpoint and what this VM believes about it. */
struct EndpointState {
  ListedEndpoint listed;
  int in_flight = 0;         // calls of this VM
  TokenCount reading;        // prompt tokens of this VM not yet read
  TokenCount held;           // memory of this VM's calls, in tokens
  int peers_in_flight = 0;   // calls of other VMs, as they told
  TokenCount peers_reading;  // prompt tokens of other VMs' calls
  TokenCount peers_held;     // memory of other VMs' calls
  std::optional<ReportedLoad> report;
  TimePoint reported_at;
  TimePoint cold_until;
  int strikes = 0;        // failures in a row
  TimePoint avoid_until;  // no calls before, unless nothing else is left
  TokenBucket cold_starts{0, 1};
};

/**
 * The endpoints of all services with their load, health and cold starts, as
 * seen by one VM. Health is decided by what calls show, not by health checks.
 */
class EndpointBoard {
 public:
  struct Options {
    Duration first_avoidance = Duration::Milliseconds(700);  // after a failure
    Duration longest_avoidance = Duration::Seconds(6);       // doubling ends
    Duration full_avoidance = Duration::Milliseconds(60);    // after kRejected
    /** Part of a cold endpoint's rate that one VM may use; the sum over the
     * VMs of a deployment must stay below the endpoint's bound. */
    double cold_share = 0.05;
  };

  EndpointBoard() : EndpointBoard(Options{}) {}
  explicit EndpointBoard(Options options) : options_(options) {}

  //============================================================================
  // What the platform says

  /** An entry was written or read again. */
  void Upsert(TimePoint now, const ListedEndpoint& listed, double cold_rate);
  /** The entry is gone: no new calls; its calls in progress go on. */
  void Remove(const EndpointId& id);
  /** Removes all that are not in the set (after a complete list). */
  void RetainOnly(const std::set<EndpointId>& present);
  /** The domain gets no new calls until it is returned. */
  void SetEvacuated(std::set<DomainId> domains) {
    evacuated_ = std::move(domains);
  }

  //============================================================================
  // What calls show

  void OnStart(TimePoint now, const EndpointId& id, TokenCount reading,
               TokenCount held);
  /** The first token arrived: the prompt has been read. */
  void OnPromptRead(const EndpointId& id, TokenCount reading);
  void OnEnd(const EndpointId& id, TokenCount reading, TokenCount held);
  void OnSign(TimePoint now, const EndpointId& id, CallSign sign);
  void OnLoad(TimePoint now, const EndpointId& id, const ReportedLoad& load);
  void OnCold(TimePoint now, const EndpointId& id, Duration left,
              double cold_rate);

  //============================================================================
  // Queries

  const EndpointState* Find(const EndpointId& id) const;
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
  size_t size() const { return endpoints_.size(); }
  const std::unordered_map<EndpointId, EndpointState>& endpoints() const {
    return endpoints_;
  }

 private:
  bool Takes(const EndpointState& state) const;
  EndpointState* FindMutable(const EndpointId& id);

  Options options_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::set<DomainId> evacuated_;
};

}  // namespace zr
