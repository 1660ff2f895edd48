#pragma once

// Implementation of forwarded_request.h.

#include <algorithm>
#include <utility>

namespace zr {
namespace gateway_internal {

// Connecting takes two round trips of a few milliseconds in a region.
inline constexpr Duration kConnectTimeout = Duration::Milliseconds(300);
// Idle connections are not reused beyond this; endpoints close them sooner or
// later without notice.
inline constexpr Duration kMaxIdleConnection = Duration::Seconds(3);
// An answer that writes nothing for this long, or several times its objectives,
// is continued elsewhere; callers give up soon after.
inline constexpr Duration kEventSilence = Duration::Milliseconds(1500);
// Least time that an endpoint has for its first byte.
inline constexpr Duration kFirstByteSilence = Duration::Milliseconds(1000);
// Less time than this is not worth another call.
inline constexpr Duration kLeastTimeLeft = Duration::Milliseconds(30);
// A plain answer larger than this is cut off; it is held in memory.
inline constexpr size_t kMaxPlainAnswer = size_t{8} << 20;
// Bytes of a stream that wait for a slow caller before reading stops.
inline constexpr size_t kMaxUnsentBytes = 64 << 10;
// After this time in a stop, only requests that surely end before the process
// does are taken; balancers have stopped sending new connections by then.
inline constexpr Duration kStopAdmission = Duration::Milliseconds(2800);
// Time after which a refused caller may come back.
inline constexpr Duration kRetryAfter = Duration::Milliseconds(300);

}  // namespace gateway_internal

template <GatewayFormat Format>
ForwardedRequest<Format>::ForwardedRequest(GatewayState& state,
                                           CallerRequest request,
                                           HttpResponsePtr response,
                                           TimePoint arrived)
    : state_(state),
      request_(std::move(request)),
      response_(std::move(response)),
      arrived_(arrived),
      last_event_(request_.resume_after) {}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Start() {
  response_->OnClosed([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) self->OnCallerGone();
  });
  if (ended_ || !Admit()) return;
  if (!AdmitWhileStopping(arrived_)) {
    return SendOwn({503,
                    Error{ErrorCode::kUnavailable, "admission", "",
                          "this VM stops before the answer would end"},
                    Duration()});
  }
  state_.BudgetOf(service_->name).OnSuccess();
  Place(arrived_);
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::Admit() {
  const auto refuse = [this](int status, ErrorCode code, const char* message) {
    OwnAnswer answer{status, Error{code, "admission", "", message}, {}};
    if (status == 503) answer.retry_after = gateway_internal::kRetryAfter;
    SendOwn(std::move(answer));
    return false;
  };
  config_ = state_.config;
  if (!config_) {
    return refuse(503, ErrorCode::kUnavailable, "no configuration known yet");
  }
  const bool fresh = state_.freshness.Fresh(arrived_);
  route_ = config_->Match(request_.host, request_.path);
  if (route_ == nullptr) {
    // A stale configuration may miss a route that has been added.
    return fresh ? refuse(404, ErrorCode::kNotFound, "no route matches")
                 : refuse(503, ErrorCode::kUnavailable,
                          "no route in a configuration of uncertain age");
  }
  if (config_->needs_keys() && !route_->anonymous) {
    const TeamKeys* team = config_->FindTeam(request_.key);
    if (!fresh) {
      return refuse(503, ErrorCode::kUnavailable,
                    "key cannot be checked: the configuration's age is "
                    "uncertain");
    }
    if (team == nullptr) {
      return refuse(401, ErrorCode::kUnauthenticated, "unknown key");
    }
    team_ = team->team;
  }
  if (request_.body.size() > config_->limits().max_body_bytes) {
    return refuse(413, ErrorCode::kTooLarge, "body exceeds its bound");
  }
  Duration allowed = route_->timeout;
  if (request_.timeout) allowed = std::min(allowed, *request_.timeout);
  deadline_ = arrived_ + allowed;
  const ServiceName& name = PickService(*route_, state_.random.Unit());
  service_ = config_->FindService(name);
  if (service_ == nullptr) {
    return refuse(503, ErrorCode::kUnavailable, "route names no service");
  }
  return true;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::AdmitWhileStopping(TimePoint now) {
  using namespace gateway_internal;
  if (!state_.stopping || now - state_.stop_began < kStopAdmission) return true;
  return !route_->streaming && deadline_ < state_.stop_ends;
}

template <GatewayFormat Format>
CallNeeds ForwardedRequest<Format>::Needs(TimePoint now) const {
  CallNeeds needs;
  needs.shape = request_.shape;
  needs.objective =
      std::max(Duration(), arrived_ + route_->latency_objective - now);
  needs.gap = route_->gap_objective.value_or(Duration::Max());
  needs.time_left = deadline_ - now;
  needs.excluded = tried_;
  return needs;
}

template <GatewayFormat Format>
double ForwardedRequest<Format>::ValueMs() const {
  return service_->engine
             ? EngineMilliseconds(*service_->engine, request_.shape)
             : 0;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Place(TimePoint now) {
  waiting_ = false;
  if (service_->engine && state_.dispatch) return PlaceByDispatcher(now);
  PlaceLocally(now);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::PlaceByDispatcher(TimePoint now) {
  const CallNeeds needs = Needs(now);
  PlaceCall ask;
  ask.request = request_.id;
  ask.call = AttemptNumber(static_cast<uint64_t>(sends_ + 1));
  ask.pool = service_->name;
  ask.prompt = needs.shape.prompt;
  ask.max_answer = needs.shape.max_answer;
  ask.objective = needs.objective;
  ask.gap = std::min(needs.gap, needs.time_left);
  ask.time_left = needs.time_left;
  ask.excluded = {tried_.begin(), tried_.end()};
  asking_ = true;
  const int number = ++asks_;
  state_.dispatch->Ask(
      now, ask,
      [weak = this->weak_from_this(),
       number](std::optional<CallPlaced> placed) {
        auto self = weak.lock();
        if (!self || self->ended_ || !self->asking_ || self->asks_ != number) {
          return;
        }
        self->asking_ = false;
        self->OnPlaced(BootNow(), std::move(placed));
      });
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnPlaced(TimePoint now,
                                        std::optional<CallPlaced> placed) {
  if (!placed) return PlaceLocally(now);
  if (placed->endpoint.empty()) return NoEndpoint(now, placed->retry_after);
  // What this VM knows of leaving endpoints binds it, whoever chose them.
  std::vector<EndpointId> endpoints = placed->helpers;
  endpoints.push_back(placed->endpoint);
  PlacementPlan plan;
  for (const EndpointId& endpoint : endpoints) {
    if (!state_.board.MayCall(endpoint)) {
      state_.dispatch->Report({request_.id, placed->call, service_->name,
                               CallStage::kEnded, CallSign::kAborted});
      return PlaceLocally(now);
    }
    plan.helpers.push_back(
        {endpoint, state_.board.Find(endpoint)->listed.address});
  }
  plan.first = std::move(plan.helpers.back());
  plan.helpers.pop_back();
  placed_by_ = "dispatcher";
  plan.part_ms = placed->part_us / 1000.0;
  plan.expected_first_token = placed->forecast;
  Send(now, std::move(plan));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::PlaceLocally(TimePoint now) {
  placed_by_ = "this VM";
  const EngineFigures* engine = service_->engine ? &*service_->engine : nullptr;
  auto plan =
      state_.own_placement.Choose(now, state_.board, service_->name, engine,
                                  Needs(now), state_.random.Next());
  if (plan) return Send(now, std::move(*plan));
  NoEndpoint(now, gateway_internal::kRetryAfter);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::NoEndpoint(TimePoint now, Duration retry_after) {
  const bool fits =
      !service_->engine || FitsEngine(*service_->engine, request_.shape);
  const Duration patience =
      std::min(route_->latency_objective / 4, Duration::Milliseconds(300));
  const bool may_come = fits && sends_ == 0 && now - arrived_ < patience &&
                        state_.board.CountActive(service_->name) > 0;
  if (may_come) {
    waiting_ = true;
    return;
  }
  if (!fits) {
    return SendOwn(
        {503,
         Error{ErrorCode::kTooLarge, "placement", service_->name.value(),
               "prompt and answer exceed the memory of an engine"},
         {}});
  }
  SendOwn({503,
           Error{ErrorCode::kOverloaded, "placement", service_->name.value(),
                 "no endpoint takes the request"},
           retry_after});
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Send(TimePoint now, PlacementPlan plan) {
  using namespace gateway_internal;
  waiting_ = false;
  // A suspended VM may wake here long after the key was checked.
  if (!team_.empty() && !state_.freshness.Fresh(now)) {
    return SendOwn({503,
                    Error{ErrorCode::kUnavailable, "dispatch", "",
                          "configuration became stale before the call"},
                    kRetryAfter});
  }
  CallTarget target;
  target.endpoint = plan.first.endpoint;
  target.address = plan.first.address;
  for (const PlacedEndpoint& helper : plan.helpers) {
    target.helper_addresses.push_back(helper.address);
  }
  target.time_left = deadline_ - now;
  target.team = team_;
  target.resume_after = last_event_;

  ClientRequest call = Format::WriteCall(request_, target);
  call.connect_timeout = std::min(kConnectTimeout, target.time_left);
  call.single_send = true;
  call.fresh_connection = route_->repeat == RepeatRule::kOnce;
  call.max_idle = kMaxIdleConnection;

  call_.emplace();
  call_->number = ++sends_;
  call_->started = now;
  call_->last_byte = now;
  call_->held = request_.shape.prompt + request_.shape.max_answer;
  call_->plan = std::move(plan);
  ++possible_runs_;
  tried_.insert(call_->plan.first.endpoint);
  CallLoad load;
  load.key = Key();
  load.reading_ms = call_->plan.part_ms;
  load.held = call_->held;
  load.gap = route_->gap_objective.value_or(Duration::Max());
  load.value_ms = ValueMs();
  load.expires = deadline_ + Duration::Seconds(1);
  state_.board.OnStart(now, call_->plan.first.endpoint, load);
  load.writes = false;
  load.held = TokenCount(0);
  for (const PlacedEndpoint& helper : call_->plan.helpers) {
    state_.board.OnStart(now, helper.endpoint, load);
  }
  LogFields fields = Fields(now);
  fields["endpoint"] = call_->plan.first.endpoint.value();
  fields["helpers"] = call_->plan.helpers.size();
  fields["forecast_ms"] = call_->plan.expected_first_token.milliseconds();
  fields["by"] = placed_by_;
  if (const auto* state = state_.board.Find(call_->plan.first.endpoint)) {
    fields["own_calls"] = state->Writers();
  }
  state_.log.Write(now, "placed", fields);
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
  const CallKey key = Key();
  state_.board.OnPromptRead(now, call_->plan.first.endpoint, key);
  for (const PlacedEndpoint& helper : call_->plan.helpers) {
    state_.board.OnEnd(now, helper.endpoint, key);
  }
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
  const CallKey key = Key();
  state_.board.OnEnd(now, call_->plan.first.endpoint, key);
  for (const PlacedEndpoint& helper : call_->plan.helpers) {
    state_.board.OnEnd(now, helper.endpoint, key);
  }
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
  if (waiting_) return Place(now);
  if (call_ && !paused_ && now - call_->last_byte > SilenceBound() &&
      CanGoOnElsewhere(now)) {
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
  facts.sends = sends_;
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

template <GatewayFormat Format>
void ForwardedRequest<Format>::BeginAnswer() {
  answer_begun_ = true;
  response_->Begin(call_->head->status, AnswerHeaders(call_->head->headers));
}

template <GatewayFormat Format>
HttpHeaders ForwardedRequest<Format>::AnswerHeaders(HttpHeaders headers) const {
  if (state_.stopping) headers["connection"] = "close";
  return headers;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::SendOwn(OwnAnswer answer) {
  if (answer_begun_) {
    response_->Abort();
    return Finish("cut", 0);
  }
  // A 503 says that the request has not run.
  if (answer.status == 503 && possible_runs_ > 0) {
    answer.status = 502;
    answer.retry_after.reset();
  }
  const std::string body = nlohmann::json{
      {"error",
       {{"code", ToString(answer.error.code)},
        {"message", answer.error.message},
        {"step", answer.error.step},
        {"peer",
         answer.error.peer}}}}.dump();
  response_->Send(answer.status,
                  AnswerHeaders(Format::WriteOwnHeaders(request_.id, answer)),
                  body);
  const TimePoint now = BootNow();
  LogFields fields = Fields(now);
  fields["status"] = answer.status;
  fields["step"] = answer.error.step;
  fields["reason"] = answer.error.message;
  fields["config_age_ms"] = state_.freshness.Age(now).milliseconds();
  if (answer.retry_after) {
    fields["retry_after_ms"] = answer.retry_after->milliseconds();
  }
  state_.log.Write(now, "own_answer", fields);
  Finish("own answer", answer.status);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Finish(const char* outcome, int status) {
  ended_ = true;
  const TimePoint now = BootNow();
  LogFields fields = Fields(now);
  fields["outcome"] = outcome;
  fields["status"] = status;
  state_.log.Write(now, "finished", fields);
  const std::string route = route_ != nullptr ? route_->name : "none";
  state_.metrics.Count("zr_gateway_requests_total",
                       {{"route", route}, {"outcome", outcome}});
  state_.metrics.Observe("zr_gateway_request_seconds", {{"route", route}},
                         now - arrived_);
}

template <GatewayFormat Format>
std::optional<HeldCall> ForwardedRequest<Format>::Held(
    TimePoint now, const PoolId& pool) const {
  if (ended_ || !call_ || service_->name != pool) return std::nullopt;
  HeldCall held;
  held.request = request_.id;
  held.call = AttemptNumber(static_cast<uint64_t>(call_->number));
  held.endpoint = call_->plan.first.endpoint;
  if (call_->reading) {
    held.part_us = static_cast<uint32_t>(1000 * call_->plan.part_ms);
    for (const PlacedEndpoint& helper : call_->plan.helpers) {
      held.helpers.push_back(helper.endpoint);
    }
  }
  held.held = call_->held;
  held.gap = route_->gap_objective.value_or(deadline_ - now);
  held.time_left = std::max(Duration(), deadline_ - now);
  held.value_us = static_cast<uint32_t>(1000 * ValueMs());
  return held;
}

template <GatewayFormat Format>
LogFields ForwardedRequest<Format>::Fields(TimePoint now) const {
  LogFields fields = {{"request", request_.id.value()}};
  if (route_ != nullptr) fields["route"] = route_->name;
  fields["config"] = config_ ? config_->version() : 0;
  fields["age_ms"] = (now - arrived_).milliseconds();
  fields["calls"] = sends_;
  return fields;
}

}  // namespace zr
