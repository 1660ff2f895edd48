#include "zinniarill_load/load_call.h"

#include <algorithm>
#include <chrono>

#include "standins/common/token_text.h"

namespace zr {
namespace {

// A caller waits this much longer than its deadline, so that late answers are
// seen as late.
constexpr Duration kPatience = Duration::Seconds(5);
constexpr Duration kRetryPause = Duration::Milliseconds(100);
constexpr size_t kMaxDetail = 120;

}  // namespace

TimePoint MonotonicNow() {
  return TimePoint::FromMicroseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

LoadCall::LoadCall(LoadCallContext& context, const PlannedCall& plan)
    : context_(context),
      plan_(plan),
      class_(context.scenario.classes[plan.class_index]) {}

Duration LoadCall::SinceIntended() const {
  return MonotonicNow() - (context_.start + plan_.at) + delay_;
}

void LoadCall::Begin() {
  if (!class_.is_service) {
    expected_ = AnswerText(AnswerSeed(plan_.prompt), plan_.answer_tokens);
  }
  SendAttempt();
}

void LoadCall::SendAttempt() {
  const uint64_t random =
      plan_.balancer + static_cast<uint64_t>(attempts_) * 0x9e3779b97f4a7c15U;
  const LoadTarget& target = context_.balancer->Pick(Random(random).Next());
  ++attempts_;
  delay_ = target.delay;
  buffer_.clear();
  status_ = 0;
  run_header_.clear();
  done_event_ = false;
  auto send = [self = shared_from_this(), address = target.address] {
    ClientRequest request = self->BuildRequest();
    request.url = "http://" + address + request.url;
    self->context_.client->Start(std::move(request), self);
  };
  if (delay_ > Duration()) {
    RunAfter(context_.io, delay_, std::move(send));
  } else {
    send();
  }
}

ClientRequest LoadCall::BuildRequest() const {
  ClientRequest request;
  request.method = "POST";
  const LoadTeam& team = context_.scenario.teams[plan_.team_index];
  if (!team.key.empty()) {
    request.headers["authorization"] = "Bearer " + team.key;
  }
  if (!class_.request_class.empty()) {
    request.headers["x-zr-class"] = class_.request_class;
  }
  request.headers["content-type"] = "application/json";
  request.headers["x-request-id"] = plan_.request_id;
  const Duration left = std::max(Duration::Milliseconds(1),
                                 class_.deadline - SinceIntended() - delay_);
  request.headers["x-zr-deadline-ms"] = std::to_string(left.milliseconds());
  request.total_timeout = left + kPatience;
  if (class_.is_service) {
    request.url = class_.path;
    request.fresh_connection = class_.once;
    if (class_.once) request.headers["idempotency-key"] = plan_.request_id;
    request.body = nlohmann::json{{"request", plan_.request_id}}.dump();
    return request;
  }
  request.url = "/v1/completions";
  if (attempts_ > 1) {
    request.headers["x-zr-resume-offset"] = std::to_string(tokens_);
  }
  request.body = nlohmann::json{
      {"model", context_.scenario.model},
      {"prompt", plan_.prompt},
      {"prompt_tokens", plan_.prompt_tokens},
      {"max_tokens", plan_.answer_tokens},
      {"stream",
       true}}.dump();
  return request;
}

//==============================================================================
// Answers

void LoadCall::OnHeaders(int status, const HttpHeaders& headers) {
  status_ = status;
  if (auto it = headers.find("x-zr-run"); it != headers.end()) {
    run_header_ = it->second;
  }
}

bool LoadCall::OnData(std::string_view data) {
  buffer_ += data;
  if (status_ == 200 && !class_.is_service && !ended_) ReadEvents();
  return true;
}

void LoadCall::ReadEvents() {
  size_t begin = 0;
  for (size_t end = buffer_.find("\n\n"); end != std::string::npos && !ended_;
       end = buffer_.find("\n\n", begin)) {
    ReadEvent(std::string_view(buffer_).substr(begin, end - begin));
    begin = end + 2;
  }
  buffer_.erase(0, begin);
}

void LoadCall::ReadEvent(std::string_view event) {
  constexpr std::string_view kData = "data: ";
  if (!event.starts_with(kData)) return;
  event.remove_prefix(kData.size());
  if (event == "[DONE]") {
    done_event_ = true;
    return;
  }
  const auto json = ParseJson(event);
  if (auto error = json.find("error");
      json.is_object() && error != json.end()) {
    FinishRefused(error->value("run", ""), error->value("message", ""));
  } else if (json.is_object() && json.contains("choices") &&
             !json["choices"].empty()) {
    TakeText(json["choices"][0].value("text", ""));
  }
}

void LoadCall::TakeText(std::string_view text) {
  if (text.empty()) return;
  if (expected_.compare(received_, text.size(), text) != 0) {
    Finish(CallOutcome::kWrongAnswer, "unexpected text");
    return;
  }
  const TimePoint now = MonotonicNow();
  if (!first_token_) first_token_ = SinceIntended();
  if (last_token_at_) {
    context_.results.AddTokenGap(plan_.class_index, now - *last_token_at_);
  }
  last_token_at_ = now;
  received_ += text.size();
  // Each token's text ends in a blank and has no other.
  tokens_ += std::count(text.begin(), text.end(), ' ');
}

void LoadCall::OnEnd(std::optional<ClientFailure> failure) {
  if (!ended_) JudgeEnd(failure);
}

void LoadCall::JudgeEnd(const std::optional<ClientFailure>& failure) {
  if (failure && failure->error.code == ErrorCode::kUnknownOutcome) {
    Finish(CallOutcome::kExpired, "no end before the caller gave up");
  } else if (!failure && status_ != 200) {
    const auto json = ParseJson(buffer_);
    const auto error = json.is_object()
                           ? json.value("error", nlohmann::json::object())
                           : nlohmann::json::object();
    const std::string run =
        run_header_.empty() ? error.value("run", "") : run_header_;
    FinishRefused(run,
                  std::to_string(status_) + " " + error.value("message", ""));
  } else if (!failure && class_.is_service) {
    JudgeWholeBody();
  } else if (!failure && done_event_) {
    if (received_ == expected_.size()) {
      Finish(SinceIntended() <= class_.deadline ? CallOutcome::kOk
                                                : CallOutcome::kLate,
             "");
    } else {
      Finish(CallOutcome::kWrongAnswer, "the answer is incomplete");
    }
  } else if (!TryAgain()) {
    Finish(CallOutcome::kBroken,
           failure ? failure->error.message : "the stream has no end");
  }
}

void LoadCall::JudgeWholeBody() {
  const auto json = ParseJson(buffer_);
  first_token_ = SinceIntended();
  if (class_.once &&
      (!json.is_object() || json.value("key", "") != plan_.request_id)) {
    Finish(CallOutcome::kWrongAnswer, "answer of another operation");
  } else {
    Finish(SinceIntended() <= class_.deadline ? CallOutcome::kOk
                                              : CallOutcome::kLate,
           "");
  }
}

bool LoadCall::TryAgain() {
  if (attempts_ >= context_.max_attempts ||
      SinceIntended() >= class_.deadline) {
    return false;
  }
  RunAfter(context_.io, kRetryPause,
           [self = shared_from_this()] { self->SendAttempt(); });
  return true;
}

void LoadCall::FinishRefused(const std::string& run, std::string detail) {
  if (run == "not-run") {
    Finish(CallOutcome::kNotRun, std::move(detail));
  } else if (run == "ran") {
    Finish(CallOutcome::kRan, std::move(detail));
  } else {
    Finish(CallOutcome::kMayHaveRun, std::move(detail));
  }
}

void LoadCall::Finish(CallOutcome outcome, std::string detail) {
  if (ended_) return;
  ended_ = true;
  detail.resize(std::min(detail.size(), kMaxDetail));
  CallRecord record;
  record.class_index = plan_.class_index;
  record.intended = plan_.at;
  record.prompt_tokens = plan_.prompt_tokens;
  record.outcome = outcome;
  record.first_token = first_token_;
  record.total = SinceIntended();
  record.attempts = attempts_;
  record.answer_tokens = tokens_;
  record.request_id = plan_.request_id;
  record.detail = std::move(detail);
  context_.results.Record(record);
  context_.ended();
}

}  // namespace zr
