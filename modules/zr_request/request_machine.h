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
 * The life of one request at its ingress VM, from arrival to the last byte:
 * admission, the upstream call, retries, resumption and reattachment.
 *
 * Each event returns the actions that the daemon has to carry out, in order.
 * Events of ended attempts may come late; they are dropped and counted. Exactly
 * one Finish or Refuse is returned in the machine's life, at the latest by the
 * first event at or after the deadline; the daemon calls Tick() at
 * NextWakeup(). A machine may be destroyed when removable() is true.
 */
class RequestMachine {
 public:
  enum class State {
    kNew,
    kLocating,     // looks for an existing run of the request
    kTakingOver,   // waits for another VM to hand the stream over
    kAwaitTurn,    // a suspect waits for its turn
    kSelecting,    // waits for candidates
    kPausing,      // nobody has room; selects again later
    kAsking,       // waits for an owner's answer
    kGathering,    // waits for the gather coordinator
    kStreaming,    // an upstream connection is open
    kResumePause,  // the connection broke; resumes it later
    kDetached,     // the caller is gone, the engine keeps the stream for it
    kEnded,        // Finish or Refuse was returned
  };

  /** @param budget  the pool's; must outlive the machine */
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
  /** Ends the request; for a daemon that cannot wait any longer. */
  RequestActions Abort(TimePoint now);

  //============================================================================
  // Admission

  /**
   * Answer to SelectCandidates, best first; empty if nobody takes the request.
   *
   * @param gather  no single endpoint is large enough for the request
   */
  RequestActions OnCandidates(TimePoint now, std::vector<Candidate> candidates,
                              bool gather = false);
  /** No choice of endpoints can ever hold the request; the pool holds `room`
   * tokens together. */
  RequestActions OnTooLarge(TimePoint now, TokenCount room);
  /**
   * An owner's grant.
   *
   * @param not_before  a time at which the grant had surely not been received:
   * when the connection was last found empty. After a pause of the process it
   * lies before the pause, so that a late grant is recognised.
   */
  RequestActions OnGrant(TimePoint now, TimePoint not_before,
                         const Grant& grant);
  /** Gives back a grant for a request that this VM does not know (any more). */
  static OutgoingMessage ReleaseOfUnknown(const Grant& grant);
  RequestActions OnRefusal(TimePoint now, const Refusal& refusal);
  /** A VM was found dead, or a message to it could not be delivered. */
  RequestActions OnVmUnreachable(TimePoint now, const VmId& vm);
  /** Grants on several endpoints; the first one streams. */
  RequestActions OnGatherReady(TimePoint now, TimePoint not_before,
                               AttemptNumber attempt,
                               const std::vector<Grant>& grants);
  RequestActions OnGatherFailed(TimePoint now, AttemptNumber attempt,
                                Duration wait_hint);
  /** The SuspectTable's verdict on the fingerprint has changed; ignored once
   * the call runs. */
  RequestActions OnVerdict(TimePoint now, SuspectVerdict verdict);
  /** Answer to AskTurn. */
  RequestActions OnTurn(TimePoint now, LeaseDecision answer,
                        Duration wait_hint);

  //============================================================================
  // Upstream

  RequestActions OnUpstreamHeaders(TimePoint now, AttemptNumber attempt,
                                   int status);
  /**
   * A part of the answer.
   *
   * @param stream_id  as the endpoint named it in the part
   * @param offset     of the part's first token (plain services: bytes)
   * @param tokens     number of tokens in the part, at least 1
   */
  RequestActions OnUpstreamChunk(TimePoint now, AttemptNumber attempt,
                                 const std::string& stream_id, int64_t offset,
                                 int64_t tokens, std::string bytes);
  /** The endpoint said that the answer is complete. @param total  offset of its
   * end */
  RequestActions OnUpstreamDone(TimePoint now, AttemptNumber attempt,
                                int64_t total);
  /** @param status  HTTP status of the endpoint's answer, 0 if there was none
   */
  RequestActions OnUpstreamFailed(TimePoint now, AttemptNumber attempt,
                                  UpstreamFailure failure, int status = 0);
  /**
   * @param confirmed  the endpoint dropped the stream. One that does not know
   * the stream confirms nothing: the cancellation may have overtaken the call,
   * or the endpoint has crashed and started again
   */
  RequestActions OnUpstreamCancelled(TimePoint now,
                                     const std::string& stream_id,
                                     bool confirmed);
  /** A boot of an endpoint ended, planned or not. */
  RequestActions OnEndpointDied(TimePoint now, const EndpointId& endpoint,
                                BootNumber boot);

