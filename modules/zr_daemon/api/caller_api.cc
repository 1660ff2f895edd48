#include "zr_daemon/api/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "zr_daemon/api/answer_sinks.h"
#include "zr_daemon/api/call_members.h"
#include "zr_daemon/api/error_reply.h"
#include "zr_daemon/request/operation_host.h"
#include "zr_daemon/request/operation_table.h"
#include "zr_daemon/request/request_table.h"
#include "zr_daemon/request/route_selector.h"
#include "zr_daemon/request/suspect_registry.h"
#include "zr_daemon/request/team_gate.h"

namespace zr {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxIdBytes = 128;
constexpr int64_t kMaxPromptTokens = 100'000'000;
constexpr const char* kStep = "request";

tl::unexpected<Error> Invalid(std::string message) {
  return Fail(ErrorCode::kInvalidArgument, kStep, "", std::move(message));
}

RequestId MakeRequestId() {
  static thread_local std::mt19937_64 generator{std::random_device{}()};
  char text[40];
  std::snprintf(text, sizeof(text), "req-%016llx%016llx",
                static_cast<unsigned long long>(
                    generator()),  // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(
                    generator()));  // NOLINT(google-runtime-int)
  return RequestId(text);
}

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
                  c == ':';
         });
}

Result<int64_t> ParseInteger(std::string_view text, const char* name,
                             int64_t min) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < min) {
    return Invalid(std::string(name) + " must be an integer of at least " +
                   std::to_string(min));
  }
  return value;
}

Result<int64_t> IntegerField(const Json& json, const char* key) {
  auto it = json.find(key);
  if (it == json.end() || it->is_null()) return 0;
  if (!it->is_number_integer() || it->get<int64_t>() < 1 ||
      it->get<int64_t>() > kMaxPromptTokens) {
    return Invalid(std::string(key) + " must be an integer from 1 to " +
                   std::to_string(kMaxPromptTokens));
  }
  return it->get<int64_t>();
}

Result<std::string> ChatPrompt(const Json& json) {
  auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return Invalid("messages must be a non-empty array");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message["content"].is_string()) {
      return Invalid("the content of each message must be a string");
    }
    if (message.contains("role") && !message["role"].is_string()) {
      return Invalid("the role of a message must be a string");
    }
    prompt += message.value("role", "user") + ": " +
              message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

}  // namespace

void CallerApi::Handle(HttpRequest request, HttpResponsePtr response) {
  if (request.path == "/v1/completions" ||
      request.path == "/v1/chat/completions") {
    if (request.method != "POST") {
      const Error error{ErrorCode::kInvalidArgument, kStep, "", "use POST"};
      return SendError(*response, 405, error, RunState::kNotRun);
    }
    return HandleModel(request, response,
                       request.path == "/v1/chat/completions");
  }
  if (request.path.starts_with("/services/")) {
    return HandleService(request, response);
  }
  HandleHealth(request, *response);
}

void CallerApi::HandleHealth(const HttpRequest& request,
                             HttpResponse& response) {
  if (request.path == "/healthz") return response.Send(200, {}, "ok\n");
  if (request.path == "/readyz") {
    const auto snapshot = context_.cluster->Get();
    if (snapshot->Ready()) return response.Send(200, {}, "ready\n");
    const std::string reason = snapshot->stopping
                                   ? "stopping"
                                   : std::string(ToString(snapshot->readiness));
    return response.Send(503, {}, "not ready: " + reason + "\n");
  }
  if (request.path == "/metrics") {
    context_.metrics.Set("zr_requests_in_progress", {},
                         static_cast<double>(context_.requests->size()));
    context_.metrics.Set("zr_operations_in_progress", {},
                         static_cast<double>(context_.operations->size()));
    return response.Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                         context_.metrics.PrometheusText());
  }
  const Error error{ErrorCode::kNotFound, kStep, "",
                    "no such path: " + request.path};
  SendError(response, 404, error, RunState::kNotRun);
}

