#pragma once

// Implementation of forwarded_request.h: admission, placing and the answer.

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
// A request waits so long for an endpoint that takes it, or less if it would be
// late; a broken stream may wait longer, as its caller has a part already.
inline constexpr Duration kPlacePatience = Duration::Milliseconds(300);
inline constexpr Duration kResumePatience = Duration::Milliseconds(1000);
// Plans whose reservations may fail before the caller is refused.
inline constexpr int kMaxReserveFailures = 3;
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
CallRequirements ForwardedRequest<Format>::Needs(TimePoint now) const {
  CallRequirements needs;
  needs.shape = request_.shape;
  needs.objective =
      std::max(Duration(), arrived_ + route_->latency_objective - now);
  needs.max_gap = route_->gap_objective.value_or(Duration::Max());
  needs.time_left = deadline_ - now;
  needs.excluded = tried_;
  return needs;
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::Place(TimePoint now) {
  if (!waiting_) place_began_ = now;
  waiting_ = false;
  if (service_->engine && state_.dispatch) return PlaceByDispatcher(now);
  PlaceLocally(now);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::PlaceByDispatcher(TimePoint now) {
  const CallRequirements needs = Needs(now);
  DispatchRequest ask;
  ask.request = request_.id;
  ask.call_number = AttemptNumber(static_cast<uint64_t>(sends_ + 1));
  ask.pool = service_->name;
  ask.prompt = needs.shape.prompt;
  ask.max_answer = needs.shape.max_answer;
  ask.objective = needs.objective;
  ask.max_gap = std::min(needs.max_gap, needs.time_left);
  ask.time_left = needs.time_left;
  ask.excluded = {tried_.begin(), tried_.end()};
  ask.deferred = wait_until_ > TimePoint();
  asking_ = true;
  const int number = ++asks_;
  state_.dispatch->Ask(
      now, ask,
      [weak = this->weak_from_this(),
       number](std::optional<DispatchReply> placed) {
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
                                        std::optional<DispatchReply> placed) {
  if (!placed) return PlaceLocally(now);
  if (placed->defer_for > Duration() && state_.stopping) {
    return SendOwn({503,
                    Error{ErrorCode::kUnavailable, "placement", "",
                          "this VM stops while the prompt waits for others"},
                    Duration()});
  }
  if (placed->defer_for > Duration()) {
    waiting_ = true;
    wait_until_ = now + placed->defer_for;
    return;
  }
  if (placed->deadline_unreachable) {
    return SendOwn(
        {503,
         Error{ErrorCode::kOverloaded, "placement", service_->name.value(),
               "prompt can't be read and answered before its deadline"},
         placed->retry_after});
  }
  if (placed->endpoint.empty()) return NoEndpoint(now, placed->retry_after);
  // What this VM knows of leaving endpoints binds it, whoever chose them.
  std::vector<EndpointId> endpoints = placed->helpers;
  endpoints.push_back(placed->endpoint);
  PlacementPlan plan;
  for (const EndpointId& endpoint : endpoints) {
    if (!state_.board.MayCall(endpoint)) {
      state_.dispatch->Report({request_.id, placed->call_number, service_->name,
                               CallStage::kEnded, CallResult::kAborted});
      return PlaceLocally(now);
    }
    plan.helpers.push_back(
        {endpoint, state_.board.Find(endpoint)->listed.address});
  }
  plan.primary = std::move(plan.helpers.back());
  plan.helpers.pop_back();
  plan.kv_holders = std::min<size_t>(placed->kv_holders, plan.helpers.size());
  plan.kv_per_holder = placed->kv_per_holder;
  placed_by_ = "dispatcher";
  plan.prefill_ms = placed->prefill_us / 1000.0;
  plan.expected_first_token = placed->forecast;
  Send(now, std::move(plan));
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::PlaceLocally(TimePoint now) {
  placed_by_ = "this VM";
  const EngineProfile* engine = service_->engine ? &*service_->engine : nullptr;
  auto plan =
      state_.own_placement.Choose(now, state_.board, service_->name, engine,
                                  Needs(now), state_.random.Next());
  if (plan) return Send(now, std::move(*plan));
  NoEndpoint(now, gateway_internal::kRetryAfter);
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::NoEndpoint(TimePoint now, Duration retry_after) {
  using namespace gateway_internal;
  const bool fits =
      !service_->engine ||
      FitsEngines(*service_->engine, request_.shape,
                  state_.board.CountActive(service_->name), kMaxHelpers);
  const Duration patience =
      answer_begun_ ? kResumePatience
                    : std::min(route_->latency_objective / 4, kPlacePatience);
  const bool may_come = fits && now - place_began_ < patience &&
                        state_.board.CountActive(service_->name) > 0;
  if (may_come) {
    waiting_ = true;
    return;
  }
  if (!fits) {
    return SendOwn(
        {503,
         Error{ErrorCode::kTooLarge, "placement", service_->name.value(),
               "prompt and answer exceed the memory of the engines"},
         {}});
  }
  SendOwn({503,
           Error{ErrorCode::kOverloaded, "placement", service_->name.value(),
                 "no endpoint takes the request"},
           retry_after});
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
std::optional<InFlightCall> ForwardedRequest<Format>::Held(
    TimePoint now, const PoolId& pool) const {
  if (ended_ || !call_ || service_->name != pool) return std::nullopt;
  InFlightCall held;
  held.request = request_.id;
  held.call_number = AttemptNumber(static_cast<uint64_t>(call_->number));
  held.endpoint = call_->plan.primary.endpoint;
  const CallEndpoints endpoints = call_->plan.Endpoints();
  held.helpers = endpoints.helpers;
  held.kv_holders = static_cast<uint32_t>(endpoints.kv_holders);
  held.kv_per_holder = endpoints.kv_per_holder;
  if (call_->reading) {
    held.prefill_us = static_cast<uint32_t>(1000 * call_->plan.prefill_ms);
  } else {
    held.helpers.resize(endpoints.kv_holders);
  }
  held.kv_tokens = call_->held;
  held.max_gap = route_->gap_objective.value_or(deadline_ - now);
  held.time_left = std::max(Duration(), deadline_ - now);
  held.value = static_cast<uint64_t>(RequestValue(request_.shape));
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
