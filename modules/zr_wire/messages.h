#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Identifies the sender of a message and orders the sender's messages. */
struct SenderStamp {
  VmId vm;
  Incarnation incarnation;
  uint64_t sequence = 0;  // increases with each message of an incarnation
  friend auto operator<=>(const SenderStamp&, const SenderStamp&) = default;
};

/** A team's use of its limits on one VM. */
struct TeamDemand {
  TeamId team;
  int64_t tokens_per_second = 0;  // offered load of the last seconds
  TokenCount kv_held;
  friend auto operator<=>(const TeamDemand&, const TeamDemand&) = default;
};

/** Offered load of one pool on one VM, split by prompt length. */
struct PoolDemand {
  PoolId pool;
  int64_t short_tokens_per_second = 0;
  int64_t long_tokens_per_second = 0;
  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/** Sent to each linked VM every heartbeat period. VMs relay it if the number
 * of links is bounded. */
struct Heartbeat {
  SenderStamp origin;  // the VM that the heartbeat describes
  DomainId domain;
  std::string region;
  std::string peer_address;  // "ip:port" of the origin's peer listener
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;
  std::string config_digest;  // hex SHA-256
  uint32_t hops = 0;          // relays so far
  std::vector<TeamDemand> team_demand;
  std::vector<PoolDemand> pool_demand;
  uint32_t weight = 1;  // relative share of endpoints to own, at least 1
  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/** State of an endpoint, published by the VM that owns it. */
struct EndpointSummary {
  EndpointId endpoint;
  PoolId pool;
  DomainId domain;
  VmId owner;
  Incarnation owner_incarnation;
  uint64_t sequence = 0;  // increases with each summary of the incarnation
  bool accepts_new = false;
  TokenCount kv_free;
  TokenCount kv_capacity;
  Duration wait_short;  // expected wait of a short prompt
  Duration wait_long;   // expected wait of a long prompt
  std::vector<PrefixHash> prefixes;
  int64_t prefill_tokens_per_second = 0;  // measured, 0 if unknown
  BootNumber boot;                        // of the endpoint
  bool warm = false;  // has completed enough work since this boot
  friend auto operator<=>(const EndpointSummary&,
                          const EndpointSummary&) = default;
};

/** Sent by an ingress to the owner of an endpoint to request admission. */
struct AdmissionRequest {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  PoolId pool;
  TeamId team;
  ClassId request_class;
  TokenCount prompt;      // tokens of the whole prompt
  TokenCount max_answer;  // upper bound on the tokens of the answer
  Duration time_left;     // until the deadline, when sent
  Fingerprint fingerprint;
  bool run_alone = false;      // suspect: no other call may run on the endpoint
  bool queue_if_busy = false;  // false: refuse with kBusy instead of queueing
  bool plain_service = false;  // call to a plain service; token counts are 0
  std::vector<PrefixHash>
      prefixes;  // hashes of the prompt's prefix blocks, shortest first
  friend auto operator<=>(const AdmissionRequest&,
                          const AdmissionRequest&) = default;
};

/**
 * An additional endpoint of a gathered run. Such a run reserves memory on
 * several endpoints, because its request does not fit on one.
 */
struct GatherMember {
  EndpointId endpoint;
  GrantNumber number;
  VmId owner;
  Incarnation owner_incarnation;
  TokenCount kv_tokens;
  friend auto operator<=>(const GatherMember&, const GatherMember&) = default;
};

/** Sent by the owner to admit an attempt. */
struct Grant {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  VmId owner;
  Incarnation owner_incarnation;
  TokenCount kv_tokens;   // reserved
  Duration start_within;  // the grant expires if the call starts later
  int32_t priority = 0;   // passed to the engine; higher runs sooner
  BootNumber boot;        // of the endpoint, as known to the owner
  std::vector<GatherMember>
      members;  // the other endpoints of a gathered run, otherwise empty
  friend auto operator<=>(const Grant&, const Grant&) = default;
};

enum class RefusalReason : uint8_t {
  kBusy,          // cannot start soon; wait_hint is the expected wait
  kDeadline,      // cannot finish before the deadline
  kNotOwner,      // the receiver does not own the endpoint
  kNotAccepting,  // draining, leaving or not live
  kTooLarge,      // does not fit on the endpoint even when it is idle
  kTeamLimit,     // the team's limit is exhausted
  kSuspect,       // the fingerprint has crashed two endpoints
};

/** Sent by the owner to refuse an attempt. The attempt has not run. */
struct Refusal {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  RefusalReason reason = RefusalReason::kBusy;
  Duration wait_hint;  // expected wait, for kBusy
  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

enum class ReleaseOutcome : uint8_t {
  kCompleted,        // the stream ended normally
  kCancelled,        // the stream was cancelled at the engine
  kNeverStarted,     // nothing was sent to the endpoint
  kEndpointFailed,   // the connection broke; the engine's state is unknown
  kEndpointRefused,  // the endpoint reported that it did not run the call
};

/** Sent by the holder of a grant to release it. */
struct GrantRelease {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  ReleaseOutcome outcome = ReleaseOutcome::kCompleted;
  TokenCount prompt;     // prefilled tokens
  TokenCount answered;   // generated tokens
  Duration run_time;     // from start to end of the call
  Duration first_token;  // from start to the first token, 0 if unknown
  friend auto operator<=>(const GrantRelease&, const GrantRelease&) = default;
};

/** A grant with the state of its run, as known to the holder. */
struct HeldGrant {
  RequestId request;
  AttemptNumber attempt;
  GrantNumber number;
  VmId owner;
  Incarnation owner_incarnation;
  TokenCount kv_tokens;
  TokenCount prompt;
  Fingerprint fingerprint;
  bool long_prompt = false;
  bool started = false;
  // Set only for the additional members of a gathered run: the endpoint that
  // streams the answer, and the stream id.
  EndpointId gather_endpoint;
  std::string gather_stream;
  bool generating = false;  // the first token has arrived
  BootNumber boot;          // of the endpoint, from the grant
  friend auto operator<=>(const HeldGrant&, const HeldGrant&) = default;
};

/** All grants of a holder on one endpoint; sent repeatedly while it holds
 * any. */
struct HeldGrants {
  SenderStamp holder;
  EndpointId endpoint;
  std::vector<HeldGrant> grants;
  friend auto operator<=>(const HeldGrants&, const HeldGrants&) = default;
};

/** Sent by the ingress to withdraw an AdmissionRequest. */
struct CancelAdmission {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  friend auto operator<=>(const CancelAdmission&,
                          const CancelAdmission&) = default;
};

/** Reports a request that was in progress on an endpoint when it crashed. */
struct Suspect {
  Fingerprint fingerprint;
  EndpointId endpoint;
  BootNumber boot;  // identifies the crash together with the endpoint
  Duration age;     // time since the crash
  friend auto operator<=>(const Suspect&, const Suspect&) = default;
};

/** Asks a VM whether it holds or can locate the stream of a request. */
struct StreamLookup {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  bool claim = false;  // to the locator: if there is no stream, the sender
                       // will run the request
  std::string stream;  // engine stream that the caller has received part of;
                       // empty for any
  friend auto operator<=>(const StreamLookup&, const StreamLookup&) = default;
};

/** Reply to StreamLookup. */
struct StreamLocation {
  RequestId request;
  bool found = false;
  TeamId team;
  EndpointId endpoint;
  std::string stream;  // the engine's stream id
  AttemptNumber attempt;
  VmId holder;  // the VM that reads the stream, empty if that VM failed
  Fingerprint fingerprint;
  bool conflict =
      false;          // the id is in use by another team or for another prompt
  bool done = false;  // the engine has generated the whole answer
  bool authoritative = false;  // if not found: the sender would know of any run
  std::vector<Grant>
      grants;  // of the run, if known; several for a gathered run
  friend auto operator<=>(const StreamLocation&,
                          const StreamLocation&) = default;
};

/** Items of a document: some that the receiver has, then new ones. */
struct DocumentPiece {
  uint32_t first = 0;  // of the items that are copied from the base
  uint32_t count = 0;
  std::vector<std::string> inserted;
  friend auto operator<=>(const DocumentPiece&, const DocumentPiece&) = default;
};

/** How to make a document from one that the receiver has; see ConfigDocument.
 */
struct DocumentDelta {
  uint64_t base = 0;            // digest; 0 for a whole document
  uint64_t target = 0;          // digest
  uint64_t stored_version = 0;  // of the document that the sender last read at
                                // the store
  std::vector<DocumentPiece> pieces;
  friend auto operator<=>(const DocumentDelta&, const DocumentDelta&) = default;
};

/** A configuration document with its version. */
struct ConfigOffer {
  ObjectVersion version;
  std::string digest;    // hex SHA-256 of the document; empty for none
  std::string document;  // INI text; empty if there is a delta
  std::vector<DocumentDelta> deltas;  // of an entry VM: one, else none
  friend auto operator<=>(const ConfigOffer&, const ConfigOffer&) = default;
};

/** The version of the configuration that the sender has in force. */
struct ConfigNotice {
  uint64_t version = 0;  // 0 if there is none
  friend auto operator<=>(const ConfigNotice&, const ConfigNotice&) = default;
};

/** Asks a VM for a configuration of at least the given version. */
struct ConfigFetch {
  ObjectVersion min_version;
  uint64_t base = 0;  // digest of the document that the sender has
  friend auto operator<=>(const ConfigFetch&, const ConfigFetch&) = default;
};

/** Sent by the coordinator of a gathered run to an owner to reserve memory on
 * a member endpoint. */
struct GatherReserve {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  TokenCount kv_tokens;
  Duration ttl;  // the reservation expires then unless confirmed
  friend auto operator<=>(const GatherReserve&, const GatherReserve&) = default;
};

/** Reply to GatherReserve. */
struct GatherReply {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  bool reserved = false;
  GrantNumber number;
  Duration wait_hint;
  Incarnation owner_incarnation;
  friend auto operator<=>(const GatherReply&, const GatherReply&) = default;
};

/** Releases an unused reservation of a gathered run. */
struct GatherRelease {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  friend auto operator<=>(const GatherRelease&, const GatherRelease&) = default;
};

/** Asks the VM that holds a request to transfer its stream to the sender. */
struct TakeoverRequest {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  std::string stream;  // transfer only this engine stream; empty for any
  friend auto operator<=>(const TakeoverRequest&,
                          const TakeoverRequest&) = default;
};

/** Reply to TakeoverRequest. It transfers ownership of the grants and the
 * stream to the receiver. */
struct TakeoverReply {
  RequestId request;
  bool accepted = false;  // false: the sender does not hold the request
  bool conflict =
      false;  // the id is in use by another team or for another prompt
  bool may_have_run = false;   // an attempt was sent to an endpoint
  bool run_alone = false;      // the request is a suspect
  AttemptNumber next_attempt;  // number of the receiver's first own attempt
  std::string stream;  // the engine's stream id, empty if no run is in progress
  std::vector<Grant> grants;  // the first one is for the endpoint that streams
  friend auto operator<=>(const TakeoverReply&, const TakeoverReply&) = default;
};

/** Acquires, renews or releases the exclusive right to run a suspect. Sent to
 * the locator of its fingerprint. */
struct SuspectLeaseRequest {
  Fingerprint fingerprint;
  RequestId request;
  bool renewal = false;   // the run is in progress and the lease is renewed
  bool released = false;  // the run has ended
  bool completed =
      false;  // if released: the run completed, so it is no suspect any more
  friend auto operator<=>(const SuspectLeaseRequest&,
                          const SuspectLeaseRequest&) = default;
};

/** Decision of the locator VM on running a suspect. */
enum class LeaseDecision : uint8_t {
  kGranted,  // may run, with no other call on the endpoint
  kWait,     // another run of the fingerprint is or may be in progress
  kRefused,  // the fingerprint has crashed two endpoints
  kClear,    // not a suspect any more; runs as usual
};

/** Reply to SuspectLeaseRequest. */
struct SuspectLeaseReply {
  Fingerprint fingerprint;
  RequestId request;
  LeaseDecision decision = LeaseDecision::kWait;
  Duration wait_hint;  // for kWait
  friend auto operator<=>(const SuspectLeaseReply&,
                          const SuspectLeaseReply&) = default;
};

/** Binary data, encoded as a CBOR byte string. */
struct ByteString {
  std::string bytes;
  friend auto operator<=>(const ByteString&, const ByteString&) = default;
};

/** State of one VM as known to the sender of a digest. */
struct VmRecord {
  VmId vm;
  Incarnation incarnation;
  DomainId domain;
  std::string region;
  std::string peer_address;
  uint32_t weight = 1;
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;
  uint64_t heartbeat_tick =
      0;         // newest known reading of the VM's own clock, in 125 ms
  Duration age;  // of that reading, as estimated by the sender
  friend auto operator<=>(const VmRecord&, const VmRecord&) = default;
};

/**
 * Gossip message, sent if the number of links is bounded. Without a roster it
 * is a heartbeat that describes its sender only.
 *
 * `states` holds two bytes for each VM of the roster, which is sorted by name:
 * the lower 14 bits of its newest known heartbeat tick, ready, leaving. A tick
 * is a reading of the VM's own clock, so the state of a failed VM does not
 * become fresher by being relayed. `version_indexes` holds two bits for each
 * VM, which select an entry of `versions`; 3 stands for an older version.
 */
struct MembershipDigest {
  SenderStamp sender;
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;  // of the sender
  uint64_t heartbeat_tick = 0;   // of the sender
  bool wants_records = false;  // the receiver should reply with all its records
  uint64_t roster_hash =
      0;  // hash of all names and incarnations, 0 in a heartbeat
  std::string config_digest;  // of the sender's version, hex SHA-256; empty in
                              // a heartbeat
  ByteString states;
  std::vector<ObjectVersion> versions;  // newest first, at most 3
  ByteString version_indexes;
  std::vector<VmRecord> records;  // recently updated ones, or all
  friend auto operator<=>(const MembershipDigest&,
                          const MembershipDigest&) = default;
};

/** Asks the dispatcher of a pool to choose the endpoints of a call. */
struct DispatchRequest {
  RequestId request;
  AttemptNumber call_number;  // of the request
  PoolId pool;
  TokenCount prompt;
  TokenCount max_answer;
  Duration objective;                // time left of the latency objective
  Duration max_gap;                  // longest pause that the caller tolerates
  Duration time_left;                // until the deadline
  std::vector<EndpointId> excluded;  // already tried
  bool deferred = false;             // the dispatcher deferred it earlier
  TeamId team;                       // empty on anonymous routes
  DomainId domain;                   // of the VM that has the caller
  int32_t priority = 0;              // 0 is the most urgent
  Duration waited;                   // since the request arrived at its VM
  Fingerprint fingerprint{0};        // the same for a repeat; 0: not known
  bool reads_grants = false;         // a second reply may follow a queued one
  friend auto operator<=>(const DispatchRequest&,
                          const DispatchRequest&) = default;
};

/** The dispatcher's reply to a DispatchRequest. */
struct DispatchReply {
  RequestId request;
  AttemptNumber call_number;
  EndpointId endpoint;  // empty: no endpoint accepts the call
  std::vector<EndpointId> helpers;
  uint32_t kv_holders =
      0;  // number of helpers that keep their segment in memory
  TokenCount kv_per_holder;  // memory at each of them
  uint32_t prefill_us = 0;   // prefill time of each segment of the prompt
  Duration forecast;         // time to first token
  Duration retry_after;      // if no endpoint accepts the call
  Duration defer_for;        // if above 0, the call is deferred; ask again then
  bool deadline_unreachable = false;  // can't be answered before its deadline
  bool queued = false;  // waits; another reply follows, with a grant or refusal
  Duration expected_wait;  // if it is queued or was refused
  friend auto operator<=>(const DispatchReply&, const DispatchReply&) = default;
};

/** Progress of a dispatched call. */
enum class CallStage : uint8_t {
  kPrefillDone,  // the first token arrived
  kEnded,        // the endpoint no longer works on the call
};

/** Result of a call, as evidence of the endpoint's health. */
enum class CallResult : uint8_t {
  kAnswered,          // a valid answer
  kRejected,          // the endpoint is up but full
  kErrorAnswer,       // an error status of the endpoint
  kConnectionBroken,  // the connection failed or broke, or the answer was
                      // corrupt
  kTimedOut,          // no data within the time-out
  kMisdirected,       // the address belongs to another endpoint by now
  kAborted,           // ended by the caller or the deadline; says nothing
};

/** Reports the progress of a call to the dispatcher. */
struct CallProgress {
  RequestId request;
  AttemptNumber call_number;
  PoolId pool;
  CallStage stage = CallStage::kEnded;
  CallResult result = CallResult::kAnswered;  // valid with kEnded
  Duration elapsed;          // from the call to its first event or its end
  Duration longest_pause;    // between two events; valid with kEnded
  Duration pause_ended_ago;  // end of that pause
  friend auto operator<=>(const CallProgress&, const CallProgress&) = default;
};

/** A call in progress, reported to a new dispatcher. */
struct InFlightCall {
  RequestId request;
  AttemptNumber call_number;
  EndpointId endpoint;
  std::vector<EndpointId>
      helpers;  // after prefill only those that keep their segment in memory
  uint32_t kv_holders = 0;
  TokenCount kv_per_holder;  // memory at each of them
  uint32_t prefill_us = 0;   // 0 after prefill
  TokenCount kv_tokens;
  Duration max_gap;
  Duration time_left;
  uint64_t value = 0;  // weight of the whole call against other calls
  friend auto operator<=>(const InFlightCall&, const InFlightCall&) = default;
};

/** Load that an endpoint has been found to take. */
struct EndpointAllowance {
  EndpointId endpoint;
  BootNumber boot;
  uint32_t calls = 0;            // at once
  uint32_t calls_per_1000s = 0;  // started; 0 if not limited
  friend auto operator<=>(const EndpointAllowance&,
                          const EndpointAllowance&) = default;
};

/** All calls of a VM in a pool; replaces the list that the dispatcher has. */
struct InFlightCalls {
  PoolId pool;
  std::vector<InFlightCall> calls;
  std::vector<EndpointAllowance> allowances;
  friend auto operator<=>(const InFlightCalls&, const InFlightCalls&) = default;
};

/** Store version up to which a VM knows the objects of one kind. */
struct KindVersion {
  std::string kind;
  ObjectVersion version;  // all changes up to it are known
  bool store_unreachable =
      false;            // the VM can't read changes from the store itself
  StoreEra era;         // of `version`
  uint64_t digest = 0;  // of the sender's document, if the kind has one

