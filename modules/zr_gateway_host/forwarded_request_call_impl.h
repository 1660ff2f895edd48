#pragma once

// Implementation of forwarded_request.h: calls to endpoints and their answers.

#include <algorithm>
#include <utility>

namespace zr {

template <GatewayFormat Format>
void ForwardedRequest<Format>::BeginCall(TimePoint now, PlacementPlan plan,
                                         bool dispatched) {
  using namespace gateway_internal;
  if (call_ && !EndSilentCall(now, plan)) return;
  waiting_ = false;
  call_.emplace(state_.answer_buffers);
  call_->number = ++calls_started_;
  call_->started = now;
  call_->last_progress = now;
  call_->kv_tokens = request_.shape.prompt + request_.shape.max_answer;
  call_->plan = std::move(plan);
  call_->dispatched = dispatched;
  call_->sent_body.emplace(state_.bodies, call_->plan.primary.endpoint,
                           request_.body.size());
  if (!dispatched) {
    ++state_.local_calls[service_->name];
    state_.tracker.CountRequest(now, call_->plan.primary.endpoint);
  }
  CallLoad load;
  load.key = Key();
  load.prefill_ms = call_->plan.prefill_ms;
  load.kv_tokens = call_->kv_tokens;
  load.max_gap = route_->gap_objective.value_or(Duration::Max());
  load.value = RequestValue(request_.shape);
  load.expires = deadline_ + Duration::Seconds(1);
  // The dispatcher, which knows all calls, learns from those that it placed.
  if (!dispatched && call_->plan.starts_at_once) {
    load.forecast_ms = call_->plan.expected_first_token.seconds() * 1000;
  }
  StartCall(now, state_.tracker, call_->plan.Endpoints(), load);
  LogFields fields = CommonFields(now);
  fields["endpoint"] = call_->plan.primary.endpoint.value();
  fields["helpers"] = call_->plan.helpers.size();
  fields["holders"] = call_->plan.kv_holders;
  fields["forecast_ms"] = call_->plan.expected_first_token.milliseconds();
  fields["by"] = dispatched ? "dispatcher" : "this VM";
  if (const auto* state = state_.tracker.Find(call_->plan.primary.endpoint)) {
    fields["own_calls"] = state->OccupiedSlots();
  }
  state_.log.Write(now, "placed", fields);
  if (call_->plan.kv_holders == 0) return SendCall(now);
  call_->reserving = true;
  state_.reservations->Reserve(
      now, Key(), call_->plan,
      [weak = this->weak_from_this(), number = calls_started_](bool held) {
        auto self = weak.lock();
        if (!self || !self->call_ || self->call_->number != number) return;
        self->OnReserved(BootNow(), held);
      },
      [weak = this->weak_from_this(), number = calls_started_] {
        auto self = weak.lock();
        if (!self || !self->call_ || self->call_->number != number) return;
        self->OnMemoryIdle();
      });
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnMemoryIdle() {
  if (call_->reserving || !call_->prefilling) return;
  FailCall(CallFailure::kTimedOut, CallResult::kTimedOut,
           "engine has not begun to use the memory reserved for the prompt");
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnReserved(TimePoint now, bool held) {
  using namespace gateway_internal;
  call_->reserving = false;
  if (held) return SendCall(now);
  ReleaseCall();
  if (++reservation_failures_ < kMaxReservationFailures) {
    waiting_ = true;
    return;
  }
  SendOwnAnswer(
      {503,
       Error{ErrorCode::kOverloaded, "reservation", service_->name.value(),
             "engines have no memory for the prompt"},
       kRetryAfter});
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::SendCall(TimePoint now) {
  using namespace gateway_internal;
  if (RejectBlamed(now)) return;
  // The VM may have been suspended since the key was checked.
  if (!team_.empty() && !state_.freshness.Fresh(now)) {
    ReleaseCall();
    return SendOwnAnswer(
        {503,
         Error{ErrorCode::kUnavailable, "dispatch", "",
               "configuration became stale before the call was sent"},
         kRetryAfter});
  }
  const PlacementPlan& plan = call_->plan;
  CallTarget target;
  target.endpoint = plan.primary.endpoint;
  target.address = plan.primary.address;
  for (size_t i = 0; i < plan.helpers.size(); ++i) {
    target.helpers.push_back(
        {plan.helpers[i].address,
         i < plan.kv_holders ? ReservationKeeper::IdAt(Key(), i) : ""});
  }
  target.time_left = deadline_ - now;
  target.team = team_;
  target.resume_after = last_event_;

  ClientRequest call = Format::WriteCall(request_, target);
  call.connect_timeout = std::min(kConnectTimeout, target.time_left);
  call.no_resend = true;
  call.fresh_connection = NeedsFreshConnection();
  call.new_connection = call_->dropped_at.has_value();
  call.max_idle = kMaxIdleConnection;

  call_->through = state_.paths->ChooseTunnelVm(now, service_->name,
                                                call_->tunnel_vms_tried);
  if (call_->through) {
    state_.paths->Apply(*call_->through, target.endpoint, call);
    call_->tunnel_vms_tried.insert(call_->through->vm);
  }
  ++call_->connections;
  if (!call_->dropped_at) ++possible_runs_;
  tried_.insert(plan.primary.endpoint);
  call_->started = now;
  if (!first_event_) last_call_started_ = now;
  last_endpoint_ = plan.primary.endpoint;
  call_->last_progress = now;
  call_->handle = state_.http->Start(
      std::move(call),
      std::make_shared<CallListener>(this->weak_from_this(), calls_started_));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnConnected(bool is_new) {
  call_->is_new_connection = is_new;
  if (!is_new) return;
  state_.paths->OnConnection(BootNow(), call_->plan.primary.endpoint,
                             call_->through ? &*call_->through : nullptr, true);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnNotConnected(const std::string& why) {
  using namespace gateway_internal;
  const TimePoint now = BootNow();
  state_.paths->OnConnection(now, call_->plan.primary.endpoint,
                             call_->through ? &*call_->through : nullptr,
                             false);
  const bool other_path = call_->connections < kMaxConnections &&
                          deadline_ - now > kMinTimeLeft &&
                          state_.paths->ChooseTunnelVm(now, service_->name,
                                                       call_->tunnel_vms_tried);
  if (other_path) {
    if (!call_->dropped_at) --possible_runs_;
    return SendCall(now);
  }
  if (call_->dropped_at) {
    return FailBrokenCall(*call_->dropped_at, why);
  }
  FailCall(CallFailure::kNotConnected, CallResult::kConnectionBroken, why);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnHead(int status, const HttpHeaders& headers) {
  const TimePoint now = BootNow();
  call_->last_progress = now;
  AnswerHead head = Format::ReadHead(status, headers);
  if (!head.request.empty() && head.request != request_.id) {
    return FailCall(CallFailure::kConnectionBroken,
                    CallResult::kConnectionBroken,
                    "answer belongs to another request");
  }
  if (head.request.empty() && !MayBeUnnamed(status)) {
    // Single error answers don't count against the endpoint's health.
    return FailCall(
        CallFailure::kConnectionBroken,
        status >= 500 ? CallResult::kErrorAnswer
                      : CallResult::kConnectionBroken,
        "answer does not name its request, status " + std::to_string(status));
  }
  if (head.encoded) {
    return FailCall(CallFailure::kConnectionBroken,
                    CallResult::kConnectionBroken,
                    "answer has a content encoding");
  }
  if (head.load) {
    state_.tracker.OnLoad(now, call_->plan.primary.endpoint, *head.load);
  }
  if (!head.misdirected) {
    state_.limits->OnAnswer(now, call_->plan.primary.endpoint, head.limit);
  }
  if (!head.misdirected) NoteNotice(now, head);
  if (head.misdirected) {
    return FailCall(CallFailure::kNotRun, CallResult::kMisdirected,
                    "another endpoint has the address");
  }
  if (head.not_run) {
    return FailCall(
        CallFailure::kNotRun, CallResult::kRejected,
        "endpoint did not run the request, status " + std::to_string(status));
  }
  if (answer_started_ && !ContinuesAnswer(head)) {
    return FailCall(CallFailure::kErrorAnswer, CallResult::kErrorAnswer,
                    "answer does not continue the stream, status " +
                        std::to_string(status));
  }
  call_->head = std::move(head);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::NoteNotice(TimePoint now,
                                          const AnswerHead& head) {
  // A rejection with helpers doesn't show which engine wants the pause.
  const bool own_pause = head.not_run && call_->plan.helpers.empty();
  const Duration pause =
      own_pause ? head.retry_after.value_or(Duration()) : Duration();
  if (!head.leaving && pause <= Duration()) return;
  state_.limits->OnNotice(now, call_->plan.primary.endpoint, head.leaving,
                          pause);
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::MayBeUnnamed(int status) const {
  constexpr int kFirstFailure = 400;
  return status >= kFirstFailure && call_->is_new_connection;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::ContinuesAnswer(const AnswerHead& head) const {
  const auto type = head.headers.find("content-type");
  return head.status == 200 &&
         (type == head.headers.end() ? "" : type->second) == content_type_;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::OnBody(std::string_view data) {
  if (!MayRead(data.size())) {
    paused_ = true;
    return false;
  }
  if (!call_->head) return true;
  if (route_->streaming && call_->head->status == 200) {
    call_->events.Append(data);
    ForwardEvents();
    const size_t pending = call_->events.pending_bytes();
    if (pending > EventSplitter::kMaxEventBytes ||
        !call_->buffer.TryResize(pending)) {
      FailCall(CallFailure::kConnectionBroken, CallResult::kConnectionBroken,
               "event is too large");
    }
    return true;
  }
  call_->last_progress = BootNow();
  if (!call_->buffer.TryGrow(data.size())) {
    FailCall(CallFailure::kConnectionBroken, CallResult::kConnectionBroken,
             "answer is too large");
    return true;
  }
  call_->body += data;
  return true;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ForwardEvents() {
  std::string bytes;
  while (auto event = call_->events.Next()) {
    // A resumed run may repeat events that the caller already has.
    if (event->id && last_event_ && *event->id <= *last_event_) continue;
    if (event->id) last_event_ = event->id;
    bytes += event->bytes;
  }
  if (bytes.empty()) return;
  const TimePoint now = BootNow();
  call_->last_progress = now;
  call_->pauses.OnEvent(now, call_->plan.primary.endpoint);
  pauses_.OnEvent(now, call_->plan.primary.endpoint);
  if (!first_event_) first_event_ = now;
  state_.suspects->OnAlive(now, call_->plan.primary.endpoint);
  RecordFirstEvent();
  if (!answer_started_) BeginAnswer();
  WriteToCaller(std::move(bytes));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::RecordFirstEvent() {
  if (!call_->prefilling) return;
  call_->prefilling = false;
  const TimePoint now = BootNow();
  state_.suspects->OnAnswerBegan(now, suspects_);
  const Duration elapsed = now - call_->started;
  zr::FinishPrefill(now, state_.tracker, call_->plan.Endpoints(), Key(),
                    elapsed);
  if (state_.dispatch && (service_->engine || call_->dispatched)) {
    state_.dispatch->Report(
        {request_.id, AttemptNumber(static_cast<uint64_t>(call_->number)),
         service_->name, CallStage::kPrefillDone, CallResult::kAnswered,
         elapsed});
  }
  LogFields fields = CommonFields(now);
  fields["endpoint"] = call_->plan.primary.endpoint.value();
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
  const TimePoint now = BootNow();
  if (failure) {
    if (!failure->request_sent) return OnNotConnected(failure->error.message);
    if (failure->idle_connection_dropped && MayResendCall(now)) {
      return ResendCall(now, failure->error.message);
    }
    return FailBrokenCall(now, failure->error.message);
  }
  if (!call_->head) {
    return FailCall(CallFailure::kConnectionBroken,
                    CallResult::kConnectionBroken,
                    "answer ended without a status");
  }
  if (call_->events.pending_bytes() > 0) {
    return FailBrokenCall(now, "answer ended within an event");
  }
  if (route_->streaming && call_->head->status == 200 && call_->prefilling &&
      !last_event_) {
    return FailBrokenCall(now, "answer ended before its first event");
  }
  CompleteCall();
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::MayResendCall(TimePoint now) const {
  return !call_->dropped_at &&
         route_->retry_policy != RetryPolicy::kAtMostOnce &&
         deadline_ - now > gateway_internal::kMinTimeLeft;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::ResendCall(TimePoint now,
                                          const std::string& why) {
  LogFields fields = CommonFields(now);
  fields["endpoint"] = call_->plan.primary.endpoint.value();
  fields["reason"] = why;
  fields["call_ms"] = (now - call_->started).milliseconds();
  state_.log.Write(now, "call_resent", fields);
  state_.metrics.Count("zr_gateway_lost_connections_total",
                       {{"service", service_->name.value()}});
  call_->dropped_at = now;
  call_->handle.reset();
  SendCall(now);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::FailBrokenCall(TimePoint broken,
                                              const std::string& why) {
  state_.suspects->OnCallBroken(BootNow(), broken, request_.id,
                                call_->plan.primary.endpoint,
                                !call_->prefilling, suspects_);
  FailCall(CallFailure::kConnectionBroken, CallResult::kConnectionBroken, why);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::CompleteCall() {
  const TimePoint now = BootNow();
  const int status = call_->head->status;
  state_.suspects->OnAlive(now, call_->plan.primary.endpoint);
  if (status >= 500) {
    // A timeout at the endpoint (504) doesn't count against its health.
    return FailCall(
        CallFailure::kErrorAnswer,
        status == 504 ? CallResult::kAnswered : CallResult::kErrorAnswer,
        "status " + std::to_string(status));
  }
  state_.suspects->OnAnswerCompleted(now, suspects_);
  std::optional<Duration> answered_in;
  if (!service_->engine && !route_->streaming) {
    answered_in = now - call_->started;
  }
  state_.tracker.OnCallResult(now, call_->plan.primary.endpoint,
                              CallResult::kAnswered, answered_in);
  call_->result = CallResult::kAnswered;
  if (route_->streaming && status == 200) {
    if (!answer_started_) BeginAnswer();
    response_->End();
    ReleaseCall();
    return Finish("completed", status);
  }
  response_->Send(status, AnswerHeaders(call_->head->headers),
                  std::move(call_->body));
  first_event_ = now;
  ReleaseCall();
  Finish("completed", status);
}

}  // namespace zr