  //============================================================================
  // Caller

  RequestActions OnCallerGone(TimePoint now);
  /** Back-pressure: the caller's connection takes no more for now, or takes
   * bytes again. */
  RequestActions OnCallerBlocked(TimePoint now);
  RequestActions OnCallerDrained(TimePoint now);

  //============================================================================
  // Reattachment

  RequestActions OnStreamFound(TimePoint now, const StreamLocation& location);
  /** @param certain  every VM answered, so that no run exists */
  RequestActions OnStreamNotFound(TimePoint now, bool certain);
  /** Another VM wants this request. */
  RequestActions OnTakeOver(TimePoint now, const VmId& from,
                            const TakeoverRequest& request);
  RequestActions OnHandOver(TimePoint now, const TakeoverReply& hand_over);
  /** The answer of a VM that does not know the request it is asked to hand
   * over. */
  static TakeoverReply UnknownRequest(const RequestId& request);
  /**
   * Another call with this request id reached this VM; the answer goes to it
   * from now on, from the given offset of the given stream (empty: the caller
   * did not say). On an error the new call is refused and the machine goes on
   * unchanged.
   */
  Result<RequestActions> Reattach(TimePoint now, const TeamId& team,
                                  Fingerprint fingerprint, int64_t offset,
                                  const std::string& stream);

  //============================================================================
  // State

  State state() const { return state_; }
  bool ended() const { return state_ == State::kEnded; }
  /** Ended, and all grants are given back. */
  bool removable() const {
    return ended() && closing_.empty() && ledger_.empty();
  }
  RunState run_state() const { return run_.state(); }
  uint64_t dropped_chunks() const { return cursor_.dropped_chunks(); }
  const RequestOptions& options() const { return options_; }
  /** Grants for the HeldGrants messages, by endpoint. */
  std::vector<std::pair<EndpointId, HeldGrant>> held_grants() const;
  /** Where the request runs, for the StreamDirectory; found is false if it does
   * not run. */
  StreamLocation location() const;

  /** Test hooks: faults that the randomised test must detect. */
  void IgnoreAttemptsForTest() { cursor_.IgnoreAttemptsForTest(); }
  void RestartAfterFirstTokenForTest() { restart_after_first_token_ = true; }

 private:
  /** An admission in question. */
  struct Ask {
    Candidate candidate;
    AttemptNumber attempt;
    bool queue = false;
    TimePoint first_sent;
    TimePoint last_sent;
    Duration patience;  // silence after which the owner is given up
  };
  /** The run at an endpoint. */
  struct Stream {
    EndpointId endpoint;
    DomainId domain;
    std::string id;
    BootNumber boot;
    std::vector<Grant>
        grants;  // empty if the run is done or was found without them
    AttemptNumber started;  // attempt that sent the call; 0 if another VM did
    bool acknowledged =
        false;  // the endpoint answered, so that it has had the call
    TimePoint started_at;
    std::optional<TimePoint> first_token_at;  // seen by this VM
  };
  /** A stream whose cancellation is not confirmed yet. */
  struct Closing {
    std::vector<Grant> grants;
    EndpointId endpoint;
    TimePoint give_up;
    RunReport report;
  };

