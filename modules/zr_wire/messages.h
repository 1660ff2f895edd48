#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Identifies a message's sender and orders the sender's messages. */
struct SenderStamp {
  VmId vm;
  Incarnation incarnation;
  uint64_t sequence = 0;  // rises with each message of an incarnation
  friend auto operator<=>(const SenderStamp&, const SenderStamp&) = default;
};

/** A team's use of its limits at one VM. */
struct TeamDemand {
  TeamId team;
  int64_t tokens_per_second = 0;  // offered in the last seconds
  TokenCount kv_held;
  friend auto operator<=>(const TeamDemand&, const TeamDemand&) = default;
};

/** Offered load of one pool at one VM, split by prompt length. */
struct PoolDemand {
  PoolId pool;
  int64_t short_tokens_per_second = 0;
  int64_t long_tokens_per_second = 0;
  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/** Sent to each linked VM every heartbeat period; relayed when links are
 * bounded. */
struct Heartbeat {
  SenderStamp origin;  // the VM that the heartbeat is about
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
  uint32_t weight = 1;  // relative share of endpoints to own, from 1
  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/** Published by an owner for each of its endpoints. */
struct Summary {
  EndpointId endpoint;
  PoolId pool;
  DomainId domain;
  VmId owner;
  Incarnation owner_incarnation;
  uint64_t sequence = 0;  // rises with each summary of an owner's incarnation
  bool accepts_new = false;
  TokenCount kv_free;
  TokenCount kv_capacity;
  Duration wait_short;  // expected wait of a short prompt
  Duration wait_long;   // expected wait of a long prompt
  std::vector<PrefixHash> prefixes;
  int64_t prefill_tokens_per_second = 0;  // as observed, 0 if unknown
  BootNumber boot;                        // of the endpoint
  bool warm = false;  // the endpoint completed enough work since this boot
  friend auto operator<=>(const Summary&, const Summary&) = default;
};

/** An ingress asks the owner of an endpoint for admission. */
struct AdmissionRequest {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  PoolId pool;
  TeamId team;
  ClassId request_class;
  TokenCount prompt;      // tokens of the whole prompt
  TokenCount max_answer;  // bound on the answer's tokens
  Duration time_left;     // until the deadline, at sending
  Fingerprint fingerprint;
  bool run_alone = false;      // suspect: nothing else may run on the endpoint
  bool queue_if_busy = false;  // false: answer "busy" in place of queueing
  bool plain_service = false;  // a call of a plain service; token counts are 0
  std::vector<PrefixHash>
      prefixes;  // hashes of the prompt's prefix blocks, shortest first
  friend auto operator<=>(const AdmissionRequest&,
                          const AdmissionRequest&) = default;
};

/** A part of a gather: memory reserved on one more endpoint. */
struct GatherMember {
  EndpointId endpoint;
  GrantNumber number;
  VmId owner;
  Incarnation owner_incarnation;
  TokenCount kv_tokens;
  friend auto operator<=>(const GatherMember&, const GatherMember&) = default;
};

/** The owner admits an attempt. */
struct Grant {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  VmId owner;
  Incarnation owner_incarnation;
  TokenCount kv_tokens;   // reserved
  Duration start_within;  // void if the call has not started by then
  int32_t priority = 0;   // passed to the engine; higher is sooner
  BootNumber boot;        // the endpoint's boot number as the owner knows it
  std::vector<GatherMember>
      members;  // of a gather: the other endpoints, empty otherwise
  friend auto operator<=>(const Grant&, const Grant&) = default;
};

enum class RefusalReason : uint8_t {
  kBusy,          // cannot start soon; wait_hint tells when
  kDeadline,      // cannot finish before the deadline
  kNotOwner,      // the receiver does not own the endpoint
  kNotAccepting,  // draining, leaving or not live
  kTooLarge,      // does not fit the endpoint even when empty
  kTeamLimit,     // the team's limit is used up
  kSuspect,       // the fingerprint has crashed two endpoints
};

/** The owner refuses an attempt; nothing was run. */
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
  kNeverStarted,     // no byte was sent to the endpoint
  kEndpointDied,     // the connection broke; the engine's state is unknown
  kEndpointRefused,  // the endpoint answered that it did not run the call
};

/** The holder of a grant gives it back. */
struct Release {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  ReleaseOutcome outcome = ReleaseOutcome::kCompleted;
  TokenCount prompt;     // prefilled
  TokenCount answered;   // generated
  Duration run_time;     // from start to end of the call
  Duration first_token;  // from start to the first token, 0 if not known
  friend auto operator<=>(const Release&, const Release&) = default;
};

/** A grant as its holder knows it. */
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
  // Only for the further members of a gathered run: where it streams, and its
  // stream id.
  EndpointId gather_endpoint;
  std::string gather_stream;
  bool generating = false;  // the first token has arrived
  BootNumber boot;          // of the endpoint, from the grant
  friend auto operator<=>(const HeldGrant&, const HeldGrant&) = default;
};

