#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zr_request/request_options.h"

namespace zr {

/** Asks for candidates; answered with OnCandidates(). */
struct SelectCandidates {
  std::set<EndpointId> excluded;
  std::optional<DomainId> avoid_domain;  // only if another domain has room
  bool run_alone = false;  // the endpoint must be idle or become so
};

/** Sends a message to another VM, or to this one if `to` names it. */
struct SendToVm {
  VmId to;
  Message message;
};

/** Sends the call to an endpoint. The daemon checks start_before just before
 * the first byte. */
struct StartUpstream {
  EndpointId endpoint;
  AttemptNumber attempt;  // reported back with each upstream event
  std::string stream_id;
  TokenCount kv_tokens;
  int32_t priority = 0;
  std::vector<EndpointId>
      members;             // all endpoints of a gathered run, else empty
  TimePoint start_before;  // later the call fails as UpstreamFailure::kNotRun
};

/** Reads a stream that the endpoint holds, from an offset. */
struct ResumeUpstream {
  EndpointId endpoint;
  std::string stream_id;
  int64_t offset = 0;
  AttemptNumber attempt;
};

/** Closes the connection of an attempt and leaves the stream to the endpoint.
 */
struct DetachUpstream {
  EndpointId endpoint;
  std::string stream_id;
  AttemptNumber attempt;
};

/** Closes any connection and deletes the stream; answered with
 * OnUpstreamCancelled(). */
struct CancelUpstream {
  EndpointId endpoint;
  std::string stream_id;
};

/** Stops or continues reading an attempt's connection (back-pressure). */
struct PauseUpstream {
  AttemptNumber attempt;
  bool paused = false;
};

/** Looks for a run of the request; answered with OnStreamFound() or
 * OnStreamNotFound(). */
struct LocateStream {
  RequestId request;
  TeamId team;
  Fingerprint fingerprint;
  std::string stream;  // that the caller has a part of, empty for any
};

/** Starts the answer: status line and headers. Precedes the first Emit. */
struct EmitHead {
  int status = 200;
  std::string stream_id;  // for the caller's resume header
};

/** A part of the answer for the caller. */
struct EmitChunk {
  int64_t offset = 0;  // of the part's first token
  std::string bytes;
};

/** Ends the answer; it is complete. */
struct FinishAnswer {
  int64_t total = 0;  // offset of the answer's end
};

/** Ends the call with an error; after EmitHead as an error event in the answer.
 */
struct FailRequest {
  int status = 503;
  Error error;
  RunState run = RunState::kMayHaveRun;
  std::optional<Duration> retry_after;
  int64_t offset = 0;  // of the first token that the caller did not get
};

/** Tells the connection of a superseded call that another call has taken the
 * answer over. */
struct SupersedeCaller {
  Error error;
};

/** A run of the fingerprint ended with its connection; the endpoint may have
 * died of it. */
struct ReportSuspect {
  Fingerprint fingerprint;
  EndpointId endpoint;
  BootNumber boot;
  bool confirmed = false;  // the endpoint is known to be dead
};

/** Asks the locator VM for the right to run a suspect, or renews it; answered
 * with OnTurn(). */
struct RequestSuspectLease {
  Fingerprint fingerprint;
  bool renewal = false;  // the run is in progress
};

/** Returns the right to run a suspect. */
struct ReleaseSuspectLease {
  Fingerprint fingerprint;
  bool completed =
      false;  // the run completed alone: the suspicion is unfounded
};

/** Asks the pool's coordinator for several endpoints; answered with
 * OnGatherReady/Failed(). */
struct GatherRequest {
  AttemptNumber attempt;
  TokenCount kv_tokens;
  std::set<EndpointId> excluded;
};

/** Takes a GatherRequest back; grants that arrive later are released by the
 * machine. */
struct CancelGather {
  AttemptNumber attempt;
};

/** What the daemon has to do, in the order of the list. */
using RequestAction =
    std::variant<SelectCandidates, SendToVm, StartUpstream, ResumeUpstream,
                 DetachUpstream, CancelUpstream, PauseUpstream, LocateStream,
                 EmitHead, EmitChunk, FinishAnswer, FailRequest,
                 SupersedeCaller, ReportSuspect, RequestSuspectLease,
                 ReleaseSuspectLease, GatherRequest, CancelGather>;
using RequestActions = std::vector<RequestAction>;

}  // namespace zr