  // Lifecycle.
  bool Expire(TimePoint now);
  RequestActions Take(TimePoint now);
  void RunStateTimer(TimePoint now);
  TimePoint StateWakeup() const;
  void Do(RequestAction action) { actions_.push_back(std::move(action)); }
  AttemptNumber NewAttempt();
  void EndWithError(TimePoint now, int status, Error error,
                    std::optional<Duration> retry_after = std::nullopt);
  void Complete(TimePoint now, int64_t total);
  void CleanUp(TimePoint now);
  void ReturnTurnIfIdle();
  void CheckOutcome();
  const Grant* FirstOfRun(const Grant& grant) const;
  /** The caller has a part of the answer, from this VM or an earlier one. */
  bool Delivered() const { return head_sent_ || cursor_.offset() > 0; }
  /** The only stream whose answer continues what the caller has; empty for any.
   */
  std::string WantedStream() const {
    return options_.resume_offset > 0 ? options_.resume_stream : std::string();
  }
  bool IsModel() const { return options_.pool.kind == PoolKind::kModel; }

  // Admission.
  void BeginRun(TimePoint now);
  void RefuseSuspect(TimePoint now, const std::string& peer);
  void SendAskTurn(TimePoint now, bool holding);
  void Select(TimePoint now);
  void PauseThenSelect(TimePoint now, Duration at_least);
  void NoCandidates(TimePoint now);
  void BeginGather(TimePoint now);
  void AskNext(TimePoint now);
  void SendAsk(TimePoint now, Candidate candidate, bool queue, Duration hint);
  void RepeatAsk(TimePoint now);
  void GiveUpAsk(TimePoint now);
  void RunAskTimer(TimePoint now);
  Message AskMessage(TimePoint now) const;
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
  void NoteDeath(const EndpointId& endpoint, BootNumber boot, bool confirmed);
  void CloseStream(TimePoint now);
  void DropStream(TimePoint now, ReleaseOutcome outcome);
  void ReleaseClosing(const std::string& stream_id, ReleaseOutcome outcome);
  void ReleaseDead(const EndpointId& endpoint, BootNumber boot);
  RunReport MakeReport(TimePoint now) const;

  // Reattachment.
  void AdoptStream(TimePoint now, const std::string& id,
                   const EndpointId& endpoint,
                   const std::vector<Grant>& grants);
  void CancelOrphan(TimePoint now, const std::string& id,
                    const std::vector<Grant>& grants);
  void SendTakeOver(TimePoint now);
  void TakeOverFailed(TimePoint now);
  void RunWithoutStream(TimePoint now);
  void Conflict(TimePoint now);

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
  std::map<std::string, Closing> closing_;

  // Admission.
  std::set<EndpointId> excluded_;
  std::optional<DomainId> avoid_domain_;
  std::vector<Candidate> round_;                      // not asked yet
  std::vector<std::pair<Duration, Candidate>> busy_;  // asked, with their wait
  std::optional<Ask> ask_;
  std::optional<AttemptNumber> gather_;
  int pauses_ = 0;
  bool too_large_ = false;
  bool refused_by_deadline_ = false;
  bool refused_otherwise_ = false;

  // Suspects.
  bool run_alone_;
  size_t earlier_deaths_;  // known when the request arrived
  bool turn_held_ = false;
  TimePoint renew_turn_;
  std::set<std::pair<EndpointId, BootNumber>> deaths_;

  // Upstream.
  std::optional<Stream> stream_;
  int starts_ = 0;
  int fruitless_resumes_ = 0;
  bool head_sent_ = false;
  bool caller_gone_ = false;
  bool blocked_ = false;
  int outcomes_ = 0;
  int64_t emitted_to_ = -1;  // end of the last part given to the caller
  bool restart_after_first_token_ = false;

  // Reattachment.
  StreamLocation found_;
  TimePoint first_take_over_;
};

}  // namespace zr