  StorePosition position() const { return {era, version}; }

  friend auto operator<=>(const KindVersion&, const KindVersion&) = default;
};

/** Asks a VM that watches the store for recent changes. */
struct StoreQuery {
  uint64_t query_id = 0;  // copied into the reply
  std::vector<KindVersion> known;
  friend auto operator<=>(const StoreQuery&, const StoreQuery&) = default;
};

/** A store object, relayed by a VM that has read it. */
struct RelayedObject {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;
  friend auto operator<=>(const RelayedObject&, const RelayedObject&) = default;
};

/** Changes to the objects of one kind, as read by the replying VM. */
struct KindUpdate {
  std::string kind;
  ObjectVersion version;  // store version up to which all changes are known
  ObjectVersion
      last_changed;  // version of the kind's last change, or a later one
  bool store_reachable = false;  // the replying VM can reach the store
  Duration age;              // since the start of the call that verified this
  bool has_objects = false;  // false: changes must be read from the store
  bool complete = false;     // `objects` holds all objects of the kind
  std::vector<RelayedObject> objects;
  StoreEra era;                       // of all versions
  std::vector<DocumentDelta> deltas;  // one if it holds the changes, else none

  StorePosition position() const { return {era, version}; }
  StorePosition last_change() const { return {era, last_changed}; }

