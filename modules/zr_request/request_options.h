#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/policies.h"
#include "zr_wire/messages.h"
#include "zr_wire/stream_id.h"

namespace zr {

/** How requests with a fingerprint may run, according to the SuspectTable. */
enum class SuspectStatus : uint8_t {
  kClear,     // no known endpoint failure
  kRunAlone,  // one failure: alone on its endpoint, one run at a time
  kRefuse,    // two failures: refused until the failures expire
};

/** Properties of a call that a RequestMachine needs on its arrival. */
struct RequestOptions {
  RequestId request;
  TeamId team;
  ClassPolicy request_class;
  PoolPolicy pool;
  TokenCount prompt;      // 0 for plain services
  TokenCount max_answer;  // 0 for plain services
  std::vector<PrefixHash> prefixes;
  Fingerprint fingerprint;
  TimePoint deadline;
  bool idempotent =
      true;  // may be run again if an attempt fails before the first token
  /**
   * The caller supplied the request id, so a run may already exist and is
   * searched for first.
   */
  bool may_be_repeat = false;
  /**
   * Offset in tokens from which the caller wants the answer; above 0 only when
   * reattaching.
   */
  int64_t resume_offset = 0;
  /**
   * Engine stream of the partial answer that the caller has, as named in the
   * answer's headers; empty if the caller did not send it. Answers of different
   * runs may differ, so with an offset above 0 only this stream is resumed.
   * Without it, resumption assumes that only one run exists.
   */
  std::string resume_stream;
  SuspectStatus suspect_status = SuspectStatus::kClear;
  /**
   * Number of the first attempt. Stream ids contain only request and attempt,
   * and a late grant for an earlier call with this id must not be used by this
   * one, so no two calls of a request may share attempt numbers. The daemon
   * uses the arrival time in microseconds.
   */
  AttemptNumber first_attempt{1};
};

/** Intervals and limits of a RequestMachine. */
struct RequestTimings {
  Duration owner_retry_interval =
      Duration::Milliseconds(500);  // resends to an owner that does not answer
  Duration owner_timeout =
      Duration::Milliseconds(1500);  // abandons an owner that does not answer
  Duration queued_retry_interval =
      Duration::Seconds(2);  // resends a queued admission request
  Duration grant_margin =
      Duration::Milliseconds(200);  // covers transit and local delays
  Duration select_backoff = Duration::Milliseconds(
      200);  // first back-off when no endpoint has capacity
  Duration max_backoff = Duration::Seconds(2);
  Duration resume_backoff =
      Duration::Milliseconds(50);  // doubled after each failed resumption
  int max_failed_resumes = 5;      // consecutive
  int max_runs = 4;                // runs of one request, including the first
  Duration stream_search_timeout = Duration::Seconds(2);
  Duration cancel_timeout =
      Duration::Seconds(2);  // wait for the confirmation of a cancellation
  Duration lease_retry_interval =
      Duration::Milliseconds(500);  // resends the request for a suspect lease
  Duration deadline_margin = Duration::Milliseconds(
      20);  // ends a request this long before its deadline
};

/**
 * An endpoint that may accept the request; lists of candidates start with the
 * best.
 */
struct Candidate {
  EndpointId endpoint;
  DomainId domain;
  VmId owner;
  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/** Why an upstream connection ended before the answer was complete. */
enum class UpstreamFailure : uint8_t {
  kNotRun,    // 503 with run=not-run, or no byte was sent
  kBroken,    // the connection broke after bytes were sent
  kTimedOut,  // nothing received within the daemon's timeout
  kRejected,  // the endpoint answered with a final error status
  kNoStream,  // resume only: the endpoint does not know the stream
};

}  // namespace zr
