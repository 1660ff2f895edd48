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

/** Time in which the ingress must start a granted call. */
inline constexpr Duration kStartWithin = Duration::Milliseconds(1000);
/** A grant that its holder has not listed for this long is reclaimed. */
inline constexpr Duration kReclaimAfter = Duration::Milliseconds(3000);
/** Longest wait for the holders' lists after a take-over. */
inline constexpr Duration kTakeOverListWait = Duration::Milliseconds(1500);
/** A request that must not queue may still wait this long. */
inline constexpr Duration kBusyTolerance = Duration::Milliseconds(50);

using ClassPolicies = std::map<ClassId, ClassPolicy>;
using TeamPolicies = std::map<TeamId, TeamPolicy>;

/** The policies that an owner follows. */
struct OwnerPolicies {
  PoolPolicy pool;
  std::shared_ptr<const ClassPolicies> classes;
  std::shared_ptr<const TeamPolicies> teams;
};

/** How an owner is set up. */
struct OwnerOptions {
  VmId self;
  Incarnation incarnation;
  EndpointInfo endpoint;
  OwnerPolicies policies;
  bool taken_over = false;  // another VM may have owned the endpoint before
  // Numbers of grants start after this; a second owner object of the same
  // incarnation must not reuse numbers of the first.
  GrantNumber last_grant;
  // The newest summary of the endpoint's previous owner, if one is known. An
  // endpoint that it calls warm, and that has not restarted since, needs no
  // slow start again.
  std::optional<EndpointSummary> previous;
};

/** What the configuration and the VM list say about an endpoint. */
struct EndpointState {
  bool drained = false;  // its domain or the endpoint itself is drained
  bool leaving = false;
  friend auto operator<=>(const EndpointState&, const EndpointState&) = default;
};

using SendMessage = OutgoingMessage;

/** Ends a stream, import or export at the engine; an unknown id is no error. */
struct CancelEngineStream {
  std::string stream_id;
  EngineStreamKind kind = EngineStreamKind::kStream;
  friend auto operator<=>(const CancelEngineStream&,
                          const CancelEngineStream&) = default;
};

/** Asks the engine for its stream list; the answer goes to OnStreamList. */
struct RequestStreamList {
  friend auto operator<=>(const RequestStreamList&,
                          const RequestStreamList&) = default;
};

/** The endpoint died while these calls were in progress. */
struct ReportSuspects {
  std::vector<Suspect> suspects;
  friend auto operator<=>(const ReportSuspects&,
                          const ReportSuspects&) = default;
};

using OwnerAction = std::variant<SendMessage, CancelEngineStream,
                                 RequestStreamList, ReportSuspects>;
using OwnerActions = std::vector<OwnerAction>;

/** Figures of an owner for the operator API and metrics. */
struct OwnerSnapshot {
  EndpointId endpoint;
  BootNumber boot;
  bool accepts_new = false;
  bool taking_over = false;
  bool drained = false;
  bool leaving = false;
  bool reachable = false;
  int64_t granted = 0;     // entries of the grant table
  int64_t running = 0;     // of these, listed as started
  int64_t cancelling = 0;  // of these, reclaimed and not yet confirmed as ended
  int64_t queued = 0;
  int64_t own_limit = 0;  // concurrent requests that this owner may grant
  int64_t foreign_requests = 0;
  TokenCount kv_capacity;  // as the engine reports it
  TokenCount kv_limit;     // less margin and foreign load
  TokenCount kv_reserved;
  TokenCount kv_foreign;
  uint64_t completed = 0;  // since the last reset of the slow start
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second =
      0;  // of one stream at the present batch size
  // Counters since the creation of the owner.
  uint64_t grants = 0;
  uint64_t refused_busy = 0;
  uint64_t refused_deadline = 0;
  uint64_t refused_other = 0;
  uint64_t reclaimed = 0;
  uint64_t foreign_cancelled = 0;
};

/** A stream that an owner knows, for callers that reconnect. */
struct KnownStream {
  StreamKey key;
  TeamId team;
  VmId holder;
  bool started = false;
};

}  // namespace zr