  friend auto operator<=>(const KindUpdate&, const KindUpdate&) = default;
};

/** Reply to a StoreQuery. */
struct StoreUpdate {
  uint64_t query_id = 0;
  std::vector<KindUpdate> kinds;
  friend auto operator<=>(const StoreUpdate&, const StoreUpdate&) = default;
};

/** What of a request may crash endpoints: the request as a whole, or a part of
 * its prompt that other requests may share. */
struct CrashSuspect {
  /** Specificity of a whole request, above that of all parts. */
  static constexpr uint32_t kWholeRequest = UINT32_MAX;

  Fingerprint fingerprint;
  uint32_t specificity = 0;  // of a part: its position in the prompt

  bool IsWholeRequest() const { return specificity == kWholeRequest; }

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

/** An endpoint seems to have crashed; see CrashAttribution. */
struct SuspectedCrash {
  EndpointId endpoint;
  BootNumber boot;  // identifies the crash together with the endpoint
  Duration age;     // since the crash was observed
  std::vector<CrashSuspect> suspects;  // see CrashAttribution
  friend auto operator<=>(const SuspectedCrash&,
                          const SuspectedCrash&) = default;
};

/** An endpoint has answered, which clears the suspect of crashes before. */
struct AnsweredSuspect {
  Fingerprint fingerprint;
  Duration age;
  friend auto operator<=>(const AnsweredSuspect&,
                          const AnsweredSuspect&) = default;
};

/** The endpoint sent a part of an answer. */
struct LiveEndpoint {
  EndpointId endpoint;
  BootNumber boot;
  Duration age;
  friend auto operator<=>(const LiveEndpoint&, const LiveEndpoint&) = default;
};

/** Observations from which CrashAttribution finds what crashes endpoints. */
struct CrashEvidence {
  std::vector<SuspectedCrash> crashes;
  std::vector<AnsweredSuspect> answered;
  std::vector<LiveEndpoint> live;
  friend auto operator<=>(const CrashEvidence&, const CrashEvidence&) = default;
};

/** Whether an answer of an endpoint named a limit; see EndpointLimits. */
struct LimitObservation {
  static constexpr double kRatePeriodS = 1000;  // seconds

