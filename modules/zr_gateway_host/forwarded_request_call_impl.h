#pragma once

// Implementation of forwarded_request.h: calls to endpoints, their answers and
// failures.

#include <algorithm>
#include <utility>

namespace zr {

template <GatewayFormat Format>
void ForwardedRequest<Format>::Send(TimePoint now, PlacementPlan plan) {
  using namespace gateway_internal;
  waiting_ = false;
  call_.emplace();
  call_->number = ++sends_;
  call_->started = now;
  call_->last_byte = now;
  call_->held = request_.shape.prompt + request_.shape.max_answer;
  call_->plan = std::move(plan);
  CallLoad load;
  load.key = Key();
  load.reading_ms = call_->plan.part_ms;
  load.held = call_->held;
  load.gap = route_->gap_objective.value_or(Duration::Max());
  load.value = RequestValue(request_.shape);
  load.expires = deadline_ + Duration::Seconds(1);
  StartCall(now, state_.board, call_->plan.Endpoints(), load);
  LogFields fields = Fields(now);
  fields["endpoint"] = call_->plan.first.endpoint.value();
  fields["helpers"] = call_->plan.helpers.size();
  fields["holders"] = call_->plan.holders;
  fields["forecast_ms"] = call_->plan.expected_first_token.milliseconds();
  fields["by"] = placed_by_;
  if (const auto* state = state_.board.Find(call_->plan.first.endpoint)) {
    fields["own_calls"] = state->Writers();
  }
  state_.log.Write(now, "placed", fields);
  if (call_->plan.holders == 0) return Transmit(now);
  call_->reserving = true;
  state_.reservations->Reserve(
      now, Key(), call_->plan,
      [weak = this->weak_from_this(), number = sends_](bool held) {
        auto self = weak.lock();
        if (!self || !self->call_ || self->call_->number != number) return;
        self->OnReserved(BootNow(), held);
      });
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnReserved(TimePoint now, bool held) {
  using namespace gateway_internal;
  call_->reserving = false;
  if (held) return Transmit(now);
  ReleaseCall();
  if (++reserve_failures_ < kMaxReserveFailures) {
    waiting_ = true;
    return;
  }
  SendOwn({503,
           Error{ErrorCode::kOverloaded, "reservation", service_->name.value(),
                 "engines have no memory for the prompt"},
           kRetryAfter});
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Transmit(TimePoint now) {
  using namespace gateway_internal;
  // A suspended VM may wake here long after the key was checked.
  if (!team_.empty() && !state_.freshness.Fresh(now)) {
    ReleaseCall();
    return SendOwn({503,
                    Error{ErrorCode::kUnavailable, "dispatch", "",
                          "configuration became stale before the call"},
                    kRetryAfter});
  }
  const PlacementPlan& plan = call_->plan;
  CallTarget target;
  target.endpoint = plan.first.endpoint;
  target.address = plan.first.address;
  for (size_t i = 0; i < plan.helpers.size(); ++i) {
    target.helpers.push_back(
        {plan.helpers[i].address,
         i < plan.holders ? ReservationKeeper::IdAt(Key(), i) : ""});
  }
  target.time_left = deadline_ - now;
  target.team = team_;
  target.resume_after = last_event_;

  ClientRequest call = Format::WriteCall(request_, target);
  call.connect_timeout = std::min(kConnectTimeout, target.time_left);
  call.no_resend = true;
  call.fresh_connection = route_->repeat == RepeatRule::kOnce;
  call.max_idle = kMaxIdleConnection;

  ++possible_runs_;
  tried_.insert(plan.first.endpoint);
  call_->started = now;
  call_->last_byte = now;
  call_->handle = state_.http->Start(
      std::move(call),
      std::make_shared<CallListener>(this->weak_from_this(), sends_));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnHead(int status, const HttpHeaders& headers) {
  const TimePoint now = BootNow();
  call_->last_byte = now;
  AnswerHead head = Format::ReadHead(status, headers);
  if (!head.request.empty() && head.request != request_.id) {
    return FailCall(CallFailure::kBroken, CallSign::kBroken,
                    "answer belongs to another request");
  }
  if (head.encoded) {
    return FailCall(CallFailure::kBroken, CallSign::kBroken,
                    "answer has a content encoding");
  }
  if (head.load) {
    state_.board.OnLoad(now, call_->plan.first.endpoint, *head.load);
  }
  if (head.other_endpoint) {
    return FailCall(CallFailure::kNotRun, CallSign::kMisdirected,
                    "another endpoint has the address");
  }
  if (head.not_run) {
    return FailCall(
        CallFailure::kNotRun, CallSign::kRejected,
        "endpoint did not run it, status " + std::to_string(status));
  }
  call_->head = std::move(head);
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::OnBody(std::string_view data) {
  using namespace gateway_internal;
  if (unsent_bytes_ > kMaxUnsentBytes) {
    paused_ = true;
    return false;
  }
  call_->last_byte = BootNow();
  if (!call_->head) return true;
  if (route_->streaming && call_->head->status == 200) {
    call_->events.Append(data);
    ForwardEvents();
    return true;
  }
  if (call_->body.size() + data.size() > kMaxPlainAnswer) {
    FailCall(CallFailure::kBroken, CallSign::kBroken, "answer is too large");
    return true;
  }
  call_->body += data;
  return true;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ForwardEvents() {
  std::string bytes;
  while (auto event = call_->events.Next()) {
    // A resumed run may repeat events that the caller has.
    if (event->id && last_event_ && *event->id <= *last_event_) continue;
    if (event->id) last_event_ = event->id;
    bytes += event->bytes;
  }
  if (bytes.empty()) return;
  NotePromptRead();
  if (!answer_begun_) BeginAnswer();
  unsent_bytes_ += bytes.size();
  const size_t size = bytes.size();
  response_->Write(
      std::move(bytes), [weak = this->weak_from_this(), size](bool) {
        auto self = weak.lock();
        if (!self) return;
        self->unsent_bytes_ -= std::min(size, self->unsent_bytes_);
        if (self->paused_ && self->unsent_bytes_ == 0 && self->call_) {
          self->paused_ = false;
          self->call_->handle->Resume();
        }
      });
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::NotePromptRead() {
  if (!call_->reading) return;
  call_->reading = false;
  const TimePoint now = BootNow();
  zr::NotePromptRead(now, state_.board, call_->plan.Endpoints(), Key());
  if (service_->engine && state_.dispatch) {
    state_.dispatch->Report(
        {request_.id, AttemptNumber(static_cast<uint64_t>(call_->number)),
         service_->name, CallStage::kPromptRead, CallSign::kAnswered});
  }
  LogFields fields = Fields(now);
  fields["endpoint"] = call_->plan.first.endpoint.value();
  fields["forecast_ms"] = call_->plan.expected_first_token.milliseconds();
  fields["call_ms"] = (now - call_->started).milliseconds();
  fields["objective_ms"] = route_->latency_objective.milliseconds();
  state_.log.Write(now, "first_event", fields);
  state_.metrics.Observe("zr_gateway_first_event_seconds",
                         {{"route", route_->name}}, now - arrived_);
  state_.metrics.Observe(
      "zr_gateway_forecast_error_seconds",
      {{"service", service_->name.value()}},
      std::max(Duration(),
               now - call_->started - call_->plan.expected_first_token));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnCallEnd(std::optional<ClientFailure> failure) {
  if (failure) {
    if (!failure->request_sent) {
      return FailCall(CallFailure::kNotConnected, CallSign::kBroken,
                      failure->error.message);
    }
    return FailCall(CallFailure::kBroken, CallSign::kBroken,
                    failure->error.message);
  }
  if (!call_->head) {
    return FailCall(CallFailure::kBroken, CallSign::kBroken,
                    "answer has no status");
  }
  if (call_->events.pending_bytes() > 0) {
    return FailCall(CallFailure::kBroken, CallSign::kBroken,
                    "answer ends within an event");
  }
  CompleteCall();
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::CompleteCall() {
  const TimePoint now = BootNow();
  const int status = call_->head->status;
  if (status >= 500) {
    // Timeouts of the endpoint say nothing about its health.
    return FailCall(
        CallFailure::kErrorAnswer,
        status == 504 ? CallSign::kAnswered : CallSign::kErrorAnswer,
        "status " + std::to_string(status));
  }
  state_.board.OnSign(now, call_->plan.first.endpoint, CallSign::kAnswered);
  call_->sign = CallSign::kAnswered;
  if (route_->streaming && status == 200) {
    if (!answer_begun_) BeginAnswer();
    response_->End();
    ReleaseCall();
    return Finish("completed", status);
  }
  response_->Send(status, AnswerHeaders(call_->head->headers),
                  std::move(call_->body));
  ReleaseCall();
  Finish("completed", status);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::FailCall(CallFailure failure, CallSign sign,
                                        const std::string& why) {
  using namespace gateway_internal;
  const TimePoint now = BootNow();
  call_->sign = sign;
  const EndpointId endpoint = call_->plan.first.endpoint;
  // With helpers, the one at fault is not known unless the answer names it.
  if (call_->plan.helpers.empty() || sign != CallSign::kRejected) {
    state_.board.OnSign(now, endpoint, sign);
  }
  if (failure == CallFailure::kNotRun ||
      failure == CallFailure::kNotConnected) {
    --possible_runs_;
  }
  last_failure_ = failure;
  LogFields fields = Fields(now);
  fields["endpoint"] = endpoint.value();
  fields["failure"] = ToString(failure);
  fields["reason"] = why;
  fields["call_ms"] = (now - call_->started).milliseconds();
  fields["last_event"] = last_event_.value_or(-1);

  AttemptFacts facts = Facts(now);
  NextStep step = AfterFailure(facts, failure);
  if (step == NextStep::kSendAgain &&
      !state_.BudgetOf(service_->name).TryRetry(now)) {
    fields["budget"] = "used up";
    facts.candidate_left = false;
    step = AfterFailure(facts, failure);
  }
  fields["next_step"] = static_cast<int>(step);
  state_.log.Write(now, "call_failed", fields);
  state_.metrics.Count(
      "zr_gateway_call_failures_total",
      {{"service", service_->name.value()}, {"failure", ToString(failure)}});

  std::optional<AnswerHead> head = std::move(call_->head);
  std::string body = std::move(call_->body);
  ReleaseCall();
  switch (step) {
    case NextStep::kSendAgain:
      return Place(now);
    case NextStep::kForwardAnswer:
      response_->Send(head->status, AnswerHeaders(head->headers),
                      std::move(body));
      return Finish("endpoint error", head->status);
    case NextStep::kCutAnswer:
      response_->Abort();
      return Finish("cut", 0);
    case NextStep::kRefuse:
      return SendOwn(
          {503, Error{ErrorCode::kOverloaded, "call", endpoint.value(), why},
           kRetryAfter});
    case NextStep::kFail:
      return SendOwn(
          {502,
           Error{ErrorCode::kUnknownOutcome, "call", endpoint.value(), why},
           {}});
  }
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ReleaseCall() {
  if (!call_) return;
  if (call_->handle) call_->handle->Cancel();
  const TimePoint now = BootNow();
  EndCall(now, state_.board, call_->plan.Endpoints(), Key());
  if (call_->plan.holders > 0) state_.reservations->Release(now, Key());
  if (service_->engine && state_.dispatch) {
    state_.dispatch->Report(
        {request_.id, AttemptNumber(static_cast<uint64_t>(call_->number)),
         service_->name, CallStage::kEnded, call_->sign});
  }
  call_.reset();
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnCallerGone() {
  if (ended_) return;
  ReleaseCall();
  Finish("caller gone", 0);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Abandon() {
  if (ended_) return;
  ReleaseCall();
  response_->Abort();
  Finish("abandoned", 0);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Tick(TimePoint now) {
  if (ended_) return;
  if (now >= deadline_) return Expire(now);
  if (waiting_ && now >= wait_until_) return Place(now);
  if (call_ && !call_->reserving && !paused_ &&
      now - call_->last_byte > SilenceBound() && CanGoOnElsewhere(now)) {
    FailCall(CallFailure::kSilent, CallSign::kSilent,
             "no byte within the bound");
  }
}

template <GatewayFormat Format>
AttemptFacts ForwardedRequest<Format>::Facts(TimePoint now) const {
  AttemptFacts facts;
  facts.repeat = route_->repeat;
  facts.answer_begun = answer_begun_;
  facts.possible_runs = possible_runs_;
  facts.max_runs = route_->attempts;
  facts.sends = sends_ - reserve_failures_;
  facts.time_left = deadline_ - now > gateway_internal::kLeastTimeLeft;
  return facts;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::CanGoOnElsewhere(TimePoint now) const {
  AttemptFacts facts = Facts(now);
  facts.candidate_left =
      !state_.board.Available(now, service_->name, tried_).empty();
  return AfterFailure(facts, CallFailure::kSilent) == NextStep::kSendAgain &&
         state_.BudgetOf(service_->name).CanRetry(now);
}

template <GatewayFormat Format>
Duration ForwardedRequest<Format>::SilenceBound() const {
  using namespace gateway_internal;
  if (answer_begun_ && !call_->reading) {
    return std::max({kEventSilence, route_->latency_objective * 3,
                     route_->gap_objective.value_or(Duration()) * 6});
  }
  // A loaded engine is slow, not silent: its forecast says how slow. Running
  // its requests again elsewhere would add to the load.
  return kFirstByteSilence + route_->latency_objective / 2 +
         call_->plan.expected_first_token * 4;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Expire(TimePoint now) {
  state_.log.Write(now, "deadline", Fields(now));
  const bool may_have_run = possible_runs_ > 0;
  ReleaseCall();
  SendOwn({may_have_run ? 504 : 503,
           Error{ErrorCode::kDeadlineExceeded, "deadline", "",
                 may_have_run ? "no answer before the deadline"
                              : "no endpoint before the deadline"},
           {}});
}

}  // namespace zr
