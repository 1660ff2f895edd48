#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zr_request/answer_cursor.h"
#include "zr_request/grant_ledger.h"
#include "zr_request/request_actions.h"
#include "zr_request/request_options.h"
#include "zr_request/retry_budget.h"
#include "zr_request/run_record.h"

namespace zr {

/**
 * State machine of one request at its ingress VM, from arrival to the last
 * byte: admission, the upstream call, retries, resumption and reattachment.
 *
 * Each event handler returns the actions that the daemon has to carry out, in
 * order. Late events of ended attempts are dropped and counted. A machine
 * returns exactly one FinishAnswer or FailRequest, at the latest from the first
 * event at or after the deadline; the daemon calls Tick() at NextWakeup(). A
 * machine may be destroyed when removable() is true.
 */
class RequestMachine {
 public:
  enum class State {
    kNew,
    kLocating,           // searches for an existing run of the request
    kTakingOver,         // waits for another VM to hand over the stream
    kAwaitingLease,      // a suspect waits for its lease
    kSelecting,          // waits for candidates
    kBackingOff,         // no endpoint has capacity; selects again later
    kAwaitingAdmission,  // waits for an owner's answer
    kGathering,          // waits for the gather coordinator
    kStreaming,          // an upstream connection is open
    kResumeBackoff,      // the connection broke; resumes the stream later
    kDetached,           // the caller disconnected; the engine keeps the stream
    kEnded,              // FinishAnswer or FailRequest was returned
  };

  /**
   * @param budget  retry budget of the pool; must outlive the machine
   */
  RequestMachine(RequestOptions options, RetryBudget& budget,
                 RequestTimings timings = {});
  RequestMachine(const RequestMachine&) = delete;
  RequestMachine& operator=(const RequestMachine&) = delete;

  //============================================================================
  // Time

  RequestActions Start(TimePoint now);
  RequestActions Tick(TimePoint now);
  /** When Tick() is due; TimePoint::Max() if nothing is pending. */
  TimePoint NextWakeup() const;
  /** Ends the request at once, when the daemon cannot wait any longer. */
  RequestActions Abort(TimePoint now);

  //============================================================================
  // Admission

  /**
   * Answer to SelectCandidates, best first; empty if no endpoint accepts the
   * request.
   *
   * @param gather  no single endpoint is large enough for the request
   */
  RequestActions OnCandidates(TimePoint now, std::vector<Candidate> candidates,
                              bool gather = false);
  /**
   * The request exceeds the memory of the pool's endpoints together, which hold
   * `capacity` tokens.
   */
  RequestActions OnTooLarge(TimePoint now, TokenCount capacity);
  /**
   * An owner's grant.
   *
   * @param earliest_receipt  a time before the grant was received: when the
   * connection was last seen empty. After a pause of the process it precedes
   * the pause, so that a late grant is detected.
   */
  RequestActions OnGrant(TimePoint now, TimePoint earliest_receipt,
                         const Grant& grant);
  /**
   * Releases a grant for a request that this VM does not know or no longer
   * knows.
   */
  static OutgoingMessage ReleaseForUnknownRequest(const Grant& grant);
  RequestActions OnRefusal(TimePoint now, const Refusal& refusal);
  /** A VM is down, or a message to it could not be delivered. */
  RequestActions OnVmUnreachable(TimePoint now, const VmId& vm);
  /** Grants on several endpoints; the first endpoint streams. */
  RequestActions OnGatherReady(TimePoint now, TimePoint earliest_receipt,
                               AttemptNumber attempt,
                               const std::vector<Grant>& grants);
  RequestActions OnGatherFailed(TimePoint now, AttemptNumber attempt,
                                Duration wait_hint);
  /**
   * The fingerprint's status in the SuspectTable has changed; ignored once the
   * call runs.
   */
  RequestActions OnSuspectStatus(TimePoint now, SuspectStatus status);
  /** Answer to RequestSuspectLease. */
  RequestActions OnSuspectLease(TimePoint now, LeaseDecision answer,
                                Duration wait_hint);

  //============================================================================
  // Upstream