/** The full list of a holder's grants on one endpoint, repeated while any is
 * held. */
struct HeldGrants {
  SenderStamp holder;
  EndpointId endpoint;
  std::vector<HeldGrant> grants;
  friend auto operator<=>(const HeldGrants&, const HeldGrants&) = default;
};

/** The ingress no longer wants an admission that it asked for. */
struct CancelAdmission {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  friend auto operator<=>(const CancelAdmission&,
                          const CancelAdmission&) = default;
};

/** A request that was in progress on an endpoint that died. */
struct Suspect {
  Fingerprint fingerprint;
  EndpointId endpoint;
  BootNumber boot;  // with the endpoint, names one death
  Duration age;     // since the death
  friend auto operator<=>(const Suspect&, const Suspect&) = default;
};

/** Asks a VM whether it holds or knows the stream of a request. */
struct FindStream {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  bool claim = false;  // to the locator: if nothing is found, the sender will
                       // run the request
  std::string
      stream;  // the engine stream that the caller has a part of, empty for any
  friend auto operator<=>(const FindStream&, const FindStream&) = default;
};

/** Answer to FindStream. */
struct StreamLocation {
  RequestId request;
  bool found = false;
  TeamId team;
  EndpointId endpoint;
  std::string stream;  // the engine's stream id
  AttemptNumber attempt;
  VmId holder;  // the VM that reads the stream, empty if it died
  Fingerprint fingerprint;
  bool conflict =
      false;          // the id is in use by another team or for another prompt
  bool done = false;  // the engine generated the whole answer
  bool certain = false;  // with found = false: the sender would know of any run
  std::vector<Grant>
      grants;  // of the run, if known; several for a gathered run
  friend auto operator<=>(const StreamLocation&,
                          const StreamLocation&) = default;
};

/** A configuration document with its version. */
struct ConfigOffer {
  ObjectVersion version;
  std::string digest;    // hex SHA-256 of the document
  std::string document;  // INI text
  friend auto operator<=>(const ConfigOffer&, const ConfigOffer&) = default;
};

/** Asks a VM for a configuration at least as new as the given version. */
struct ConfigFetch {
  ObjectVersion at_least;
  friend auto operator<=>(const ConfigFetch&, const ConfigFetch&) = default;
};

/** The coordinator of a gather asks an owner to reserve a member's memory. */
struct GatherReserve {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  TokenCount kv_tokens;
  Duration hold_for;  // the reservation lapses unless confirmed
  friend auto operator<=>(const GatherReserve&, const GatherReserve&) = default;
};

/** Answer to GatherReserve. */
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

/** Returns a gather reservation that is not used. */
struct GatherRelease {
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  GrantNumber number;
  friend auto operator<=>(const GatherRelease&, const GatherRelease&) = default;
};

/** Asks the VM that holds a request to hand its stream over to the sender. */
struct TakeOver {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  std::string stream;  // hand over this engine stream only; empty for any
  friend auto operator<=>(const TakeOver&, const TakeOver&) = default;
};

/** Answer to TakeOver; with it the grants and the stream belong to the
 * receiver. */
