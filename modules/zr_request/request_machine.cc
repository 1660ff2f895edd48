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
      run_alone_(options_.suspect == SuspectVerdict::kRunAlone),
      earlier_deaths_(run_alone_ ? 1 : 0),
      emitted_to_(options_.resume_offset) {
  ZR_ASSERT(options_.resume_offset >= 0, "a resume offset is not negative");
  // The bytes before the offset came from a run that this VM knows nothing of.
  if (options_.resume_offset > 0) run_.SetUnknown();
}

AttemptNumber RequestMachine::NewAttempt() {
  const AttemptNumber attempt = next_attempt_;
  next_attempt_ = next_attempt_.Next();
  return attempt;
}

//==============================================================================
// Time

RequestActions RequestMachine::Start(TimePoint now) {
  // The caller may have gone before the request was started.
  ZR_ASSERT(state_ == State::kNew || ended(), "a request starts once");
  if (Expire(now)) return Take(now);
  if (options_.suspect == SuspectVerdict::kRefuse) {
    RefuseSuspect(now, "");
  } else if (options_.may_be_repeat || options_.resume_offset > 0) {
    state_ = State::kLocating;
    timer_ = now + timings_.find_stream;
    Do(LocateStream{options_.request, options_.team, options_.fingerprint,
                    WantedStream()});
  } else {
    BeginRun(now);
  }
  return Take(now);
}

RequestActions RequestMachine::Tick(TimePoint now) {
  if (!Expire(now) && StateWakeup() <= now) RunStateTimer(now);
  if (turn_held_ && renew_turn_ <= now) SendAskTurn(now, true);
  std::vector<std::string> overdue;
  for (const auto& [id, closing] : closing_) {
    if (closing.give_up <= now) overdue.push_back(id);
  }
  for (const std::string& id : overdue) {
    ReleaseClosing(id, ReleaseOutcome::kEndpointFailed);
  }
  return Take(now);
}

RequestActions RequestMachine::Abort(TimePoint now) {
  if (!ended()) {
    EndWithError(
        now, 503,
        {ErrorCode::kUnavailable, "request", "", "the entry VM is stopping"});
  }
  return Take(now);
}

/** Ends the request if its time is up; true if it has ended. */
bool RequestMachine::Expire(TimePoint now) {
  if (ended()) return true;
  if (now < options_.deadline - timings_.finish_margin) return false;
  const bool started = Delivered() || stream_.has_value();
  EndWithError(
      now, 504,
      {ErrorCode::kDeadlineExceeded, started ? "stream" : "admission", "",
       started ? "the answer was not complete at the deadline"
               : "no endpoint took the request before the deadline"});
  return true;
}

/** Returns the collected actions. */
RequestActions RequestMachine::Take(TimePoint now) {
  ZR_ASSERT_INVARIANT(kAdmittedFinishes, ended() || now < options_.deadline,
                      "a request is open after its deadline");
  return std::exchange(actions_, {});
}

void RequestMachine::RunStateTimer(TimePoint now) {
  switch (state_) {
    case State::kLocating:
      run_.SetUnknown();
      RunWithoutStream(now);
      break;
    case State::kTakingOver:
      if (now - first_take_over_ >= timings_.ask_elsewhere) {
        TakeOverFailed(now);
      } else {
        SendTakeOver(now);
      }
      break;
    case State::kAwaitTurn:
      SendAskTurn(now, false);
      break;
    case State::kSelecting:
    case State::kPausing:
      Select(now);
      break;
    case State::kAsking:
      RunAskTimer(now);
      break;
    case State::kGathering:
      Do(CancelGather{*gather_});
      BeginGather(now);
      break;
    case State::kResumePause:
      Resume(now);
      break;
    case State::kDetached:
      EndWithError(
          now, 499,
          {ErrorCode::kUnavailable, "caller", "", "the caller has gone"});
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
    next = std::min(next, options_.deadline - timings_.finish_margin);
  }
  if (turn_held_) next = std::min(next, renew_turn_);
  for (const auto& [id, closing] : closing_) {
    next = std::min(next, closing.give_up);
  }
  return next;
}