Result<CallerApi::Call> CallerApi::ParseCall(const HttpRequest& request) const {
  Call call;
  call.snapshot = context_.cluster->Get();
  if (!call.snapshot->Ready()) {
    return Fail(ErrorCode::kUnavailable, kStep, context_.settings.vm.value(),
                "this VM is not ready for new calls");
  }
  const std::string_view authorization = request.Header("authorization");
  if (!authorization.starts_with("Bearer ")) {
    return Fail(ErrorCode::kUnauthenticated, kStep, "",
                "a bearer key is required");
  }
  const Environment& environment = *call.snapshot->environment;
  call.team = environment.TeamForKeyDigest(KeyDigest(authorization.substr(7)));
  if (call.team == nullptr) {
    return Fail(ErrorCode::kUnauthenticated, kStep, "",
                "the bearer key is unknown");
  }
  if (call.team->classes.empty()) {
    return Fail(ErrorCode::kForbidden, kStep, "",
                "the team has no request class");
  }
  ClassId name = call.team->classes.front();
  if (const auto header = request.Header("x-zr-class"); !header.empty()) {
    name = ClassId(std::string(header));
  }
  const auto& classes = call.team->classes;
  if (std::find(classes.begin(), classes.end(), name) == classes.end()) {
    return Fail(ErrorCode::kForbidden, kStep, "",
                "the team may not use class " + name.value());
  }
  call.request_class = environment.FindClass(name);
  if (call.request_class == nullptr) {
    return Fail(ErrorCode::kNotFound, kStep, "",
                "no such class: " + name.value());
  }
  call.deadline = call.request_class->deadline;
  if (const auto header = request.Header("x-zr-deadline-ms"); !header.empty()) {
    auto value = ParseInteger(header, "x-zr-deadline-ms", 1);
    if (!value) return tl::unexpected(value.error());
    call.deadline = std::min(
        call.deadline,
        Duration::Milliseconds(std::min<int64_t>(*value, int64_t{1} << 40)));
  }
  if (const auto header = request.Header("x-request-id"); !header.empty()) {
    if (!IsValidId(header)) {
      return Invalid(
          "x-request-id must have 1 to 128 letters, digits, '-', '_', '.' or "
          "':'");
    }
    call.id = RequestId(std::string(header));
    call.id_given = true;
  } else {
    call.id = MakeRequestId();
  }
  if (const auto header = request.Header("x-zr-resume-offset");
      !header.empty()) {
    auto value = ParseInteger(header, "x-zr-resume-offset", 0);
    if (!value) return tl::unexpected(value.error());
    if (!call.id_given) return Invalid("x-zr-resume-offset needs x-request-id");
    call.resume_offset = *value;
  }
  call.resume_stream = std::string(request.Header("x-zr-resume-stream"));
  return call;
}

Result<CallerApi::ModelBody> CallerApi::ParseModelBody(const std::string& body,
                                                       bool chat) {
  const Json json = ParseCallMembers(body);
  if (!json.is_object()) return Invalid("the body is not a JSON object");
  ModelBody out;
  auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return Invalid("model must be a string");
  }
  out.model = model->get<std::string>();
  if (chat) {
    auto prompt = ChatPrompt(json);
    if (!prompt) return tl::unexpected(prompt.error());
    out.prompt = std::move(*prompt);
  } else {
    auto prompt = json.find("prompt");
    if (prompt == json.end() || !prompt->is_string()) {
      return Invalid("prompt must be a string");
    }
    out.prompt = prompt->get<std::string>();
  }
  for (auto [key, field] : {std::pair{"prompt_tokens", &out.prompt_tokens},
                            std::pair{"max_tokens", &out.max_tokens}}) {
    auto value = IntegerField(json, key);
    if (!value) return tl::unexpected(value.error());
    *field = *value;
  }
  if (auto stream = json.find("stream"); stream != json.end()) {
    if (!stream->is_boolean()) return Invalid("stream must be true or false");
    out.stream = stream->get<bool>();
  }
  return out;
}

