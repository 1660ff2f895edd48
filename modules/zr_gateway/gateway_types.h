#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Name of a service: a pool of endpoints that answer the same routes. */
using ServiceName = PoolId;

/** How often a request may run. */
enum class RepeatRule : uint8_t {
  kOnce,        // at most once
  kRepeatable,  // any number of times
  kResumable,   // a stream that another run may continue after its last event
};

/** A service that takes a share of a route's requests. */
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
  RepeatRule repeat = RepeatRule::kOnce;
  bool streaming = false;
  bool anonymous = false;      // needs no key
  Duration timeout;            // longest wait that the operator allows
  Duration latency_objective;  // to the answer, or to the first event
  std::optional<Duration> gap_objective;  // longest pause between two events
  int priority = 0;                       // 0 is most urgent
  int attempts = 1;                       // endpoints that may run one request
  friend auto operator<=>(const Route&, const Route&) = default;
};

/** Published speed and size of a model engine. */
struct EngineFigures {
  int slots = 1;                    // requests that write at once
  TokenCount kv_capacity;           // memory, in tokens
  int stride = 1;                   // steps in a pass with writers
  TokenCount chunk;                 // prompt tokens read in one step, at most
  double step_ms = 1;               // a step with one writer
  double writer_ms = 0;             // added by each writer
  double context_ms_per_1k = 0;     // added by 1,000 tokens of context
  double read_tokens_per_ms = 1;    // prompt tokens
  double pairs_ms_per_million = 0;  // attention between prompt tokens
  double hop_ms = 0;    // a step of a prompt read on several engines
  Duration report_lag;  // age of a load report
  friend auto operator<=>(const EngineFigures&, const EngineFigures&) = default;
};

/** What the configuration says of a service. */
struct ServicePolicy {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;     // of one endpoint, all callers together
  Duration cold_period;        // after a start
  double cold_rate_per_s = 0;  // requests a cold endpoint bears; 0: no bound
  std::optional<EngineFigures> engine;  // model services only
  friend auto operator<=>(const ServicePolicy&, const ServicePolicy&) = default;
};

/** A team and the keys that stand for it. */
struct TeamKeys {
  TeamId team;
  std::vector<std::string> keys;
  std::optional<int> priority;  // replaces the route's
  friend auto operator<=>(const TeamKeys&, const TeamKeys&) = default;
};

/** Bounds on what clients may send. */
struct ClientLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 4 << 20;
  Duration idle_timeout = Duration::Seconds(15);
  friend auto operator<=>(const ClientLimits&, const ClientLimits&) = default;
};

/** An endpoint as the platform lists it. */
struct ListedEndpoint {
  EndpointId id;  // new with almost every start
  ServiceName service;
  std::string address;  // "ip:port"; reused by others after the endpoint's end
  DomainId domain;
  bool draining = false;
  int slots = 1;
  Duration cold_left;   // still cold for this long when the entry was written
  int64_t boot_ms = 0;  // start of this incarnation, Unix milliseconds
  friend auto operator<=>(const ListedEndpoint&,
                          const ListedEndpoint&) = default;
};

/** Load that an endpoint reports with an answer. */
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

/** What placing a request needs to know about it. */
struct PromptShape {
  TokenCount prompt;      // 0 for plain services
  TokenCount max_answer;  // bound on the answer
  friend auto operator<=>(const PromptShape&, const PromptShape&) = default;
};

}  // namespace zr
