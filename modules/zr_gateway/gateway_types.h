#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Name of a service: a pool of endpoints that serve the same routes. */
using ServiceName = PoolId;

/** Whether a request may run again after a failed call. */
enum class RetryPolicy : uint8_t {
  kAtMostOnce,  // runs at most once
  kRepeatable,  // idempotent
  kResumable,   // a stream that another run can resume after its last event
};

/** A service that receives a share of a route's requests. */
struct WeightedService {
  ServiceName service;
  double weight = 1;
  friend auto operator<=>(const WeightedService&,
                          const WeightedService&) = default;
};

/** One entry of the configuration's route table. */
struct Route {
  std::string name;
  std::string host;         // as in the Host header, lower case
  std::string path_prefix;  // begins and ends with a slash
  std::vector<WeightedService> services;
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  bool streaming = false;
  bool anonymous = false;                 // requires no key
  Duration timeout;                       // upper bound set by the operator
  Duration latency_objective;             // until the answer or the first event
  std::optional<Duration> gap_objective;  // longest pause between two events
  int priority = 0;                       // 0 is the most urgent
  int max_attempts = 1;  // number of endpoints that may run one request
  friend auto operator<=>(const Route&, const Route&) = default;
};

/** Published performance data and limits of a model engine. */
struct EngineProfile {
  int slots = 1;                     // sequences that decode concurrently
  TokenCount kv_capacity;            // KV memory, in tokens
  int stride = 1;                    // decode steps in one pass
  TokenCount chunk;                  // limit of prompt tokens in one step
  double step_ms = 1;                // base time of a decode step
  double sequence_ms = 0;            // added to a step by each sequence
  double context_ms_per_1k = 0;      // added by 1,000 tokens of its context
  double prefill_tokens_per_ms = 1;  // prefill speed without attention
  double pairs_ms_per_million = 0;   // attention between pairs of prompt tokens
  double hop_ms = 0;    // a step of a prompt split over several engines
  Duration report_lag;  // age of a load report
  friend auto operator<=>(const EngineProfile&, const EngineProfile&) = default;
};

/** Configuration of a service. */
struct ServicePolicy {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;     // to one endpoint, from all callers
  Duration cold_period;        // warm-up time after a start
  double cold_rate_per_s = 0;  // limit of requests to a cold endpoint; 0: none
  std::optional<EngineProfile> engine;  // model services only
  friend auto operator<=>(const ServicePolicy&, const ServicePolicy&) = default;
};

/** A team and its API keys. */
struct TeamKeys {
  TeamId team;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's priority
  friend auto operator<=>(const TeamKeys&, const TeamKeys&) = default;
};

/** Limits on client connections and requests. */
struct ClientLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 4 << 20;
  Duration header_timeout = Duration::Seconds(10);
  Duration idle_timeout = Duration::Seconds(15);
  friend auto operator<=>(const ClientLimits&, const ClientLimits&) = default;
};

/** An endpoint as the platform lists it. */
struct ListedEndpoint {
  EndpointId id;  // usually changes with each start
  ServiceName service;
  std::string address;  // "ip:port"; another endpoint may reuse it later
  DomainId domain;
  bool draining = false;
  int slots = 1;
  Duration cold_left;    // rest of the cold period when the entry was written
  int64_t boot_ms = 0;   // start of this incarnation, Unix milliseconds
  int64_t sequence = 0;  // rises with each write by this incarnation

  BootNumber boot() const { return BootNumber(static_cast<uint64_t>(boot_ms)); }
  friend auto operator<=>(const ListedEndpoint&,
                          const ListedEndpoint&) = default;
};

/** Time after the store's return within which operators and endpoints write
 * again what it has lost. */
inline constexpr Duration kRewriteGrace = Duration::Milliseconds(2300);

/** Load that an endpoint reports together with an answer. */
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

/** Size of a request in tokens. */
struct PromptShape {
  TokenCount prompt;      // 0 for plain services
  TokenCount max_answer;  // upper bound
  friend auto operator<=>(const PromptShape&, const PromptShape&) = default;
};

}  // namespace zr