  RequestActions OnUpstreamHeaders(TimePoint now, AttemptNumber attempt,
                                   int status);
  /**
   * A chunk of the answer.
   *
   * @param stream_id  as named by the endpoint in the chunk
   * @param offset     of the chunk's first token (plain services: bytes)
   * @param tokens     number of tokens in the chunk, at least 1
   */
  RequestActions OnUpstreamChunk(TimePoint now, AttemptNumber attempt,
                                 const std::string& stream_id, int64_t offset,
                                 int64_t tokens, std::string bytes);
  /**
   * The endpoint reported that the answer is complete.
   * @param total  offset of its end
   */
  RequestActions OnUpstreamDone(TimePoint now, AttemptNumber attempt,
                                int64_t total);
  /** @param status  HTTP status of the endpoint's answer, 0 if there was none
   */
  RequestActions OnUpstreamFailed(TimePoint now, AttemptNumber attempt,
                                  UpstreamFailure failure, int status = 0);
  /**
   * @param confirmed  the endpoint deleted the stream. False if the endpoint
   * does not know the stream: the cancellation may have overtaken the call, or
   * the endpoint may have restarted after a crash
   */
  RequestActions OnUpstreamCancelled(TimePoint now,
                                     const std::string& stream_id,
                                     bool confirmed);
  /** A boot of an endpoint ended, planned or not. */
  RequestActions OnEndpointFailed(TimePoint now, const EndpointId& endpoint,
                                  BootNumber boot);

  //============================================================================
  // Caller

  RequestActions OnCallerDisconnected(TimePoint now);
  /**
   * Back-pressure: the caller's connection stops accepting bytes, or accepts
   * them again.
   */
  RequestActions OnCallerBlocked(TimePoint now);
  RequestActions OnCallerUnblocked(TimePoint now);

  //============================================================================
  // Reattachment

  RequestActions OnStreamFound(TimePoint now, const StreamLocation& location);
  /**
   * @param certain  no run exists; false if some VMs did not answer
   */
  RequestActions OnStreamNotFound(TimePoint now, bool certain);
  /** Another VM asks to take over this request. */
  RequestActions OnTakeover(TimePoint now, const VmId& from,
                            const TakeoverRequest& request);
  RequestActions OnTakeoverReply(TimePoint now, const TakeoverReply& reply);
  /**
   * Reply of a VM that is asked to hand over a request that it does not know.
   */
  static TakeoverReply UnknownRequestReply(const RequestId& request);
  /**
   * Another call with this request id reached this VM. From now on the answer
   * goes to that call, from the given offset of the given stream (empty if the
   * caller did not name one). On an error the new call is refused and the
   * machine continues unchanged.
   */
  Result<RequestActions> Reattach(TimePoint now, const TeamId& team,
                                  Fingerprint fingerprint, int64_t offset,
                                  const std::string& stream);

  //============================================================================
  // State

  State state() const { return state_; }
  bool ended() const { return state_ == State::kEnded; }
  /** The request has ended and all grants are released. */
  bool removable() const {
    return ended() && pending_cancels_.empty() && ledger_.empty();
  }
  RunState run_state() const { return run_.state(); }
  uint64_t dropped_chunks() const { return cursor_.dropped_chunks(); }
  const RequestOptions& options() const { return options_; }
  /** Grants for the HeldGrants messages, by endpoint. */
  std::vector<std::pair<EndpointId, HeldGrant>> held_grants() const;
  /**
   * Where the request runs, for the StreamDirectory; found is false if it has
   * ended.
   */
  StreamLocation location() const;

  /** Test hooks: faults that the randomised test must detect. */
  void IgnoreAttemptsForTest() { cursor_.IgnoreAttemptsForTest(); }
  void RestartAfterFirstTokenForTest() { restart_after_first_token_ = true; }

 private:
  /** An admission request that is not answered yet. */
  struct PendingAdmission {
    Candidate candidate;
    AttemptNumber attempt;
    bool queue = false;
    TimePoint first_sent;
    TimePoint last_sent;
    Duration timeout;  // without an answer; the owner is then abandoned
  };
  /** A run at an endpoint. */
  struct Stream {
    EndpointId endpoint;
    DomainId domain;
    std::string id;
    BootNumber boot;
    std::vector<Grant>
        grants;  // empty if the run has ended or was found without grants
    AttemptNumber started;  // attempt that sent the call; 0 if another VM did
    bool acknowledged =
        false;  // the endpoint answered, so it received the call
    TimePoint started_at;
    std::optional<TimePoint> first_token_at;  // seen by this VM
  };
  /** A stream whose cancellation is not confirmed yet. */
  struct PendingCancel {
    std::vector<Grant> grants;
    EndpointId endpoint;
    TimePoint expires;
    RunReport report;
  };