struct HandOver {
  RequestId request;
  bool accepted = false;  // false: the sender does not hold the request
  bool conflict =
      false;  // the id is in use by another team or for another prompt
  bool may_have_run = false;   // an attempt was sent to an endpoint
  bool run_alone = false;      // the run is one of a suspect
  AttemptNumber next_attempt;  // the receiver counts on from here
  std::string stream;  // the engine's stream id, empty if no run is in progress
  std::vector<Grant> grants;  // the first is of the endpoint that streams
  friend auto operator<=>(const HandOver&, const HandOver&) = default;
};

/** Asks the locator of a fingerprint for the right to run a suspect, renews or
 * returns it. */
struct SuspectTurn {
  Fingerprint fingerprint;
  RequestId request;
  bool holding = false;   // the run is in progress: renewal
  bool returned = false;  // the run has ended
  bool harmless =
      false;  // with returned: the run completed, so the suspicion is unfounded
  friend auto operator<=>(const SuspectTurn&, const SuspectTurn&) = default;
};

/** Answer of the locator VM to a suspect that wants to run. */
enum class TurnAnswer : uint8_t {
  kGranted,  // may run, alone
  kWait,     // another run of the fingerprint is or may be in progress
  kRefused,  // two deaths are known
  kClear,    // not a suspect any more; runs as usual
};

/** Answer to SuspectTurn. */
struct SuspectTurnReply {
  Fingerprint fingerprint;
  RequestId request;
  TurnAnswer answer = TurnAnswer::kWait;
  Duration wait_hint;  // for kWait
  friend auto operator<=>(const SuspectTurnReply&,
                          const SuspectTurnReply&) = default;
};

/** Octets; encoded as a CBOR byte string. */
struct ByteString {
  std::string bytes;
  friend auto operator<=>(const ByteString&, const ByteString&) = default;
};

/** What the sender of a digest knows about one VM. */
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
  uint64_t beat = 0;  // newest known, in units of 125 ms of the VM's own clock
  Duration age;       // since that beat, as the sender estimates it
  friend auto operator<=>(const VmRecord&, const VmRecord&) = default;
};

/**
 * Sent on bounded links. Without a roster it is a beat that tells of its sender
 * only.
 *
 * `states` holds two octets for each VM of the roster, which is sorted by name:
 * the lower 14 bits of its newest known beat, ready, leaving. A beat is a
 * reading of the VM's own clock, so news of a dead VM does not become fresher
 * while it is passed around. `version_indexes` holds two bits for each VM,
 * which select an entry of `versions`; 3 stands for an older version.
 */
struct MembershipDigest {
  SenderStamp sender;
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;  // of the sender
  uint64_t beat = 0;             // of the sender
  bool wants_records =
      false;            // the receiver should answer with all its records
  uint64_t roster = 0;  // hash of all names and incarnations, 0 for a beat
  std::string
      config_digest;  // of the sender's version, hex SHA-256; empty in a beat
  ByteString states;
  std::vector<ObjectVersion> versions;  // newest first, at most 3
  ByteString version_indexes;
  std::vector<VmRecord> records;  // learnt recently, or all
  friend auto operator<=>(const MembershipDigest&,
                          const MembershipDigest&) = default;
};

/** Asks the dispatcher of a pool where to send a call. */
struct PlaceCall {
  RequestId request;
  AttemptNumber call;  // of the request
  PoolId pool;
  TokenCount prompt;
  TokenCount max_answer;
  Duration objective;                // left until the answer is late
  Duration gap;                      // longest pause that the caller tolerates
  Duration time_left;                // until the deadline
  std::vector<EndpointId> excluded;  // already tried
  bool waited = false;               // asked before and told to wait
  friend auto operator<=>(const PlaceCall&, const PlaceCall&) = default;
};

/** The dispatcher's answer to a PlaceCall. */
struct CallPlaced {
  RequestId request;
  AttemptNumber call;
  EndpointId endpoint;  // empty: no endpoint takes the call
  std::vector<EndpointId> helpers;
  uint32_t holders = 0;  // of the helpers, those that keep their part in memory
  TokenCount reserved;   // memory of each holder
  uint32_t part_us = 0;  // reading time of each part
  Duration forecast;     // until the first token
  Duration retry_after;  // if no endpoint takes the call
  Duration ask_again;    // above 0: others go first; ask again after this
  bool hopeless = false;  // it can't be answered before its deadline
  friend auto operator<=>(const CallPlaced&, const CallPlaced&) = default;
};

