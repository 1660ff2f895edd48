#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/policies.h"
#include "zr_wire/messages.h"
#include "zr_wire/stream_id.h"

namespace zr {

/** What the SuspectTable says about a fingerprint. */
enum class SuspectStatus : uint8_t {
  kClear,     // no known death
  kRunAlone,  // one death: alone on one endpoint, nowhere else at once
  kRefuse,    // two deaths: refused until the suspicion ages out
};

/** All that a RequestMachine needs to know of a call when it arrives. */
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
  /** The caller named the request id itself, so that a run of it may exist: it
   * is looked for first.
   */
  bool may_be_repeat = false;
  /** Offset in tokens from which the caller wants the answer; above 0 only for
   * a reattach. */
  int64_t resume_offset = 0;
  /**
   * Engine stream that the caller's part of the answer is of, as told with its
   * start; empty if the caller did not say. Another run's answer may differ, so
   * with an offset above 0 no other stream is resumed. Without it a resumption
   * trusts that only one run exists.
   */
  std::string resume_stream;
  SuspectStatus suspect_status = SuspectStatus::kClear;
  /**
   * Number of the first attempt. Stream ids hold request and attempt only, and
   * a late grant for an earlier call with this id must not count for this one,
   * so no two calls of a request may use the same numbers. The daemon takes the
   * arrival time in microseconds.
   */
  AttemptNumber first_attempt{1};
};

/** Periods and bounds of a RequestMachine. */
struct RequestTimings {
  Duration owner_retry_interval =
      Duration::Milliseconds(500);  // a silent owner is asked again
  Duration owner_timeout =
      Duration::Milliseconds(1500);  // a silent owner is given up
  Duration queued_retry_interval =
      Duration::Seconds(2);  // a queued admission is repeated
  Duration grant_margin =
      Duration::Milliseconds(200);  // covers transit and local delays
  Duration select_backoff =
      Duration::Milliseconds(200);  // first pause when nobody has room
  Duration max_backoff = Duration::Seconds(2);
  Duration resume_backoff =
      Duration::Milliseconds(50);  // doubled with each fruitless try
  int max_failed_resumes = 5;      // fruitless tries in a row
  int max_runs = 4;                // runs of one request, first included
  Duration stream_search_timeout = Duration::Seconds(2);  // bound on a search
  Duration cancel_timeout =
      Duration::Seconds(2);  // bound on a cancellation's answer
  Duration lease_retry_interval =
      Duration::Milliseconds(500);  // a suspect's turn is asked for again
  Duration deadline_margin =
      Duration::Milliseconds(20);  // an end is told this long ahead
};

/** An endpoint that may take the request, best first. */
struct Candidate {
  EndpointId endpoint;
  DomainId domain;
  VmId owner;
  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/** Why an upstream connection ended before the answer did. */
enum class UpstreamFailure : uint8_t {
  kNotRun,    // 503 with run=not-run, or no byte was sent
  kBroken,    // the connection broke after bytes were sent
  kTimedOut,  // no sign of life within the daemon's bound
  kRejected,  // the endpoint answered with a final error status
  kNoStream,  // resume only: the endpoint does not know the stream
};

}  // namespace zr