Result<RequestOptions> CallerApi::MakeModelOptions(
    const Call& call, const ModelBody& body) const {
  const PoolPolicy* pool =
      call.snapshot->environment->FindPoolByModel(body.model);
  if (pool == nullptr) {
    return Fail(ErrorCode::kNotFound, kStep, "",
                "no such model: " + body.model);
  }
  const ClassPolicy& policy = *call.request_class;
  if (!policy.repeatable) {
    return Invalid("class " + policy.name.value() +
                   " is for calls of plain services");
  }
  RequestOptions options;
  options.request = call.id;
  options.team = call.team->team;
  options.request_class = policy;
  options.pool = *pool;
  const auto counted = body.prompt_tokens > 0
                           ? std::optional(TokenCount(body.prompt_tokens))
                           : std::nullopt;
  PromptCost cost = PromptCost::Estimate(body.model, body.prompt, counted);
  options.prompt = std::max(cost.tokens, TokenCount(1));
  options.prefixes = std::move(cost.prefixes);
  options.max_answer =
      body.max_tokens > 0 ? TokenCount(body.max_tokens) : policy.max_answer;
  if (options.prompt > policy.max_prompt ||
      options.prompt < policy.min_prompt) {
    return Fail(
        options.prompt > policy.max_prompt ? ErrorCode::kTooLarge
                                           : ErrorCode::kInvalidArgument,
        kStep, "",
        "class " + policy.name.value() + " takes prompts of " +
            std::to_string(policy.min_prompt.value()) + " to " +
            std::to_string(policy.max_prompt.value()) +
            " tokens; this one has " + std::to_string(options.prompt.value()));
  }
  if (options.max_answer > policy.max_answer) {
    return Invalid("max_tokens is at most " +
                   std::to_string(policy.max_answer.value()) + " in class " +
                   policy.name.value());
  }
  options.fingerprint = MakeFingerprint(options.team, body.model, body.prompt);
  options.suspect_status =
      context_.suspects->IsBlamed(options.prefixes)
          ? SuspectStatus::kRefuse
          : context_.suspects->StatusOf(options.fingerprint);
  const TimePoint now = SteadyNow();
  options.deadline = now + call.deadline;
  options.may_be_repeat = call.id_given;
  options.resume_offset = call.resume_offset;
  options.resume_stream = call.resume_stream;
  options.first_attempt =
      AttemptNumber(static_cast<uint64_t>(UnixMilliseconds()) * 1000 +
                    static_cast<uint64_t>(now.microseconds() % 1000));
  return options;
}

void CallerApi::HandleModel(const HttpRequest& request,
                            const HttpResponsePtr& response, bool chat) {
  auto call = ParseCall(request);
  if (!call) {
    return SendError(*response, HttpStatusOf(call.error().code), call.error(),
                     RunState::kNotRun);
  }
  auto body = ParseModelBody(request.body, chat);
  auto options = body ? MakeModelOptions(*call, *body)
                      : Result<RequestOptions>(tl::unexpected(body.error()));
  if (!options) {
    return SendError(*response, HttpStatusOf(options.error().code),
                     options.error(), RunState::kNotRun,
                     {{"x-request-id", call->id.value()}});
  }
  const AnswerForm form = chat ? AnswerForm::kChat : AnswerForm::kCompletion;
  auto sink = body->stream
                  ? MakeEventSink(response, form, call->id, body->model)
                  : MakeJsonSink(response, form, call->id, body->model);
  UpstreamTemplate upstream;
  upstream.model = body->model;
  upstream.prompt = std::move(body->prompt);
  context_.selector->OnOffered(options->pool.pool,
                               options->prompt + options->max_answer,
                               options->prompt > options->pool.long_prompt);
  StartOrReattach(std::move(*options), std::move(upstream), std::move(sink),
                  response);
}

bool CallerApi::AdmitTeam(const RequestOptions& options,
                          HttpResponse& response) {
  const LimitDecision limit = context_.teams->TryAdmit(
      options.team, options.prompt + options.max_answer);
  if (limit.allowed) return true;
  const Error error{ErrorCode::kLimitExceeded, kStep, options.team.value(),
                    "the team's limit is exhausted"};
  SendError(response, 429, error, RunState::kNotRun,
            {{"retry-after",
              std::to_string(limit.retry_after.milliseconds() / 1000 + 1)},
             {"x-request-id", options.request.value()}});
  return false;
}

