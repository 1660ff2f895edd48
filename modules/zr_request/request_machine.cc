#include "zr_request/request_machine.h"

#include <algorithm>

namespace zr {

RequestMachine::RequestMachine(RequestOptions options, RetryBudget& budget,
                               RequestTimings timings)
    : options_(std::move(options)),
      budget_(budget),
      timings_(timings),
      next_attempt_(options_.first_attempt),
      cursor_(options_.resume_offset),
      run_alone_(options_.suspect_status == SuspectStatus::kRunAlone),
      prior_failures_(run_alone_ ? 1 : 0),
      emitted_end_(options_.resume_offset) {
  ZR_ASSERT(options_.resume_offset >= 0,
            "a resume offset must not be negative");
  // The bytes before the offset came from a run that this VM does not know.
  if (options_.resume_offset > 0) run_.SetMayHaveRun();
}

AttemptNumber RequestMachine::NewAttempt() {
  const AttemptNumber attempt = next_attempt_;
  next_attempt_ = next_attempt_.Next();
  return attempt;
}

//==============================================================================
// Time

RequestActions RequestMachine::Start(TimePoint now) {
  // The caller may have disconnected before the request was started.
  ZR_ASSERT(state_ == State::kNew || ended(), "a request must start once");
  if (EndIfDue(now)) return TakeActions(now);
  if (options_.suspect_status == SuspectStatus::kRefuse) {
    RefuseSuspect(now, "");
  } else if (options_.may_be_repeat || options_.resume_offset > 0) {
    state_ = State::kLocating;
    timer_ = now + timings_.stream_search_timeout;
    AddAction(LocateStream{options_.request, options_.team,
                           options_.fingerprint, RequiredStream()});
  } else {
    BeginRun(now);
  }
  return TakeActions(now);
}

RequestActions RequestMachine::Tick(TimePoint now) {
  if (!EndIfDue(now) && StateWakeup() <= now) OnStateTimer(now);
  if (lease_held_ && renew_lease_at_ <= now) RequestLease(now, true);
  std::vector<std::string> overdue;
  for (const auto& [id, cancel] : pending_cancels_) {
    if (cancel.expires <= now) overdue.push_back(id);
  }
  for (const std::string& id : overdue) {
    EndPendingCancel(id, ReleaseOutcome::kEndpointFailed);
  }
  return TakeActions(now);
}

RequestActions RequestMachine::Abort(TimePoint now) {
  if (!ended()) {
    EndWithError(
        now, 503,
        {ErrorCode::kUnavailable, "request", "", "the entry VM is stopping"});
  }
  return TakeActions(now);
}

/** Ends the request if its deadline is due; true if the request has ended. */
bool RequestMachine::EndIfDue(TimePoint now) {
  if (ended()) return true;
  if (now < options_.deadline - timings_.deadline_margin) return false;
  const bool started = Delivered() || stream_.has_value();
  EndWithError(
      now, 504,
      {ErrorCode::kDeadlineExceeded, started ? "stream" : "admission", "",
       started ? "the answer was not complete at the deadline"
               : "no endpoint accepted the request before the deadline"});
  return true;
}

/** Returns the collected actions. */
RequestActions RequestMachine::TakeActions(TimePoint now) {
  ZR_ASSERT_INVARIANT(kAdmittedFinishes, ended() || now < options_.deadline,
                      "a request is open after its deadline");
  return std::exchange(actions_, {});
}

void RequestMachine::OnStateTimer(TimePoint now) {
  switch (state_) {
    case State::kLocating:
      run_.SetMayHaveRun();
      BeginRunOrFail(now);
      break;
    case State::kTakingOver:
      if (now - takeover_started_ >= timings_.owner_timeout) {
        OnTakeoverFailed(now);
      } else {
        SendTakeover(now);
      }
      break;
    case State::kAwaitingLease:
      RequestLease(now, false);
      break;
    case State::kSelecting:
    case State::kBackingOff:
      Select(now);
      break;
    case State::kAwaitingAdmission:
      OnAdmissionTimer(now);
      break;
    case State::kGathering:
      AddAction(CancelGather{*gather_});
      BeginGather(now);
      break;
    case State::kResumeBackoff:
      Resume(now);
      break;
    case State::kDetached:
      EndWithError(
          now, 499,
          {ErrorCode::kUnavailable, "caller", "", "the caller disconnected"});
      break;
    case State::kNew:
    case State::kStreaming:
    case State::kEnded:
      break;
  }
}

TimePoint RequestMachine::StateWakeup() const {
  switch (state_) {
    case State::kNew:
    case State::kStreaming:
    case State::kEnded:
      return TimePoint::Max();
    default:
      return timer_;
  }
}

TimePoint RequestMachine::NextWakeup() const {
  TimePoint next = StateWakeup();
  if (!ended()) {
    next = std::min(next, options_.deadline - timings_.deadline_margin);
  }
  if (lease_held_) next = std::min(next, renew_lease_at_);
  for (const auto& [id, cancel] : pending_cancels_) {
    next = std::min(next, cancel.expires);
  }
  return next;
}

//==============================================================================
// Completion

void RequestMachine::CountOutcome() {
  ++outcomes_;
  ZR_ASSERT_INVARIANT(kAdmittedFinishes, outcomes_ == 1,
                      "a request must end once");
}

void RequestMachine::CleanUp(TimePoint now) {
  if (admission_) AbandonAdmission(now);
  if (gather_) AddAction(CancelGather{*gather_});
  gather_.reset();
  CancelStream(now);
  cursor_.Close();
  lease_held_ = lease_held_ || state_ == State::kAwaitingLease;
  state_ = State::kEnded;
  ReleaseLeaseIfIdle();
}

/** Releases the suspect lease when no run of the request is left. */
void RequestMachine::ReleaseLeaseIfIdle() {
  if (!lease_held_ || !ended() || !pending_cancels_.empty()) return;
  AddAction(ReleaseSuspectLease{options_.fingerprint,
                                run_.state() == RunState::kRan});
  lease_held_ = false;
}

void RequestMachine::EndWithError(TimePoint now, int status, Error error,
                                  std::optional<Duration> retry_after) {
  CleanUp(now);
  CountOutcome();
  ZR_ASSERT_INVARIANT(
      kNotRunTrue, run_.state() != RunState::kNotRun || !Delivered(),
      "a request with a partly delivered answer is reported as not run");
  AddAction(FailRequest{status, std::move(error), run_.state(), retry_after,
                        cursor_.offset()});
}

void RequestMachine::Complete(TimePoint now, int64_t total) {
  ZR_ASSERT_INVARIANT(kAnswerIntegrity, emitted_end_ == total,
                      "the answer's end differs from what the caller received");
  run_.OnCompleted();
  budget_.OnSuccess();
  if (!head_sent_) AddAction(EmitHead{200, stream_->id});
  head_sent_ = true;
  ReleaseStream(now, ReleaseOutcome::kCompleted);
  CleanUp(now);
  CountOutcome();
  AddAction(FinishAnswer{total});
}

//==============================================================================
// Caller

RequestActions RequestMachine::OnCallerDisconnected(TimePoint now) {
  if (EndIfDue(now) || caller_disconnected_) return TakeActions(now);
  caller_disconnected_ = true;
  blocked_ = false;
  // A caller that never received the request id cannot reattach.
  const bool can_return =
      head_sent_ || options_.may_be_repeat || options_.resume_offset > 0;
  if (!stream_ || !IsModel() || !can_return) {
    EndWithError(
        now, 499,
        {ErrorCode::kUnavailable, "caller", "", "the caller disconnected"});
    return TakeActions(now);
  }
  if (cursor_.is_open()) {
    AddAction(
        DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
  }
  cursor_.Close();
  state_ = State::kDetached;
  timer_ = now + options_.pool.unclaimed_window;
  return TakeActions(now);
}

RequestActions RequestMachine::OnCallerBlocked(TimePoint now) {
  if (!EndIfDue(now) && !blocked_ && !caller_disconnected_) {
    blocked_ = true;
    if (cursor_.is_open()) AddAction(PauseUpstream{cursor_.attempt(), true});
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnCallerUnblocked(TimePoint now) {
  if (!EndIfDue(now) && blocked_) {
    blocked_ = false;
    if (cursor_.is_open()) AddAction(PauseUpstream{cursor_.attempt(), false});
  }
  return TakeActions(now);
}

//==============================================================================
// State

/** For a held grant, the grant of the streaming endpoint of the same run. */
const Grant* RequestMachine::StreamingGrantOf(const Grant& grant) const {
  const auto part_of = [&](const std::vector<Grant>& grants) {
    return std::find(grants.begin(), grants.end(), grant) != grants.end();
  };
  if (stream_ && part_of(stream_->grants)) return &stream_->grants.front();
  for (const auto& [id, cancel] : pending_cancels_) {
    if (part_of(cancel.grants)) return &cancel.grants.front();
  }
  return nullptr;
}

std::vector<std::pair<EndpointId, HeldGrant>> RequestMachine::held_grants()
    const {
  std::vector<std::pair<EndpointId, HeldGrant>> list;
  for (const Grant& grant : ledger_.held()) {
    HeldGrant held;
    held.request = grant.request;
    held.attempt = grant.attempt;
    held.number = grant.number;
    held.owner = grant.owner;
    held.owner_incarnation = grant.owner_incarnation;
    held.kv_tokens = grant.kv_tokens;
    held.prompt = options_.prompt;
    held.fingerprint = options_.fingerprint;
    held.long_prompt = options_.prompt > options_.pool.long_prompt;
    held.started = true;
    held.generating = stream_ && stream_->first_token_at.has_value();
    held.boot = grant.boot;
    const Grant* first = StreamingGrantOf(grant);
    if (first != nullptr && first->endpoint != grant.endpoint) {
      held.gather_endpoint = first->endpoint;
      held.gather_stream = MakeStreamId(*first);
    }
    list.emplace_back(grant.endpoint, std::move(held));
  }
  return list;
}

StreamLocation RequestMachine::location() const {
  StreamLocation location;
  location.request = options_.request;
  location.team = options_.team;
  location.fingerprint = options_.fingerprint;
  location.found = !ended();
  if (stream_) {
    location.endpoint = stream_->endpoint;
    location.stream = stream_->id;
    location.attempt = stream_->started;
    location.grants = stream_->grants;
  }
  return location;
}

}  // namespace zr