//==============================================================================
// Ends

void RequestMachine::CheckOutcome() {
  ++outcomes_;
  ZR_ASSERT_INVARIANT(kAdmittedFinishes, outcomes_ == 1, "a request ends once");
}

void RequestMachine::CleanUp(TimePoint now) {
  if (ask_) GiveUpAsk(now);
  if (gather_) Do(CancelGather{*gather_});
  gather_.reset();
  CloseStream(now);
  cursor_.Close();
  turn_held_ = turn_held_ || state_ == State::kAwaitTurn;
  state_ = State::kEnded;
  ReturnTurnIfIdle();
}

/** Returns the right to run a suspect when the request runs nowhere any more.
 */
void RequestMachine::ReturnTurnIfIdle() {
  if (!turn_held_ || !ended() || !closing_.empty()) return;
  Do(ReturnTurn{options_.fingerprint, run_.state() == RunState::kRan});
  turn_held_ = false;
}

void RequestMachine::EndWithError(TimePoint now, int status, Error error,
                                  std::optional<Duration> retry_after) {
  CleanUp(now);
  CheckOutcome();
  ZR_ASSERT_INVARIANT(
      kNotRunTrue, run_.state() != RunState::kNotRun || !Delivered(),
      "a request with a part of its answer delivered is said not to have run");
  Do(Refuse{status, std::move(error), run_.state(), retry_after,
            cursor_.offset()});
}

void RequestMachine::Complete(TimePoint now, int64_t total) {
  ZR_ASSERT_INVARIANT(kAnswerIntegrity, emitted_to_ == total,
                      "the answer's end differs from what the caller got");
  run_.Completed();
  budget_.OnSuccess();
  if (!head_sent_) Do(EmitHead{200, stream_->id});
  head_sent_ = true;
  DropStream(now, ReleaseOutcome::kCompleted);
  CleanUp(now);
  CheckOutcome();
  Do(Finish{total});
}

//==============================================================================
// Caller

RequestActions RequestMachine::OnCallerGone(TimePoint now) {
  if (Expire(now) || caller_gone_) return Take(now);
  caller_gone_ = true;
  blocked_ = false;
  // A caller that was never told its request id cannot come back for the
  // answer.
  const bool can_return =
      head_sent_ || options_.may_be_repeat || options_.resume_offset > 0;
  if (!stream_ || !IsModel() || !can_return) {
    EndWithError(
        now, 499,
        {ErrorCode::kUnavailable, "caller", "", "the caller has gone"});
    return Take(now);
  }
  if (cursor_.is_open()) {
    Do(DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
  }
  cursor_.Close();
  state_ = State::kDetached;
  timer_ = now + options_.pool.unclaimed_window;
  return Take(now);
}

RequestActions RequestMachine::OnCallerBlocked(TimePoint now) {
  if (!Expire(now) && !blocked_ && !caller_gone_) {
    blocked_ = true;
    if (cursor_.is_open()) Do(PauseUpstream{cursor_.attempt(), true});
  }
  return Take(now);
}

RequestActions RequestMachine::OnCallerDrained(TimePoint now) {
  if (!Expire(now) && blocked_) {
    blocked_ = false;
    if (cursor_.is_open()) Do(PauseUpstream{cursor_.attempt(), false});
  }
  return Take(now);
}

//==============================================================================
// State

/** The grant of the endpoint that streams the run which a held grant is part
 * of. */
const Grant* RequestMachine::FirstOfRun(const Grant& grant) const {
  const auto part_of = [&](const std::vector<Grant>& grants) {
    return std::find(grants.begin(), grants.end(), grant) != grants.end();
  };
  if (stream_ && part_of(stream_->grants)) return &stream_->grants.front();
  for (const auto& [id, closing] : closing_) {
    if (part_of(closing.grants)) return &closing.grants.front();
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
    const Grant* first = FirstOfRun(grant);
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