  EndpointId endpoint;
  BootNumber boot;
  bool limited = false;
  uint64_t requests_per_1000_s = 0;  // of all VMs together, if limited
  Duration age;                      // since the answer
  friend auto operator<=>(const LimitObservation&,
                          const LimitObservation&) = default;
};

/** An endpoint has said in an answer that it leaves or wants a pause; see
 * EndpointNotices. */
struct EndpointNotice {
  EndpointId endpoint;
  BootNumber boot;
  bool leaving = false;
  Duration pause_left;  // the endpoint wants no requests before its end
  friend auto operator<=>(const EndpointNotice&,
                          const EndpointNotice&) = default;
};

/** Reports changes of the limits that endpoints name, and their notices. */
struct LimitReport {
  std::vector<LimitObservation> observations;
  std::vector<EndpointNotice> notices;
  friend auto operator<=>(const LimitReport&, const LimitReport&) = default;
};

/** Tells the services whose endpoints a VM can't reach itself. */
struct PathReport {
  VmId vm;
  uint64_t number = 0;          // of the VM's reports; the highest counts
  std::vector<PoolId> cut_off;  // services; empty if there are none any more
  bool reads_advice = false;    // the VM understands PathAdvice
  friend auto operator<=>(const PathReport&, const PathReport&) = default;
};

/** Names VMs that have not reported that they can't reach a service's
 * endpoints, for a VM that has. */
struct PathAdvice {
  PoolId service;
  std::vector<VmId> vms;
  friend auto operator<=>(const PathAdvice&, const PathAdvice&) = default;
};

/** Any message between entry VMs. The order of the alternatives is part of the
 * wire format. */
using Message =
    std::variant<Heartbeat, EndpointSummary, AdmissionRequest, Grant, Refusal,
                 GrantRelease, HeldGrants, CancelAdmission, Suspect,
                 StreamLookup, StreamLocation, ConfigOffer, ConfigFetch,
                 GatherReserve, GatherReply, GatherRelease, TakeoverRequest,
                 TakeoverReply, SuspectLeaseRequest, SuspectLeaseReply,
                 MembershipDigest, DispatchRequest, DispatchReply, CallProgress,
                 InFlightCalls, StoreQuery, StoreUpdate, CrashEvidence,
                 LimitReport, ConfigNotice, PathReport, PathAdvice>;

/** A message and its destination. */
struct OutgoingMessage {
  VmId to;
  Message message;
  friend auto operator<=>(const OutgoingMessage&,
                          const OutgoingMessage&) = default;
};

}  // namespace zr
