#include <algorithm>
#include <string>

#include "zr_request/request_machine.h"

namespace zr {
namespace {

/**
 * Whether a grant belongs to a boot of an endpoint. A grant has no boot number
 * if its owner did not know it yet.
 */
bool IsOnBoot(const Grant& grant, const EndpointId& endpoint, BootNumber boot) {
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
                      "a run starts after part of the answer was sent");
  ZR_ASSERT_INVARIANT(kAtMostOnce, options_.idempotent || run_count_ == 0,
                      "a request that must not be repeated starts again");
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
  run_.OnSent(attempt);
  ++run_count_;
  cursor_.Open(attempt, stream_->id);
  state_ = State::kStreaming;
  AddAction(std::move(start));
  if (blocked_) AddAction(PauseUpstream{attempt, true});
}

void RequestMachine::Resume(TimePoint) {
  const AttemptNumber attempt = NewAttempt();
  cursor_.Open(attempt, stream_->id);
  state_ = State::kStreaming;
  AddAction(ResumeUpstream{stream_->endpoint, stream_->id, cursor_.offset(),
                           attempt});
  if (blocked_) AddAction(PauseUpstream{attempt, true});
}

//==============================================================================
// Answer

RequestActions RequestMachine::OnUpstreamHeaders(TimePoint now,
                                                 AttemptNumber attempt,
                                                 int status) {
  if (EndIfDue(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    return TakeActions(now);
  }
  stream_->acknowledged = true;
  // For models the headers are sent with the first token, so that an earlier
  // failure can be retried or answered with an error status.
  if (!IsModel() && !head_sent_) {
    head_sent_ = true;
    AddAction(EmitHead{status, stream_->id});
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnUpstreamChunk(TimePoint now,
                                               AttemptNumber attempt,
                                               const std::string& stream_id,
                                               int64_t offset, int64_t tokens,
                                               std::string bytes) {
  if (EndIfDue(now)) return TakeActions(now);
  switch (cursor_.OnChunk(attempt, stream_id, offset, tokens)) {
    case AnswerCursor::ChunkResult::kDrop:
      break;
    case AnswerCursor::ChunkResult::kGap:
      ResumeLater(now, "part of the answer is missing");
      break;
    case AnswerCursor::ChunkResult::kAccept:
      ZR_ASSERT_INVARIANT(
          kAnswerIntegrity,
          emitted_end_ == offset && stream_ && !caller_disconnected_,
          "a chunk does not continue the caller's answer");
      failed_resumes_ = 0;
      stream_->acknowledged = true;
      if (!stream_->first_token_at) stream_->first_token_at = now;
      if (!head_sent_) AddAction(EmitHead{200, stream_->id});
      head_sent_ = true;
      emitted_end_ = offset + tokens;
      AddAction(EmitChunk{offset, std::move(bytes)});
      break;
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnUpstreamDone(TimePoint now,
                                              AttemptNumber attempt,
                                              int64_t total) {
  if (EndIfDue(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    return TakeActions(now);
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
  return TakeActions(now);
}

//==============================================================================
// Failures

RequestActions RequestMachine::OnUpstreamFailed(TimePoint now,
                                                AttemptNumber attempt,
                                                UpstreamFailure failure,
                                                int status) {
  if (EndIfDue(now) || state_ != State::kStreaming ||
      !cursor_.IsCurrent(attempt)) {
    // The answer to an abandoned call still shows whether it ran.
    const bool emitted = stream_ && stream_->started == attempt && Delivered();
    if (failure == UpstreamFailure::kNotRun && !emitted) run_.OnNotRun(attempt);
    return TakeActions(now);
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
  return TakeActions(now);
}

/** The endpoint did not accept the call. */
void RequestMachine::OnStartFailed(TimePoint now, UpstreamFailure failure,
                                   int status) {
  const std::string endpoint = stream_->endpoint.value();
  if (failure == UpstreamFailure::kNotRun) {
    run_.OnNotRun(stream_->started);
    excluded_.insert(stream_->endpoint);
    avoid_domain_.reset();
    ReleaseStream(now, status == 0 ? ReleaseOutcome::kNeverStarted
                                   : ReleaseOutcome::kEndpointRefused);
    RetryElsewhere(now, "the endpoint refused the call");
    return;
  }
  ReleaseStream(now, ReleaseOutcome::kEndpointRefused);
  EndWithError(now, status >= 400 ? status : 502,
               {ErrorCode::kUnavailable, "upstream", endpoint,
                "the endpoint rejected the call"});
}

/** A connection broke over which the call may have run. */
void RequestMachine::OnConnectionLost(TimePoint now, UpstreamFailure failure) {
  // A stream that was resumed or taken over exists, even if none of it was
  // delivered.
  const bool resumed = cursor_.attempt() != stream_->started &&
                       failure != UpstreamFailure::kNoStream;
  if ((Delivered() || resumed) && !restart_after_first_token_) {
    if (failure == UpstreamFailure::kNoStream) {
      RecordFailure(stream_->endpoint, stream_->boot, false);
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
  // A crash of the endpoint first appears as a broken connection, a timeout or,
  // after a restart, a lost stream. The request counts as a suspect until the
  // endpoint is seen alive under the same boot number; otherwise a retry could
  // crash the next endpoint.
  RecordFailure(stream_->endpoint, stream_->boot, false);
  if (failure == UpstreamFailure::kNoStream && stream_->acknowledged) {
    ReleaseStream(now, ReleaseOutcome::kCancelled);
  } else {
    CancelStream(now);
  }
  RetryElsewhere(now,
                 "the connection to the endpoint broke before the first token");
}

void RequestMachine::ResumeLater(TimePoint now, std::string_view reason) {
  if (cursor_.is_open()) {
    AddAction(
        DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
  }
  cursor_.Close();
  if (!IsModel() || ++failed_resumes_ > timings_.max_failed_resumes) {
    if (IsModel() && !Delivered()) {
      excluded_.insert(stream_->endpoint);
      avoid_domain_ = stream_->domain;
      CancelStream(now);
      RetryElsewhere(now, reason);
      return;
    }
    RecordFailure(stream_->endpoint, stream_->boot, false);
    EndWithError(
        now, 502,
        {ErrorCode::kUnknownOutcome, "stream", stream_->endpoint.value(),
         std::string(reason) + " at offset " +
             std::to_string(cursor_.offset())});
    return;
  }
  state_ = State::kResumeBackoff;
  timer_ =
      now + timings_.resume_backoff * (int64_t{1} << (failed_resumes_ - 1));
}

/** Retries the request, if that is allowed. */
void RequestMachine::RetryElsewhere(TimePoint now, std::string_view reason) {
  std::string_view obstacle;
  if (Delivered() && !restart_after_first_token_) {
    obstacle = "part of the answer was sent";
  } else if (!options_.idempotent) {
    obstacle = "the request must not be repeated";
  } else if (prior_failures_ + failures_.size() >= 2) {
    obstacle = "two endpoints failed while running it";
  } else if (run_count_ >= timings_.max_runs) {
    obstacle = "the maximum number of runs is reached";
  } else if (!budget_.TryRetry(now)) {
    obstacle = "the retry budget is used up";
  }
  if (obstacle.empty()) {
    BeginRun(now);
    return;
  }
  EndWithError(now, run_.state() == RunState::kNotRun ? 503 : 502,
               {ErrorCode::kUnavailable, "upstream", "",
                std::string(reason) + "; " + std::string(obstacle)});
}

void RequestMachine::RecordFailure(const EndpointId& endpoint, BootNumber boot,
                                   bool confirmed) {
  if (!IsModel()) return;
  failures_.emplace(endpoint, boot);
  run_alone_ = true;
  AddAction(ReportSuspect{options_.fingerprint, endpoint, boot, confirmed});
  // The next run needs a new lease, whose decision takes this failure into
  // account.
  if (lease_held_) AddAction(ReleaseSuspectLease{options_.fingerprint, false});
  lease_held_ = false;
}

RequestActions RequestMachine::OnEndpointFailed(TimePoint now,
                                                const EndpointId& endpoint,
                                                BootNumber boot) {
  const bool expired = EndIfDue(now);
  const auto matches = [&](const Grant& grant) {
    return IsOnBoot(grant, endpoint, boot);
  };
  const auto any_matches = [&](const std::vector<Grant>& grants) {
    return std::any_of(grants.begin(), grants.end(), matches);
  };
  const bool running =
      !expired && stream_ &&
      ((stream_->endpoint == endpoint && stream_->boot == boot) ||
       any_matches(stream_->grants));
  const bool cancelling = std::any_of(
      pending_cancels_.begin(), pending_cancels_.end(),
      [&](const auto& item) { return any_matches(item.second.grants); });
  if (cancelling && !running && IsModel()) {
    // The call may have crashed the endpoint before the cancellation arrived.
    failures_.emplace(endpoint, boot);
    AddAction(ReportSuspect{options_.fingerprint, endpoint, boot, true});
  }
  if (running) {
    RecordFailure(endpoint, boot, true);
    excluded_.insert(endpoint);
    avoid_domain_ = stream_->domain;
    CancelStream(now);
  }
  ReleaseFailedEndpoint(endpoint, boot);
  if (!running) return TakeActions(now);
  if (caller_disconnected_ || (Delivered() && !restart_after_first_token_)) {
    EndWithError(
        now, 502,
        {ErrorCode::kUnknownOutcome, "stream", endpoint.value(),
         "the endpoint failed at offset " + std::to_string(cursor_.offset())});
  } else {
    RetryElsewhere(now, "the endpoint failed before the first token");
  }
  return TakeActions(now);
}

//==============================================================================
// Releasing grants

RunReport RequestMachine::MakeReport(TimePoint now) const {
  RunReport report;
  report.prompt = options_.prompt;
  report.answered = TokenCount(IsModel() ? cursor_.offset() : 0);
  report.run_time = stream_ ? now - stream_->started_at : Duration();
  // Known only if this VM started the run.
  if (stream_ && stream_->first_token_at && stream_->started.value() != 0) {
    report.first_token = *stream_->first_token_at - stream_->started_at;
  }
  return report;
}

void RequestMachine::ReleaseStream(TimePoint now, ReleaseOutcome outcome) {
  if (!stream_) return;
  cursor_.Close();
  const bool ran = outcome == ReleaseOutcome::kCompleted ||
                   outcome == ReleaseOutcome::kCancelled;
  const RunReport report = ran ? MakeReport(now) : RunReport{};
  for (const Grant& grant : stream_->grants) {
    OutgoingMessage out = ledger_.MakeRelease(grant, outcome, report);
    AddAction(SendToVm{out.to, std::move(out.message)});
  }
  stream_.reset();
}

/**
 * Cancels the stream; its grants are released when the endpoint has confirmed
 * the cancellation.
 */
void RequestMachine::CancelStream(TimePoint now) {
  if (!stream_) return;
  cursor_.Close();
  AddAction(CancelUpstream{stream_->endpoint, stream_->id});
  if (!stream_->grants.empty()) {
    pending_cancels_[stream_->id] = {
        std::move(stream_->grants), stream_->endpoint,
        now + timings_.cancel_timeout, MakeReport(now)};
  }
  stream_.reset();
}

void RequestMachine::EndPendingCancel(const std::string& stream_id,
                                      ReleaseOutcome outcome) {
  const auto it = pending_cancels_.find(stream_id);
  if (it == pending_cancels_.end()) return;
  if (outcome == ReleaseOutcome::kEndpointFailed && IsModel()) {
    // The call may have crashed the endpoint before the cancellation arrived.
    const Grant& first = it->second.grants.front();
    AddAction(
        ReportSuspect{options_.fingerprint, first.endpoint, first.boot, false});
  }
  for (const Grant& grant : it->second.grants) {
    OutgoingMessage out =
        ledger_.MakeRelease(grant, outcome, it->second.report);
    AddAction(SendToVm{out.to, std::move(out.message)});
  }
  pending_cancels_.erase(it);
  ReleaseLeaseIfIdle();
}

/**
 * Releases the grants on a failed endpoint without waiting for a confirmation.
 */
void RequestMachine::ReleaseFailedEndpoint(const EndpointId& endpoint,
                                           BootNumber boot) {
  for (auto it = pending_cancels_.begin(); it != pending_cancels_.end();) {
    std::erase_if(it->second.grants, [&](const Grant& grant) {
      if (!IsOnBoot(grant, endpoint, boot)) return false;
      OutgoingMessage out = ledger_.MakeRelease(
          grant, ReleaseOutcome::kEndpointFailed, it->second.report);
      AddAction(SendToVm{out.to, std::move(out.message)});
      return true;
    });
    it = it->second.grants.empty() ? pending_cancels_.erase(it) : std::next(it);
  }
  ReleaseLeaseIfIdle();
}

RequestActions RequestMachine::OnUpstreamCancelled(TimePoint now,
                                                   const std::string& stream_id,
                                                   bool confirmed) {
  EndIfDue(now);
  EndPendingCancel(stream_id, confirmed ? ReleaseOutcome::kCancelled
                                        : ReleaseOutcome::kEndpointFailed);
  return TakeActions(now);
}

}  // namespace zr
