#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "zr_admission/engine_reports.h"
#include "zr_config/zr_config.h"
#include "zr_wire/messages.h"

namespace zr {

/** The ingress must start a granted call within this time. */
inline constexpr Duration kStartWithin = Duration::Milliseconds(1000);
/** A grant is reclaimed if its holder has not listed it for this long. */
inline constexpr Duration kGrantLease = Duration::Milliseconds(3000);
/** Time to wait for the holders' grant lists after a takeover. */
inline constexpr Duration kTakeOverListWait = Duration::Milliseconds(1500);
/** Longest wait of a request that asked not to be queued. */
inline constexpr Duration kBusyTolerance = Duration::Milliseconds(50);

using ClassPolicies = std::map<ClassId, ClassPolicy>;
using TeamPolicies = std::map<TeamId, TeamPolicy>;

/** Policies that apply to an endpoint. */
struct OwnerPolicies {
  PoolPolicy pool;
  std::shared_ptr<const ClassPolicies> classes;
  std::shared_ptr<const TeamPolicies> teams;
};

/** Parameters of EndpointOwner::Create. */
struct OwnerOptions {
  VmId self;
  Incarnation incarnation;
  EndpointInfo endpoint;
  OwnerPolicies policies;
  bool taken_over = false;  // another VM may have owned the endpoint before
  // Grant numbers start after this one: an owner object that is created again
  // in the same incarnation must not reuse them.
  GrantNumber last_grant;
  // Newest summary from the endpoint's previous owner, if known. Slow start is
  // skipped if it reports the endpoint as warm with the current boot number.
  std::optional<EndpointSummary> previous;
};

/** Administrative state of an endpoint, from configuration and platform. */
struct EndpointAdminState {
  bool drained = false;  // its domain or the endpoint itself is drained
  bool leaving = false;
  friend auto operator<=>(const EndpointAdminState&,
                          const EndpointAdminState&) = default;
};

using SendMessage = OutgoingMessage;

/** Cancels a stream, import or export at the engine; unknown ids are ignored.
 */
struct CancelEngineStream {
  std::string stream_id;
  EngineStreamKind kind = EngineStreamKind::kStream;
  friend auto operator<=>(const CancelEngineStream&,
                          const CancelEngineStream&) = default;
};

/** Requests the engine's stream list; the reply goes to OnStreamList. */
struct RequestStreamList {
  friend auto operator<=>(const RequestStreamList&,
                          const RequestStreamList&) = default;
};

/** Reports the calls that were in flight when the endpoint failed. */
struct ReportSuspects {
  std::vector<Suspect> suspects;
  friend auto operator<=>(const ReportSuspects&,
                          const ReportSuspects&) = default;
};

using OwnerAction = std::variant<SendMessage, CancelEngineStream,
                                 RequestStreamList, ReportSuspects>;
using OwnerActions = std::vector<OwnerAction>;

/** State and counters of an owner, for the operator API and metrics. */
struct OwnerSnapshot {
  EndpointId endpoint;
  BootNumber boot;
  bool accepts_new = false;
  bool taking_over = false;
  bool drained = false;
  bool leaving = false;
  bool reachable = false;
  int64_t active_grants = 0;  // entries in the grant table
  int64_t running = 0;        // of these, started according to their holder
  int64_t cancelling = 0;     // of these, reclaimed but not confirmed as ended
  int64_t queued = 0;
  int64_t own_limit = 0;  // concurrent requests this owner may grant
  int64_t foreign_requests = 0;
  TokenCount kv_capacity;  // as reported by the engine
  TokenCount kv_limit;     // capacity less margin and foreign load
  TokenCount kv_reserved;
  TokenCount kv_foreign;
  uint64_t completed = 0;  // since the last reset of slow start
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;  // per stream, at the current batch size
  // Counters since this owner was created.
  uint64_t grants_issued = 0;
  uint64_t refused_busy = 0;
  uint64_t refused_deadline = 0;
  uint64_t refused_other = 0;
  uint64_t grants_reclaimed = 0;
  uint64_t foreign_cancelled = 0;
};

/** A stream with a grant at an owner; used when a caller reconnects. */
struct GrantedStream {
  StreamKey key;
  TeamId team;
  VmId holder;
  bool started = false;
};

}  // namespace zr