void CallerApi::StartOperation(RequestOptions options,
                               UpstreamTemplate upstream, std::string_view key,
                               const HttpResponsePtr& response) {
  const HttpHeaders headers = {{"x-request-id", options.request.value()}};
  if (key.empty()) {
    const Error error{ErrorCode::kInvalidArgument, kStep, "",
                      "this call is not repeatable and requires an "
                      "idempotency-key header of 1 to "
                      "256 printable ASCII characters"};
    return SendError(*response, 400, error, RunState::kNotRun, headers);
  }
  OperationCall call;
  call.service = options.pool.pool.value();
  call.key = std::string(key);
  auto name = OperationName(options.team, call.service, call.key);
  if (!name) {
    return SendError(*response, 400, name.error(), RunState::kNotRun, headers);
  }
  call.object_name = std::move(*name);
  if (!AdmitTeam(options, *response)) return;
  OperationHost::Start(context_, std::move(call), std::move(options),
                       std::move(upstream), response);
}

void CallerApi::StartOrReattach(RequestOptions options,
                                UpstreamTemplate upstream,
                                std::shared_ptr<AnswerSink> sink,
                                const HttpResponsePtr& response) {
  RetryBudget& budget = context_.requests->BudgetOf(options.pool.pool);
  const RequestOptions original = options;
  if (!AdmitTeam(original, *response)) return;
  auto host = std::make_shared<RequestHost>(context_, std::move(options),
                                            std::move(upstream), budget, sink);
  if (context_.requests->Add(host)) return host->Start();
  context_.teams->OnFinished(original.team,
                             original.prompt + original.max_answer);
  auto existing = context_.requests->Find(original.request);
  const Error busy{ErrorCode::kConflict, kStep, context_.settings.vm.value(),
                   "another call with this request id just ended; try again"};
  if (!existing) return SendError(*response, 409, busy, RunState::kNotRun);
  existing->Reattach(original.team, original.fingerprint,
                     original.resume_offset, original.resume_stream, sink,
                     [response](const Error& error) {
                       SendError(*response, HttpStatusOf(error.code), error,
                                 RunState::kNotRun);
                     });
}

void CallerApi::HandleService(const HttpRequest& request,
                              const HttpResponsePtr& response) {
  auto call = ParseCall(request);
  if (!call) {
    return SendError(*response, HttpStatusOf(call.error().code), call.error(),
                     RunState::kNotRun);
  }
  const auto segments = PathSegments(request.path);
  const PoolPolicy* pool =
      segments.size() < 2
          ? nullptr
          : call->snapshot->environment->FindPool(PoolId(segments[1]));
  if (pool == nullptr || pool->kind != PoolKind::kService) {
    const Error error{ErrorCode::kNotFound, kStep, "", "no such service"};
    return SendError(*response, 404, error, RunState::kNotRun);
  }
  RequestOptions options;
  options.request = call->id;
  options.team = call->team->team;
  options.request_class = *call->request_class;
  options.pool = *pool;
  options.fingerprint = Fingerprint(
      HashFields({options.team.value(), request.method, request.path,
                  request.query, request.body.text()}));
  options.deadline = SteadyNow() + call->deadline;
  const bool safe = request.method == "GET" || request.method == "HEAD";
  options.idempotent =
      safe || (pool->repeatable && call->request_class->repeatable);
  options.first_attempt =
      AttemptNumber(static_cast<uint64_t>(UnixMilliseconds()) * 1000);

  UpstreamTemplate upstream;
  upstream.method = request.method;
  const std::string prefix = "/services/" + segments[1];
  upstream.path =
      request.path.substr(std::min(prefix.size(), request.path.size()));
  if (!upstream.path.starts_with('/')) upstream.path.insert(0, "/");
  if (!request.query.empty()) upstream.path += "?" + request.query;
  for (const char* name : {"content-type", "accept", "idempotency-key"}) {
    if (const auto value = request.Header(name); !value.empty()) {
      upstream.headers[name] = std::string(value);
    }
  }
  upstream.body = request.body;
  if (!options.idempotent) {
    return StartOperation(std::move(options), std::move(upstream),
                          request.Header("idempotency-key"), response);
  }
  auto sink =
      MakeServiceSink(response, call->id,
                      static_cast<size_t>(context_.settings.max_body_bytes));
  StartOrReattach(std::move(options), std::move(upstream), std::move(sink),
                  response);
}

}  // namespace zr
