#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Whether a pool's endpoints are model engines or instances of a plain
 * service. */
enum class PoolKind : uint8_t { kModel, kService };

/** A pool of endpoints that serve one model or one plain service. */
struct PoolPolicy {
  PoolId pool;
  PoolKind kind = PoolKind::kModel;
  std::string model;    // model name for callers; kModel only
  std::string version;  // desired model version, empty for any; kModel only
  std::vector<std::string> adapters;  // desired adapters; kModel only
  int64_t max_requests = 64;          // concurrent requests of a warm endpoint
  int64_t fresh_requests =
      4;  // concurrent requests of a freshly started endpoint
  int64_t warm_after_requests =
      32;  // completed requests until an endpoint counts as warm
  TokenCount long_prompt{32'768};  // prompts above this are long
  TokenCount long_prefill_limit{
      131'072};  // most long-prompt tokens in prefill on an endpoint
  int64_t kv_margin_permille = 20;  // share of KV memory that is never reserved
  Duration unclaimed_window =
      Duration::Seconds(10);  // engines drop streams that stay unclaimed longer
  Duration report_lag = Duration::Seconds(1);  // maximum age of a load report
  int64_t prefill_tokens_per_second =
      8'000;  // initial estimate, corrected by measurements
  int64_t decode_tokens_per_second = 50;  // for one stream, initial estimate
  bool checks_fencing =
      false;                // engines refuse orders with a stale fencing token
  bool repeatable = false;  // calls may be repeated; kService only
  friend auto operator<=>(const PoolPolicy&, const PoolPolicy&) = default;
};

/** A class of requests with its service objectives. */
struct ClassPolicy {
  ClassId name;
  int64_t weight = 1;  // relative value of a completed request
  Duration deadline =
      Duration::Seconds(30);  // default and maximum of a call's deadline
  bool repeatable = true;  // false: needs an idempotency key, runs at most once
  bool may_wait = false;   // may be held while the object API is down
  TokenCount min_prompt{0};
  TokenCount max_prompt{1'000'000};
  TokenCount max_answer{4'096};
  int32_t priority = 0;  // passed to engines; higher runs first
  friend auto operator<=>(const ClassPolicy&, const ClassPolicy&) = default;
};

/** A team with its keys and limits. */
struct TeamPolicy {
  TeamId team;
  std::vector<std::string> key_digests;  // hex SHA-256 of the bearer keys
  std::vector<ClassId> classes;   // allowed classes; the first is the default
  int64_t share = 1;              // weight among teams
  int64_t tokens_per_second = 0;  // fleet-wide limit, 0 for none
  TokenCount kv_limit{0};         // fleet-wide concurrent KV tokens, 0 for none
  friend auto operator<=>(const TeamPolicy&, const TeamPolicy&) = default;
};

enum class DrainKind : uint8_t { kDomain, kVm, kEndpoint };

/** Takes a failure domain, VM or endpoint out of service. */
struct Drain {
  DrainKind kind = DrainKind::kDomain;
  std::string name;
  friend auto operator<=>(const Drain&, const Drain&) = default;
};

/** An endpoint as registered under the object API's kind `endpoints`. */
struct EndpointInfo {
  EndpointId endpoint;
  PoolId pool;
  DomainId domain;
  std::string region;
  std::string address;  // "ip:port"
  friend auto operator<=>(const EndpointInfo&, const EndpointInfo&) = default;
};

}  // namespace zr
