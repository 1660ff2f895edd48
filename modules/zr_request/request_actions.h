#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zr_request/request_options.h"

namespace zr {

/** Requests candidates; answered by OnCandidates(). */
struct SelectCandidates {
  std::set<EndpointId> excluded;
  std::optional<DomainId> avoid_domain;  // only if another domain has capacity
  bool run_alone = false;                // the endpoint must be or become idle
};

/** Sends a message to another VM, or to this one if `to` names it. */
struct SendToVm {
  VmId to;
  Message message;
};

/**
 * Sends the call to an endpoint. The daemon checks start_before just before it
 * sends the first byte.
 */
struct StartUpstream {
  EndpointId endpoint;
  AttemptNumber attempt;  // reported back with each upstream event
  std::string stream_id;
  TokenCount kv_tokens;
  int32_t priority = 0;
  std::vector<EndpointId>
      members;             // all endpoints of a gathered run, else empty
  TimePoint start_before;  // a later call fails with UpstreamFailure::kNotRun
};

/** Reads an existing stream of the endpoint from an offset. */
struct ResumeUpstream {
  EndpointId endpoint;
  std::string stream_id;
  int64_t offset = 0;
  AttemptNumber attempt;
};

/** Closes an attempt's connection; the endpoint keeps the stream. */
struct DetachUpstream {
  EndpointId endpoint;
  std::string stream_id;
  AttemptNumber attempt;
};

/**
 * Closes any connection and deletes the stream; answered by
 * OnUpstreamCancelled().
 */
struct CancelUpstream {
  EndpointId endpoint;
  std::string stream_id;
};

/** Stops or continues reading an attempt's connection (back-pressure). */
struct PauseUpstream {
  AttemptNumber attempt;
  bool paused = false;
};

/**
 * Searches for a run of the request; answered by OnStreamFound() or
 * OnStreamNotFound().
 */
struct LocateStream {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  std::string stream;  // of the caller's partial answer, empty for any
};

/** Starts the answer: status line and headers. Precedes the first EmitChunk. */
struct EmitHead {
  int status = 200;
  std::string stream_id;  // for the caller's resume header
};

/** Sends a chunk of the answer to the caller. */
struct EmitChunk {
  int64_t offset = 0;  // of the chunk's first token
  std::string bytes;
};

/** Ends the complete answer. */
struct FinishAnswer {
  int64_t total = 0;  // offset of the answer's end
};

/**
 * Ends the call with an error, which after EmitHead is an error event in the
 * answer.
 */
struct FailRequest {
  int status = 503;
  Error error;
  RunState run = RunState::kMayHaveRun;
  std::optional<Duration> retry_after;
  int64_t offset = 0;  // of the first token that the caller did not receive
};

/** Informs a superseded caller that another call has taken over the answer. */
struct SupersedeCaller {
  Error error;
};

/**
 * A run of the fingerprint ended with its connection; it may have crashed the
 * endpoint.
 */
struct ReportSuspect {
  Fingerprint fingerprint;
  EndpointId endpoint;
  BootNumber boot;
  bool confirmed = false;  // the endpoint is known to have failed
};

/**
 * Requests or renews the lease to run a suspect from the locator VM; answered
 * by OnSuspectLease().
 */
struct RequestSuspectLease {
  Fingerprint fingerprint;
  bool renewal = false;  // the run is in progress
};

/** Releases the lease to run a suspect. */
struct ReleaseSuspectLease {
  Fingerprint fingerprint;
  bool completed =
      false;  // the run completed alone, so earlier failures no longer count
};

/**
 * Requests grants on several endpoints from the pool's coordinator; answered by
 * OnGatherReady() or OnGatherFailed().
 */
struct GatherRequest {
  AttemptNumber attempt;
  TokenCount kv_tokens;
  std::set<EndpointId> excluded;
};

/** Cancels a GatherRequest; the machine releases grants that arrive later. */
struct CancelGather {
  AttemptNumber attempt;
};

/** An action for the daemon, which carries out lists of actions in order. */
using RequestAction =
    std::variant<SelectCandidates, SendToVm, StartUpstream, ResumeUpstream,
                 DetachUpstream, CancelUpstream, PauseUpstream, LocateStream,
                 EmitHead, EmitChunk, FinishAnswer, FailRequest,
                 SupersedeCaller, ReportSuspect, RequestSuspectLease,
                 ReleaseSuspectLease, GatherRequest, CancelGather>;
using RequestActions = std::vector<RequestAction>;

}  // namespace zr
