#pragma once

#include "zr_wire/messages.h"

namespace zr {

/**
 * Field lists of the messages, in wire order. New fields are appended only, so
 * that VMs of two versions can exchange messages during an upgrade.
 *
 * Each Fields() overload passes the message's members to an archive, which
 * either encodes or decodes them.
 */
template <typename A>
void Fields(A& a, SenderStamp& m) {
  a(m.vm, m.incarnation, m.sequence);
}
template <typename A>
void Fields(A& a, TeamDemand& m) {
  a(m.team, m.tokens_per_second, m.kv_held);
}
template <typename A>
void Fields(A& a, PoolDemand& m) {
  a(m.pool, m.short_tokens_per_second, m.long_tokens_per_second);
}
template <typename A>
void Fields(A& a, Heartbeat& m) {
  a(m.origin, m.domain, m.region, m.peer_address, m.ready, m.leaving,
    m.config_version, m.config_digest, m.hops, m.team_demand, m.pool_demand,
    m.weight);
}
template <typename A>
void Fields(A& a, EndpointSummary& m) {
  a(m.endpoint, m.pool, m.domain, m.owner, m.owner_incarnation, m.sequence,
    m.accepts_new, m.kv_free, m.kv_capacity, m.wait_short, m.wait_long,
    m.prefixes, m.prefill_tokens_per_second, m.boot, m.warm);
}
template <typename A>
void Fields(A& a, AdmissionRequest& m) {
  a(m.request, m.attempt, m.endpoint, m.pool, m.team, m.request_class, m.prompt,
    m.max_answer, m.time_left, m.fingerprint, m.run_alone, m.queue_if_busy,
    m.plain_service, m.prefixes);
}
template <typename A>
void Fields(A& a, GatherMember& m) {
  a(m.endpoint, m.number, m.owner, m.owner_incarnation, m.kv_tokens);
}
template <typename A>
void Fields(A& a, Grant& m) {
  a(m.request, m.attempt, m.endpoint, m.number, m.owner, m.owner_incarnation,
    m.kv_tokens, m.start_within, m.priority, m.boot, m.members);
}
template <typename A>
void Fields(A& a, Refusal& m) {
  a(m.request, m.attempt, m.endpoint, m.reason, m.wait_hint);
}
template <typename A>
void Fields(A& a, GrantRelease& m) {
  a(m.request, m.attempt, m.endpoint, m.number, m.outcome, m.prompt, m.answered,
    m.run_time, m.first_token);
}
template <typename A>
void Fields(A& a, HeldGrant& m) {
  a(m.request, m.attempt, m.number, m.owner, m.owner_incarnation, m.kv_tokens,
    m.prompt, m.fingerprint, m.long_prompt, m.started, m.gather_endpoint,
    m.gather_stream, m.generating, m.boot);
}
template <typename A>
void Fields(A& a, HeldGrants& m) {
  a(m.holder, m.endpoint, m.grants);
}
template <typename A>
void Fields(A& a, CancelAdmission& m) {
  a(m.request, m.attempt, m.endpoint);
}
template <typename A>
void Fields(A& a, Suspect& m) {
  a(m.fingerprint, m.endpoint, m.boot, m.age);
}
template <typename A>
void Fields(A& a, StreamLookup& m) {
  a(m.request, m.team, m.fingerprint, m.claim, m.stream);
}
template <typename A>
void Fields(A& a, StreamLocation& m) {
  a(m.request, m.found, m.team, m.endpoint, m.stream, m.attempt, m.holder,
    m.fingerprint, m.conflict, m.done, m.authoritative, m.grants);
}
template <typename A>
void Fields(A& a, DocumentPiece& m) {
  a(m.first, m.count, m.inserted);
}
template <typename A>
void Fields(A& a, DocumentDelta& m) {
  a(m.base, m.target, m.stored_version, m.pieces);
}
template <typename A>
void Fields(A& a, ConfigOffer& m) {
  a(m.version, m.digest, m.document);
  a.Optional(m.deltas);
}
template <typename A>
void Fields(A& a, ConfigNotice& m) {
  a(m.version);
}
template <typename A>
void Fields(A& a, ConfigFetch& m) {
  a(m.min_version);
  a.Optional(m.base);
}
template <typename A>
void Fields(A& a, GatherReserve& m) {
  a(m.request, m.attempt, m.endpoint, m.kv_tokens, m.ttl);
}
template <typename A>
void Fields(A& a, GatherReply& m) {
  a(m.request, m.attempt, m.endpoint, m.reserved, m.number, m.wait_hint,
    m.owner_incarnation);
}
template <typename A>
void Fields(A& a, GatherRelease& m) {
  a(m.request, m.attempt, m.endpoint, m.number);
}

template <typename A>
void Fields(A& a, TakeoverRequest& m) {
  a(m.request, m.team, m.fingerprint, m.stream);
}
template <typename A>
void Fields(A& a, TakeoverReply& m) {
  a(m.request, m.accepted, m.conflict, m.may_have_run, m.run_alone,
    m.next_attempt, m.stream, m.grants);
}
template <typename A>
void Fields(A& a, SuspectLeaseRequest& m) {
  a(m.fingerprint, m.request, m.renewal, m.released, m.completed);
}
template <typename A>
void Fields(A& a, SuspectLeaseReply& m) {
  a(m.fingerprint, m.request, m.decision, m.wait_hint);
}

template <typename A>
void Fields(A& a, VmRecord& m) {
  a(m.vm, m.incarnation, m.domain, m.region, m.peer_address, m.weight, m.ready,
    m.leaving, m.config_version, m.heartbeat_tick, m.age);
}
template <typename A>
void Fields(A& a, MembershipDigest& m) {
  a(m.sender, m.ready, m.leaving, m.config_version, m.heartbeat_tick,
    m.wants_records, m.roster_hash, m.config_digest, m.states, m.versions,
    m.version_indexes, m.records);
}

template <typename A>
void Fields(A& a, DispatchRequest& m) {
  a(m.request, m.call_number, m.pool, m.prompt, m.max_answer, m.objective,
    m.max_gap, m.time_left, m.excluded, m.deferred);
  a.Optional(m.team);
  a.Optional(m.domain);
  a.Optional(m.priority);
  a.Optional(m.waited);
  a.Optional(m.fingerprint);
  a.Optional(m.reads_grants);
}
template <typename A>
void Fields(A& a, DispatchReply& m) {
  a(m.request, m.call_number, m.endpoint, m.helpers, m.prefill_us, m.forecast,
    m.retry_after, m.kv_holders, m.kv_per_holder, m.defer_for,
    m.deadline_unreachable);
  a.Optional(m.queued);
  a.Optional(m.expected_wait);
}
template <typename A>
void Fields(A& a, CallProgress& m) {
  a(m.request, m.call_number, m.pool, m.stage, m.result);
  a.Optional(m.elapsed);
  a.Optional(m.longest_pause);
  a.Optional(m.pause_ended_ago);
}
template <typename A>
void Fields(A& a, InFlightCall& m) {
  a(m.request, m.call_number, m.endpoint, m.helpers, m.prefill_us, m.kv_tokens,
    m.max_gap, m.time_left, m.value, m.kv_holders, m.kv_per_holder);
}
template <typename A>
void Fields(A& a, EndpointAllowance& m) {
  a(m.endpoint, m.boot, m.calls, m.calls_per_1000s);
}
template <typename A>
void Fields(A& a, InFlightCalls& m) {
  a(m.pool, m.calls);
  a.Optional(m.allowances);
}

template <typename A>
void Fields(A& a, KindVersion& m) {
  a(m.kind, m.version, m.store_unreachable);
  a.Optional(m.era);
  a.Optional(m.digest);
}
template <typename A>
void Fields(A& a, StoreQuery& m) {
  a(m.query_id, m.known);
}
template <typename A>
void Fields(A& a, RelayedObject& m) {
  a(m.name, m.version, m.value, m.deleted);
}
template <typename A>
void Fields(A& a, KindUpdate& m) {
  a(m.kind, m.version, m.last_changed, m.store_reachable, m.age, m.has_objects,
    m.complete, m.objects);
  a.Optional(m.era);
  a.Optional(m.deltas);
}
template <typename A>
void Fields(A& a, StoreUpdate& m) {
  a(m.query_id, m.kinds);
}

template <typename A>
void Fields(A& a, CrashSuspect& m) {
  a(m.fingerprint, m.specificity);
}
template <typename A>
void Fields(A& a, SuspectedCrash& m) {
  a(m.endpoint, m.boot, m.age, m.suspects);
}
template <typename A>
void Fields(A& a, AnsweredSuspect& m) {
  a(m.fingerprint, m.age);
}
template <typename A>
void Fields(A& a, LiveEndpoint& m) {
  a(m.endpoint, m.boot, m.age);
}
template <typename A>
void Fields(A& a, CrashEvidence& m) {
  a(m.crashes, m.answered, m.live);
}

template <typename A>
void Fields(A& a, LimitObservation& m) {
  a(m.endpoint, m.boot, m.limited, m.requests_per_1000_s, m.age);
}
template <typename A>
void Fields(A& a, EndpointNotice& m) {
  a(m.endpoint, m.boot, m.leaving, m.pause_left);
}
template <typename A>
void Fields(A& a, LimitReport& m) {
  a(m.observations);
  a.Optional(m.notices);
}

template <typename A>
void Fields(A& a, PathReport& m) {
  a(m.vm, m.number, m.cut_off);
  a.Optional(m.reads_advice);
}
template <typename A>
void Fields(A& a, PathAdvice& m) {
  a(m.service, m.vms);
}

/** Largest valid value of each enumeration on the wire. */
template <typename E>
inline constexpr uint8_t kEnumMax = 0;
template <>
inline constexpr uint8_t kEnumMax<RefusalReason> =
    static_cast<uint8_t>(RefusalReason::kSuspect);
template <>
inline constexpr uint8_t kEnumMax<CallStage> =
    static_cast<uint8_t>(CallStage::kEnded);
template <>
inline constexpr uint8_t kEnumMax<CallResult> =
    static_cast<uint8_t>(CallResult::kAborted);
template <>
inline constexpr uint8_t kEnumMax<ReleaseOutcome> =
    static_cast<uint8_t>(ReleaseOutcome::kEndpointRefused);
template <>
inline constexpr uint8_t kEnumMax<LeaseDecision> =
    static_cast<uint8_t>(LeaseDecision::kClear);

}  // namespace zr