/** How a placed call goes on. */
enum class CallStage : uint8_t {
  kPromptRead,  // the first token arrived
  kEnded,       // the endpoint is free of it
};

/** What a call showed about its endpoint. */
enum class CallSign : uint8_t {
  kAnswered,     // a sound answer
  kRejected,     // full; it runs, but takes nothing more just now
  kErrorAnswer,  // an error status of its own
  kBroken,       // the connection failed or broke, or the answer was spoilt
  kSilent,       // no sign of life within the bound
  kMisdirected,  // another endpoint has the address
  kAborted,      // ended by the caller or the deadline; shows nothing
};

/** Tells the dispatcher how a call goes on. */
struct CallProgress {
  RequestId request;
  AttemptNumber call;
  PoolId pool;
  CallStage stage = CallStage::kEnded;
  CallSign sign = CallSign::kAnswered;  // with kEnded
  friend auto operator<=>(const CallProgress&, const CallProgress&) = default;
};

/** A call in progress, told to a new dispatcher. */
struct HeldCall {
  RequestId request;
  AttemptNumber call;
  EndpointId endpoint;
  std::vector<EndpointId> helpers;  // the holders only once it has been read
  uint32_t holders = 0;
  TokenCount reserved;   // memory of each holder
  uint32_t part_us = 0;  // 0 once the prompt has been read
  TokenCount held;
  Duration gap;
  Duration time_left;
  uint64_t value = 0;  // what the whole call is worth against others
  friend auto operator<=>(const HeldCall&, const HeldCall&) = default;
};

/** All calls of a VM in a pool; the dispatcher replaces what it knew. */
struct HeldCalls {
  PoolId pool;
  std::vector<HeldCall> calls;
  friend auto operator<=>(const HeldCalls&, const HeldCalls&) = default;
};

/** What a VM knows of the store's objects of one kind. */
struct KindVersion {
  std::string kind;
  ObjectVersion version;    // of the store, up to which it knows all changes
  bool lost_store = false;  // it can't read changes there itself
  friend auto operator<=>(const KindVersion&, const KindVersion&) = default;
};

/** Asks a VM that watches the store what has changed there. */
struct StoreQuery {
  uint64_t number = 0;  // repeated in the answer
  std::vector<KindVersion> known;
  friend auto operator<=>(const StoreQuery&, const StoreQuery&) = default;
};

/** An object of the store as another VM has read it. */
struct RelayedObject {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;
  friend auto operator<=>(const RelayedObject&, const RelayedObject&) = default;
};

/** What a VM has read of the objects of one kind. */
struct KindNews {
  std::string kind;
  ObjectVersion version;  // of the store, up to which all changes are known
  ObjectVersion changed;  // at which the kind last changed, or a later one
  bool reachable = false;
  Duration age;              // since the call began that proves all this
  bool has_objects = false;  // false: changes have to be read at the store
  bool complete = false;     // the objects are all there are
  std::vector<RelayedObject> objects;
  friend auto operator<=>(const KindNews&, const KindNews&) = default;
};

/** The answer to a StoreQuery. */
struct StoreNews {
  uint64_t number = 0;
  std::vector<KindNews> kinds;
  friend auto operator<=>(const StoreNews&, const StoreNews&) = default;
};

/** Any message between entry VMs. The order is part of the wire format. */
using Message =
    std::variant<Heartbeat, Summary, AdmissionRequest, Grant, Refusal, Release,
                 HeldGrants, CancelAdmission, Suspect, FindStream,
                 StreamLocation, ConfigOffer, ConfigFetch, GatherReserve,
                 GatherReply, GatherRelease, TakeOver, HandOver, SuspectTurn,
                 SuspectTurnReply, MembershipDigest, PlaceCall, CallPlaced,
                 CallProgress, HeldCalls, StoreQuery, StoreNews>;

/** A message with the VM it goes to. */
struct OutgoingMessage {
  VmId to;
  Message message;
  friend auto operator<=>(const OutgoingMessage&,
                          const OutgoingMessage&) = default;
};

}  // namespace zr
