#pragma once

// Implementation of forwarded_request.h: failed, silent and abandoned calls.

#include <algorithm>
#include <utility>

namespace zr {

template <GatewayFormat Format>
void ForwardedRequest<Format>::FailCall(CallFailure failure, CallResult result,
                                        const std::string& why) {
  using namespace gateway_internal;
  const TimePoint now = BootNow();
  call_->result = result;
  const EndpointId endpoint = call_->plan.primary.endpoint;
  // A rejection with helpers doesn't show which engine rejected, unless the
  // answer names it.
  if (call_->plan.helpers.empty() || result != CallResult::kRejected) {
    state_.tracker.OnCallResult(now, endpoint, result);
  }
  // A call that was sent again may have run the first time.
  if (!call_->dropped_at && (failure == CallFailure::kNotRun ||
                             failure == CallFailure::kNotConnected)) {
    --possible_runs_;
  }
  LogFields fields = FailureFields(now, failure, why);
  RetryContext context = MakeRetryContext(now);
  FailureAction step = DecideAfterFailure(context, failure);
  if (step == FailureAction::kRetry &&
      !state_.BudgetOf(service_->name).TryRetry(now)) {
    fields["budget"] = "used up";
    context.candidate_left = false;
    step = DecideAfterFailure(context, failure);
  }
  fields["next_step"] = static_cast<int>(step);
  state_.log.Write(now, "call_failed", fields);
  CountFailure(failure);

  std::optional<AnswerHead> head = std::move(call_->head);
  std::string body = std::move(call_->body);
  ReleaseCall();
  switch (step) {
    case FailureAction::kRetry:
      if (!answer_started_ || failure != CallFailure::kNotRun) {
        return Place(now);
      }
      // The endpoints are full, so another one would reject it at once, too.
      // All of them may have room later.
      tried_.erase(endpoint);
      waiting_ = true;
      deferred_until_ = now + kResumePeriod;
      return;
    case FailureAction::kForwardAnswer:
      response_->Send(head->status, AnswerHeaders(head->headers),
                      std::move(body));
      return Finish("endpoint error", head->status);
    case FailureAction::kCutAnswer:
      return CutAnswer();
    case FailureAction::kRefuse:
      return SendOwnAnswer(
          {503, Error{ErrorCode::kOverloaded, "call", endpoint.value(), why},
           kRetryAfter});
    case FailureAction::kFail:
      return SendOwnAnswer(
          {502,
           Error{ErrorCode::kUnknownOutcome, "call", endpoint.value(), why},
           {}});
  }
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ReleaseCall() {
  if (!call_) return;
  if (call_->handle) call_->handle->Cancel();
  if (!call_->dispatched) --state_.local_calls[service_->name];
  const TimePoint now = BootNow();
  if (call_->result != CallResult::kAnswered && !paused_) {
    call_->pauses.OnBroken(now);
  }
  paused_ = false;
  EndCall(now, state_.tracker, call_->plan.Endpoints(), Key());
  if (call_->plan.kv_holders > 0) state_.reservations->Release(now, Key());
  if (state_.dispatch && (service_->engine || call_->dispatched)) {
    state_.dispatch->Report(EndOfCall(now));
  }
  call_.reset();
}

template <GatewayFormat Format>
CallProgress ForwardedRequest<Format>::EndOfCall(TimePoint now) const {
  CallProgress progress;
  progress.request = request_.id;
  progress.call_number = AttemptNumber(static_cast<uint64_t>(call_->number));
  progress.pool = service_->name;
  progress.stage = CallStage::kEnded;
  progress.result = call_->result;
  progress.elapsed = now - call_->started;
  progress.longest_pause = call_->pauses.longest();
  if (progress.longest_pause > Duration()) {
    progress.pause_ended_ago = now - call_->pauses.ended();
  }
  return progress;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnCallerDisconnected() {
  if (ended_) return;
  ReleaseCall();
  Finish("caller gone", 0);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Abandon() {
  if (ended_) return;
  ReleaseCall();
  Finish("abandoned", 0);
  response_->Abort();
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Tick(TimePoint now) {
  if (ended_) return;
  if (held_) {
    if (HeldAtStartup(now)) return;
    held_ = false;
    return Begin(now);
  }
  if (now >= deadline_) return Expire(now);
  if (call_ && call_->prefilling && RejectBlamed(now)) return;
  if (waiting_ && now >= deferred_until_) return Place(now);
  if (IsSilent(now) && !awaiting_dispatch_ && now >= next_seek_ &&
      CanRetryElsewhere(now)) {
    SeekContinuation(now);
  }
}

//==============================================================================
// Silent calls. A silent call may still be answered, so it goes on until
// another endpoint is granted.

template <GatewayFormat Format>
bool ForwardedRequest<Format>::IsSilent(TimePoint now) const {
  return call_ && !call_->reserving && !paused_ &&
         now - call_->last_progress > SilenceTimeout();
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::SeekContinuation(TimePoint now) {
  next_seek_ = now + gateway_internal::kSeekPeriod;
  Place(now);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::KeepSilentCall(TimePoint now,
                                              const char* reason) {
  LogFields fields = CommonFields(now);
  fields["endpoint"] = call_->plan.primary.endpoint.value();
  fields["silent_ms"] = (now - call_->last_progress).milliseconds();
  fields["reason"] = reason;
  state_.log.Write(now, "silent_call_kept", fields);
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::EndSilentCall(TimePoint now,
                                             const PlacementPlan& plan) {
  const char* reason = nullptr;
  if (!IsSilent(now)) {
    reason = "the endpoint answers again";
  } else if (!CanRetryElsewhere(now)) {
    reason = "no further run is allowed";
  } else if (plan.kv_holders > 0) {
    // Its reservation may still fail.
    reason = "the continuation needs reserved memory";
  } else if (!state_.BudgetOf(service_->name).TryRetry(now)) {
    reason = "the retry budget is used up";
  }
  if (reason != nullptr) {
    ReturnGrant();
    KeepSilentCall(now, reason);
    return false;
  }
  call_->result = CallResult::kTimedOut;
  state_.tracker.OnCallResult(now, call_->plan.primary.endpoint,
                              CallResult::kTimedOut);
  LogFields fields =
      FailureFields(now, CallFailure::kTimedOut, "no byte within the bound");
  fields["next_step"] = static_cast<int>(FailureAction::kRetry);
  state_.log.Write(now, "call_failed", fields);
  CountFailure(CallFailure::kTimedOut);
  ReleaseCall();
  return true;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ReturnGrant() {
  if (!IsDispatched()) return;
  state_.dispatch->Report(
      {request_.id, AttemptNumber(static_cast<uint64_t>(calls_started_ + 1)),
       service_->name, CallStage::kEnded, CallResult::kAborted});
}

template <GatewayFormat Format>
LogFields ForwardedRequest<Format>::FailureFields(
    TimePoint now, CallFailure failure, const std::string& why) const {
  LogFields fields = CommonFields(now);
  fields["endpoint"] = call_->plan.primary.endpoint.value();
  fields["failure"] = ToString(failure);
  fields["reason"] = why;
  fields["call_ms"] = (now - call_->started).milliseconds();
  fields["last_event"] = last_event_.value_or(-1);
  fields["began"] = !call_->prefilling;
  fields["new_connection"] = call_->is_new_connection;
  if (call_->through) fields["through"] = call_->through->vm.value();
  fields["parts"] = request_.shared_parts;
  return fields;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::CountFailure(CallFailure failure) {
  if (!first_event_) ++failed_calls_;
  pauses_.OnCallFailed();
  state_.metrics.Count(
      "zr_gateway_call_failures_total",
      {{"service", service_->name.value()}, {"failure", ToString(failure)}});
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::AddLateness(TimePoint now,
                                           std::string_view outcome, int status,
                                           LogFields& fields) {
  if (route_ == nullptr) return;
  const MetricLabels labels = {{"route", route_->name}};
  if (!team_.empty()) fields["team"] = team_.value();
  if (!last_endpoint_.empty()) fields["endpoint"] = last_endpoint_.value();
  if (first_event_) {
    fields["first_event_ms"] = (*first_event_ - arrived_).milliseconds();
  }
  if (outcome != "completed" && !paused_) pauses_.OnBroken(now);
  if (pauses_.longest() > Duration()) {
    fields["longest_pause_ms"] = pauses_.longest().milliseconds();
    fields["pause_endpoint"] = pauses_.endpoint().value();
    fields["pause_at_ms"] = (pauses_.ended() - arrived_).milliseconds();
    state_.metrics.Observe("zr_gateway_longest_pause_seconds", labels,
                           pauses_.longest());
  }
  // A refused request has no answer that could be late.
  if (outcome == "own answer" && (status < 500 || status == 503)) return;
  RequestTimes times;
  times.arrived = arrived_;
  times.call_started = last_call_started_;
  times.first_event = first_event_.value_or(now);
  times.failed_calls = failed_calls_;
  times.longest_pause = pauses_.longest();
  times.pause_had_failed_call = pauses_.had_failed_call();
  const Lateness lateness =
      ClassifyLateness(times, route_->latency_objective, route_->gap_objective);
  if (lateness == Lateness::kInTime) return;
  fields["late_by"] = ToString(lateness);
  state_.metrics.Count(
      "zr_gateway_late_total",
      {{"route", route_->name}, {"cause", ToString(lateness)}});
}

template <GatewayFormat Format>
RetryContext ForwardedRequest<Format>::MakeRetryContext(TimePoint now) const {
  RetryContext context;
  context.retry_policy = route_->retry_policy;
  context.answer_started = answer_started_;
  context.possible_runs = possible_runs_;
  context.max_runs = route_->max_attempts;
  context.sends = calls_started_ - reservation_failures_;
  context.time_left = deadline_ - now > gateway_internal::kMinTimeLeft;
  return context;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::CanRetryElsewhere(TimePoint now) const {
  RetryContext context = MakeRetryContext(now);
  // A dispatcher counts the limits of endpoints, if there is one.
  const std::optional<double> spare =
      IsDispatched() ? std::nullopt : std::optional<double>(0);
  context.candidate_left =
      !state_.tracker.Available(now, service_->name, tried_, spare).empty();
  return DecideAfterFailure(context, CallFailure::kTimedOut) ==
             FailureAction::kRetry &&
         state_.BudgetOf(service_->name).CanRetry(now);
}

template <GatewayFormat Format>
Duration ForwardedRequest<Format>::SilenceTimeout() const {
  using namespace gateway_internal;
  if (answer_started_ && !call_->prefilling) {
    return std::max({kEventTimeout, route_->latency_objective * 3,
                     route_->gap_objective.value_or(Duration()) * 6});
  }
  if (!call_->through && !call_->head &&
      state_.paths->IsCutOff(service_->name)) {
    return kLostPathTimeout;
  }
  // The forecast is part of the timeout, so that a loaded engine isn't taken
  // for a silent one: running its requests again elsewhere adds to the load.
  return kFirstByteTimeout + route_->latency_objective / 2 +
         call_->plan.expected_first_token * 4;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Expire(TimePoint now) {
  state_.log.Write(now, "deadline", CommonFields(now));
  const bool may_have_run = possible_runs_ > 0;
  ReleaseCall();
  SendOwnAnswer({may_have_run ? 504 : 503,
                 Error{ErrorCode::kDeadlineExceeded, "deadline", "",
                       may_have_run ? "no answer before the deadline"
                                    : "no endpoint before the deadline"},
                 {}});
}

}  // namespace zr
