#include <algorithm>
#include <string>

#include "zr_request/request_machine.h"

namespace zr {
namespace {

/** Whether a grant is of the given boot; an owner may not have known the boot
 * number yet. */
bool IsOn(const Grant& grant, const EndpointId& endpoint, BootNumber boot) {
  return grant.endpoint == endpoint &&
         (grant.boot == boot || grant.boot == BootNumber());
}

}  // namespace

//==============================================================================
// Starting

void RequestMachine::BeginUpstream(TimePoint now, AttemptNumber attempt,
                                   std::vector<Grant> grants,
                                   const DomainId& domain,
                                   TimePoint start_before) {
  ZR_ASSERT_INVARIANT(kAnswerIntegrity,
                      !Delivered() || restart_after_first_token_,
                      "a run is started after a part of the answer went out");
  ZR_ASSERT_INVARIANT(kAtMostOnce, options_.idempotent || starts_ == 0,
                      "a request that must not be repeated is started again");
  Stream stream;
  stream.endpoint = grants.front().endpoint;
  stream.domain = domain;
  stream.id = MakeStreamId(grants.front());
  stream.boot = grants.front().boot;
  stream.started = attempt;
  stream.started_at = now;
  StartUpstream start;
  start.endpoint = stream.endpoint;
  start.attempt = attempt;
  start.stream_id = stream.id;
  start.priority = grants.front().priority;
  start.start_before = start_before;
  for (const Grant& grant : grants) {
    start.kv_tokens += grant.kv_tokens;
    if (grants.size() > 1) start.members.push_back(grant.endpoint);
  }
  stream.grants = std::move(grants);
  stream_ = std::move(stream);
  run_.Sent(attempt);
  ++starts_;
  cursor_.Open(attempt, stream_->id);
  state_ = State::kStreaming;
  Do(std::move(start));
  if (blocked_) Do(PauseUpstream{attempt, true});
}

void RequestMachine::Resume(TimePoint) {
  const AttemptNumber attempt = NewAttempt();
  cursor_.Open(attempt, stream_->id);
  state_ = State::kStreaming;
  Do(ResumeUpstream{stream_->endpoint, stream_->id, cursor_.offset(), attempt});
  if (blocked_) Do(PauseUpstream{attempt, true});
}

//==============================================================================
// The answer

RequestActions RequestMachine::OnUpstreamHeaders(TimePoint now,
                                                 AttemptNumber attempt,
                                                 int status) {
  if (Expire(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    return Take(now);
  }
  stream_->acknowledged = true;
  // A model's head waits for the first token, so that a failure before it can
  // be retried or refused with a status.
  if (!IsModel() && !head_sent_) {
    head_sent_ = true;
    Do(EmitHead{status, stream_->id});
  }
  return Take(now);
}

RequestActions RequestMachine::OnUpstreamChunk(TimePoint now,
                                               AttemptNumber attempt,
                                               const std::string& stream_id,
                                               int64_t offset, int64_t tokens,
                                               std::string bytes) {
  if (Expire(now)) return Take(now);
  switch (cursor_.Take(attempt, stream_id, offset, tokens)) {
    case AnswerCursor::Verdict::kDrop:
      break;
    case AnswerCursor::Verdict::kGap:
      ResumeLater(now, "a part of the answer is missing");
      break;
    case AnswerCursor::Verdict::kAccept:
      ZR_ASSERT_INVARIANT(kAnswerIntegrity,
                          emitted_to_ == offset && stream_ && !caller_gone_,
                          "a part does not continue what the caller got");
      fruitless_resumes_ = 0;
      stream_->acknowledged = true;
      if (!stream_->first_token_at) stream_->first_token_at = now;
      if (!head_sent_) Do(EmitHead{200, stream_->id});
      head_sent_ = true;
      emitted_to_ = offset + tokens;
      Do(Emit{offset, std::move(bytes)});
      break;
  }
  return Take(now);
}

RequestActions RequestMachine::OnUpstreamDone(TimePoint now,
                                              AttemptNumber attempt,
                                              int64_t total) {
  if (Expire(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    return Take(now);
  }
  if (total == cursor_.offset()) {
    Complete(now, total);
  } else if (total > cursor_.offset()) {
    ResumeLater(now, "the end of the answer is missing");
  } else {
    EndWithError(now, 502,
                 {ErrorCode::kInternal, "stream", stream_->endpoint.value(),
                  "the answer ends at " + std::to_string(total) +
                      ", before the caller's offset"});
  }
  return Take(now);
}

//==============================================================================
// Failures

RequestActions RequestMachine::OnUpstreamFailed(TimePoint now,
                                                AttemptNumber attempt,
                                                UpstreamFailure failure,
                                                int status) {
  if (Expire(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    // The answer to a call that was given up still tells whether it ran.
    const bool delivered =
        stream_ && stream_->started == attempt && Delivered();
    if (failure == UpstreamFailure::kNotRun && !delivered) run_.NotRun(attempt);
    return Take(now);
  }
  cursor_.Close();
  const bool starting = stream_->started == attempt;
  if (starting && !Delivered() &&
      (failure == UpstreamFailure::kNotRun ||
       failure == UpstreamFailure::kRejected)) {
    OnStartFailed(now, failure, status);
  } else {
    OnConnectionLost(now, failure);
  }
  return Take(now);
}

/** The endpoint did not take the call. */
void RequestMachine::OnStartFailed(TimePoint now, UpstreamFailure failure,
                                   int status) {
  const std::string endpoint = stream_->endpoint.value();
  if (failure == UpstreamFailure::kNotRun) {
    run_.NotRun(stream_->started);
    excluded_.insert(stream_->endpoint);
    avoid_domain_.reset();
    DropStream(now, status == 0 ? ReleaseOutcome::kNeverStarted
                                : ReleaseOutcome::kEndpointRefused);
    RetryElsewhere(now, "the endpoint refused the call");
    return;
  }
  DropStream(now, ReleaseOutcome::kEndpointRefused);
  EndWithError(now, status >= 400 ? status : 502,
               {ErrorCode::kUnavailable, "upstream", endpoint,
                "the endpoint rejected the call"});
}

/** A connection broke at which the call may have run. */
void RequestMachine::OnConnectionLost(TimePoint now, UpstreamFailure failure) {
  // A stream that was resumed or taken over exists, whether a part of it went
  // out or not.
  const bool resumed = cursor_.attempt() != stream_->started &&
                       failure != UpstreamFailure::kNoStream;
  if ((Delivered() || resumed) && !restart_after_first_token_) {
    if (failure == UpstreamFailure::kNoStream) {
      NoteDeath(stream_->endpoint, stream_->boot, false);
      EndWithError(now, 502,
                   {ErrorCode::kUnknownOutcome, "stream",
                    stream_->endpoint.value(), "the endpoint lost the stream"});
    } else {
      ResumeLater(now, "the connection to the endpoint broke");
    }
    return;
  }
  excluded_.insert(stream_->endpoint);
  avoid_domain_ = stream_->domain;
  // A crash of the endpoint shows first as a broken connection, as silence or,
  // if it has started again, as a lost stream. The request counts as a suspect
  // until the endpoint is seen alive under the same boot number, or a retry
  // could crash the next one.
  NoteDeath(stream_->endpoint, stream_->boot, false);
  if (failure == UpstreamFailure::kNoStream && stream_->acknowledged) {
    DropStream(now, ReleaseOutcome::kCancelled);
  } else {
    CloseStream(now);
  }
  RetryElsewhere(now,
                 "the connection to the endpoint broke before the first token");
}

void RequestMachine::ResumeLater(TimePoint now, std::string_view reason) {
  if (cursor_.is_open()) {
    Do(DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
  }
  cursor_.Close();
  if (!IsModel() || ++fruitless_resumes_ > timings_.resume_tries) {
    if (IsModel() && !Delivered()) {
      excluded_.insert(stream_->endpoint);
      avoid_domain_ = stream_->domain;
      CloseStream(now);
      RetryElsewhere(now, reason);
      return;
    }
    NoteDeath(stream_->endpoint, stream_->boot, false);
    EndWithError(
        now, 502,
        {ErrorCode::kUnknownOutcome, "stream", stream_->endpoint.value(),
         std::string(reason) + " at offset " +
             std::to_string(cursor_.offset())});
    return;
  }
  state_ = State::kResumePause;
  timer_ =
      now + timings_.resume_back_off * (int64_t{1} << (fruitless_resumes_ - 1));
}

/** Runs the request again, if that is allowed. */
void RequestMachine::RetryElsewhere(TimePoint now, std::string_view reason) {
  std::string_view hindrance;
  if (Delivered() && !restart_after_first_token_) {
    hindrance = "a part of the answer went out";
  } else if (!options_.idempotent) {
    hindrance = "the request must not be repeated";
  } else if (earlier_deaths_ + deaths_.size() >= 2) {
    hindrance = "two endpoints failed while they ran it";
  } else if (starts_ >= timings_.max_starts) {
    hindrance = "it was tried too often";
  } else if (!budget_.TryRetry(now)) {
    hindrance = "the retry budget is used up";
  }
  if (hindrance.empty()) {
    BeginRun(now);
    return;
  }
  EndWithError(now, run_.state() == RunState::kNotRun ? 503 : 502,
               {ErrorCode::kUnavailable, "upstream", "",
                std::string(reason) + "; " + std::string(hindrance)});
}

void RequestMachine::NoteDeath(const EndpointId& endpoint, BootNumber boot,
                               bool confirmed) {
  if (!IsModel()) return;
  deaths_.emplace(endpoint, boot);
  run_alone_ = true;
  Do(ReportSuspect{options_.fingerprint, endpoint, boot, confirmed});
  // The next run needs a new decision, which takes this death into account.
  if (turn_held_) Do(ReturnTurn{options_.fingerprint, false});
  turn_held_ = false;
}

RequestActions RequestMachine::OnEndpointDied(TimePoint now,
                                              const EndpointId& endpoint,
                                              BootNumber boot) {
  const bool expired = Expire(now);
  const auto hit = [&](const Grant& grant) {
    return IsOn(grant, endpoint, boot);
  };
  const auto any = [&](const std::vector<Grant>& grants) {
    return std::any_of(grants.begin(), grants.end(), hit);
  };
  const bool running =
      !expired && stream_ &&
      ((stream_->endpoint == endpoint && stream_->boot == boot) ||
       any(stream_->grants));
  const bool cancelled =
      std::any_of(closing_.begin(), closing_.end(),
                  [&](const auto& item) { return any(item.second.grants); });
  if (cancelled && !running && IsModel()) {
    // It may have died of the call before the cancellation reached it.
    deaths_.emplace(endpoint, boot);
    Do(ReportSuspect{options_.fingerprint, endpoint, boot, true});
  }
  if (running) {
    NoteDeath(endpoint, boot, true);
    excluded_.insert(endpoint);
    avoid_domain_ = stream_->domain;
    CloseStream(now);
  }
  ReleaseDead(endpoint, boot);
  if (!running) return Take(now);
  if (caller_gone_ || (Delivered() && !restart_after_first_token_)) {
    EndWithError(
        now, 502,
        {ErrorCode::kUnknownOutcome, "stream", endpoint.value(),
         "the endpoint died at offset " + std::to_string(cursor_.offset())});
  } else {
    RetryElsewhere(now, "the endpoint died before the first token");
  }
  return Take(now);
}

//==============================================================================
// Giving grants back

RunReport RequestMachine::MakeReport(TimePoint now) const {
  RunReport report;
  report.prompt = options_.prompt;
  report.answered = TokenCount(IsModel() ? cursor_.offset() : 0);
  report.run_time = stream_ ? now - stream_->started_at : Duration();
  // Known only if this VM saw the run from its start.
  if (stream_ && stream_->first_token_at && stream_->started.value() != 0) {
    report.first_token = *stream_->first_token_at - stream_->started_at;
  }
  return report;
}

void RequestMachine::DropStream(TimePoint now, ReleaseOutcome outcome) {
  if (!stream_) return;
  cursor_.Close();
  const bool ran = outcome == ReleaseOutcome::kCompleted ||
                   outcome == ReleaseOutcome::kCancelled;
  const RunReport report = ran ? MakeReport(now) : RunReport{};
  for (const Grant& grant : stream_->grants) {
    OutgoingMessage out = ledger_.MakeRelease(grant, outcome, report);
    Do(SendToVm{out.to, std::move(out.message)});
  }
  stream_.reset();
}

/** Cancels the stream; its grants are given back when the endpoint has
 * confirmed that. */
void RequestMachine::CloseStream(TimePoint now) {
  if (!stream_) return;
  cursor_.Close();
  Do(CancelUpstream{stream_->endpoint, stream_->id});
  if (!stream_->grants.empty()) {
    closing_[stream_->id] = {std::move(stream_->grants), stream_->endpoint,
                             now + timings_.cancel_confirm, MakeReport(now)};
  }
  stream_.reset();
}

void RequestMachine::ReleaseClosing(const std::string& stream_id,
                                    ReleaseOutcome outcome) {
  const auto it = closing_.find(stream_id);
  if (it == closing_.end()) return;
  if (outcome == ReleaseOutcome::kEndpointFailed && IsModel()) {
    // The endpoint may have died of the call before the cancellation reached
    // it.
    const Grant& first = it->second.grants.front();
    Do(ReportSuspect{options_.fingerprint, first.endpoint, first.boot, false});
  }
  for (const Grant& grant : it->second.grants) {
    OutgoingMessage out =
        ledger_.MakeRelease(grant, outcome, it->second.report);
    Do(SendToVm{out.to, std::move(out.message)});
  }
  closing_.erase(it);
  ReturnTurnIfIdle();
}

/** Gives the grants on a dead endpoint back without waiting for a confirmation.
 */
void RequestMachine::ReleaseDead(const EndpointId& endpoint, BootNumber boot) {
  for (auto it = closing_.begin(); it != closing_.end();) {
    std::erase_if(it->second.grants, [&](const Grant& grant) {
      if (!IsOn(grant, endpoint, boot)) return false;
      OutgoingMessage out = ledger_.MakeRelease(
          grant, ReleaseOutcome::kEndpointFailed, it->second.report);
      Do(SendToVm{out.to, std::move(out.message)});
      return true;
    });
    it = it->second.grants.empty() ? closing_.erase(it) : std::next(it);
  }
  ReturnTurnIfIdle();
}

RequestActions RequestMachine::OnUpstreamCancelled(TimePoint now,
                                                   const std::string& stream_id,
                                                   bool confirmed) {
  Expire(now);
  ReleaseClosing(stream_id, confirmed ? ReleaseOutcome::kCancelled
                                      : ReleaseOutcome::kEndpointFailed);
  return Take(now);
}

}  // namespace zr