  // Lifecycle.
  bool EndIfDue(TimePoint now);
  RequestActions TakeActions(TimePoint now);
  void OnStateTimer(TimePoint now);
  TimePoint StateWakeup() const;
  void AddAction(RequestAction action) {
    actions_.push_back(std::move(action));
  }
  AttemptNumber NewAttempt();
  void EndWithError(TimePoint now, int status, Error error,
                    std::optional<Duration> retry_after = std::nullopt);
  void Complete(TimePoint now, int64_t total);
  void CleanUp(TimePoint now);
  void ReleaseLeaseIfIdle();
  void CountOutcome();
  const Grant* StreamingGrantOf(const Grant& grant) const;
  /** The caller has part of the answer, from this VM or an earlier one. */
  bool Delivered() const { return head_sent_ || cursor_.offset() > 0; }
  /**
   * The only stream that continues the caller's partial answer; empty for any.
   */
  std::string RequiredStream() const {
    return options_.resume_offset > 0 ? options_.resume_stream : std::string();
  }
  bool IsModel() const { return options_.pool.kind == PoolKind::kModel; }

  // Admission.
  void BeginRun(TimePoint now);
  void RefuseSuspect(TimePoint now, const std::string& peer);
  void RequestLease(TimePoint now, bool renewal);
  void Select(TimePoint now);
  void BackOffThenSelect(TimePoint now, Duration min_pause);
  void OnNoCandidates(TimePoint now);
  void BeginGather(TimePoint now);
  void TryNextCandidate(TimePoint now);
  void SendAdmission(TimePoint now, Candidate candidate, bool queue,
                     Duration hint);
  void ResendAdmission(TimePoint now);
  void AbandonAdmission(TimePoint now);
  void OnAdmissionTimer(TimePoint now);
  Message MakeAdmissionRequest(TimePoint now) const;
  void ReleaseUnused(const Grant& grant);
  void BeginUpstream(TimePoint now, AttemptNumber attempt,
                     std::vector<Grant> grants, const DomainId& domain,
                     TimePoint start_before);

  // Upstream.
  void Resume(TimePoint now);
  void ResumeLater(TimePoint now, std::string_view reason);
  void OnStartFailed(TimePoint now, UpstreamFailure failure, int status);
  void OnConnectionLost(TimePoint now, UpstreamFailure failure);
  void RetryElsewhere(TimePoint now, std::string_view reason);
  void RecordFailure(const EndpointId& endpoint, BootNumber boot,
                     bool confirmed);
  void CancelStream(TimePoint now);
  void ReleaseStream(TimePoint now, ReleaseOutcome outcome);
  void EndPendingCancel(const std::string& stream_id, ReleaseOutcome outcome);
  void ReleaseFailedEndpoint(const EndpointId& endpoint, BootNumber boot);
  RunReport MakeReport(TimePoint now) const;

  // Reattachment.
  void AdoptStream(TimePoint now, const std::string& id,
                   const EndpointId& endpoint,
                   const std::vector<Grant>& grants);
  void CancelOrphan(TimePoint now, const std::string& id,
                    const std::vector<Grant>& grants);
  void SendTakeover(TimePoint now);
  void OnTakeoverFailed(TimePoint now);
  void BeginRunOrFail(TimePoint now);
  void EndWithConflict(TimePoint now);

  RequestOptions options_;
  RetryBudget& budget_;
  RequestTimings timings_;

  State state_ = State::kNew;
  RequestActions actions_;
  TimePoint timer_;  // of the current state
  AttemptNumber next_attempt_;
  GrantLedger ledger_;
  RunRecord run_;
  AnswerCursor cursor_;
  std::map<std::string, PendingCancel> pending_cancels_;

  // Admission.
  std::set<EndpointId> excluded_;
  std::optional<DomainId> avoid_domain_;
  std::vector<Candidate> candidates_;  // not tried yet
  std::vector<std::pair<Duration, Candidate>>
      busy_candidates_;  // refused as busy, with their wait hints
  std::optional<PendingAdmission> admission_;
  std::optional<AttemptNumber> gather_;
  int backoffs_ = 0;
  bool too_large_ = false;
  bool refused_by_deadline_ = false;
  bool refused_otherwise_ = false;

  // Suspects.
  bool run_alone_;
  size_t prior_failures_;  // from earlier runs of the fingerprint
  bool lease_held_ = false;
  TimePoint renew_lease_at_;
  std::set<std::pair<EndpointId, BootNumber>> failures_;

  // Upstream.
  std::optional<Stream> stream_;
  int run_count_ = 0;
  int failed_resumes_ = 0;
  bool head_sent_ = false;
  bool caller_disconnected_ = false;
  bool blocked_ = false;
  int outcomes_ = 0;
  int64_t emitted_end_ = -1;  // end of the last chunk sent to the caller
  bool restart_after_first_token_ = false;

  // Reattachment.
  StreamLocation located_stream_;
  TimePoint takeover_started_;
};

}  // namespace zr
