// GET /v1/explain of the operator API: where a request would go now, and why.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "zr_daemon/api/error_reply.h"
#include "zr_daemon/api/operator_api.h"
#include "zr_daemon/request/route_selector.h"

namespace zr {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kStep = "explain";
// Owners repeat unchanged summaries every second, so one or two are missing.
constexpr Duration kOldSummary = Duration::Seconds(2);

tl::unexpected<Error> InvalidField(const char* field,
                                   const std::string& problem) {
  return Fail(ErrorCode::kInvalidArgument, kStep, field,
              std::string(field) + ": " + problem);
}

Result<TokenCount> ReadTokens(const HttpRequest& request, const char* name,
                              TokenCount if_absent) {
  const auto text = request.QueryParameter(name);
  if (!text) return if_absent;
  int64_t value = -1;
  const char* end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || last != end || value < 0) {
    return InvalidField(name, "'" + *text + "' is not a number from 0");
  }
  return TokenCount(value);
}

/** Reads the fields route (a pool), team, kind (a class), tokens and
 * answer_tokens. */
Result<RequestOptions> ReadDescription(const HttpRequest& request,
                                       const Environment& environment) {
  RequestOptions options;
  const auto route = request.QueryParameter("route").value_or("");
  if (route.empty()) return InvalidField("route", "is missing");
  const PoolPolicy* pool = environment.FindPool(PoolId(route));
  if (pool == nullptr) {
    return InvalidField("route", "no pool has the name '" + route + "'");
  }
  options.pool = *pool;
  const auto team_name = request.QueryParameter("team").value_or("");
  if (team_name.empty()) return InvalidField("team", "is missing");
  const TeamPolicy* team = environment.FindTeam(TeamId(team_name));
  if (team == nullptr) {
    return InvalidField("team", "no team has the name '" + team_name + "'");
  }
  options.team = team->team;
  const auto kind = request.QueryParameter("kind");
  if (team->classes.empty() && !kind) return InvalidField("kind", "is missing");
  const ClassId name = kind ? ClassId(*kind) : team->classes.front();
  const ClassPolicy* policy = environment.FindClass(name);
  if (policy == nullptr) {
    return InvalidField("kind", "no class has the name '" + name.value() + "'");
  }
  if (std::find(team->classes.begin(), team->classes.end(), name) ==
      team->classes.end()) {
    return InvalidField("kind", "team '" + team_name + "' may not use class '" +
                                    name.value() + "'");
  }
  options.request_class = *policy;
  const bool is_model = pool->kind == PoolKind::kModel;
  auto prompt = ReadTokens(request, "tokens", TokenCount(0));
  if (!prompt) return tl::unexpected(prompt.error());
  if (is_model && *prompt <= TokenCount(0)) {
    return InvalidField("tokens",
                        "is missing or 0, but the pool reads "
                        "prompts");
  }
  auto answer = ReadTokens(request, "answer_tokens",
                           is_model ? policy->max_answer : TokenCount(0));
  if (!answer) return tl::unexpected(answer.error());
  options.prompt = *prompt;
  options.max_answer = *answer;
  return options;
}

/** Why the request would be refused before endpoints are chosen; empty if it
 * would not. */
std::string RefusedAtAdmission(const RequestOptions& options, bool ready) {
  const ClassPolicy& policy = options.request_class;
  if (!ready) return "VM is not ready";
  if (options.pool.kind != PoolKind::kModel) return "";
  if (!policy.repeatable) {
    return "class " + policy.name.value() + " is for calls of plain services";
  }
  if (options.prompt > policy.max_prompt ||
      options.prompt < policy.min_prompt) {
    return "class " + policy.name.value() + " takes prompts of " +
           std::to_string(policy.min_prompt.value()) + " to " +
           std::to_string(policy.max_prompt.value()) + " tokens";
  }
  if (options.max_answer > policy.max_answer) {
    return "class " + policy.name.value() + " takes answers of up to " +
           std::to_string(policy.max_answer.value()) + " tokens";
  }
  return "";
}

Json ToJson(const ReportedEndpoint& row) {
  Json values = Json::object();
  if (row.summary) {
    const EndpointSummary& summary = *row.summary;
    values = {{"wait_short_ms", summary.wait_short.milliseconds()},
              {"wait_long_ms", summary.wait_long.milliseconds()},
              {"first_token_ms", row.forecast.milliseconds()},
              {"kv_free", summary.kv_free.value()},
              {"kv_capacity", summary.kv_capacity.value()},
              {"tokens_per_second", summary.prefill_tokens_per_second},
              {"warm", summary.warm},
              {"age_ms", row.summary_age.milliseconds()}};
  }
  return {{"endpoint", row.endpoint.value()},
          {"domain", row.domain.value()},
          {"owner", row.owner.value()},
          {"chosen", row.rank == 1},
          {"values", values},
          {"reason", row.reason}};
}

Json ToJson(const RequestOptions& options, const RouteReport& report) {
  const RouteChoice& choice = report.choice;
  Json json = {{"service", options.pool.pool.value()}};
  if (!choice.candidates.empty()) {
    json["decision"] = "place";
    json["reason"] = "asks the owner " + choice.candidates[0].owner.value() +
                     " of " + choice.candidates[0].endpoint.value() +
                     ", which grants it or queues it";
  } else if (choice.pool_kv) {
    json["decision"] = "refuse";
    json["reason"] = "prompt and answer exceed the memory of the pool";
  } else if (choice.gather) {
    json["decision"] = "wait";
    json["reason"] = "no endpoint has the memory alone, so several reserve it";
  } else {
    json["decision"] = "wait";
    json["reason"] = "no endpoint can be chosen now";
  }
  json["pool"] = {{"long_prompt", report.long_prompt},
                  {"long_prompt_endpoints", report.long_prompt_endpoints}};
  json["endpoints"] = Json::array();
  for (const ReportedEndpoint& row : report.endpoints) {
    json["endpoints"].push_back(ToJson(row));
  }
  return json;
}

}  // namespace

void OperatorApi::Explain(const HttpRequest& request,
                          HttpResponse& response) const {
  const auto snapshot = context_.cluster->Get();
  if (!snapshot->environment) {
    return SendError(
        response, 503,
        Error{ErrorCode::kUnavailable, kStep, "", "there is no document yet"},
        RunState::kNotRun);
  }
  auto options = ReadDescription(request, *snapshot->environment);
  if (!options) {
    return SendError(response, 400, options.error(), RunState::kNotRun);
  }
  const RouteReport report = context_.selector->Explain(*options);
  Duration oldest;
  for (const ReportedEndpoint& row : report.endpoints) {
    oldest = std::max(oldest, row.summary_age);
  }
  const std::string refused = RefusedAtAdmission(*options, snapshot->Ready());
  const Json json = {
      {"vm", context_.settings.vm.value()},
      {"route", options->pool.pool.value()},
      {"team", options->team.value()},
      {"kind", options->request_class.name.value()},
      {"tokens", options->prompt.value()},
      {"answer_tokens", options->max_answer.value()},
      {"information",
       {{"config_version",
         snapshot->document ? snapshot->document->version.value() : 0},
        {"oldest_summary_ms", oldest.milliseconds()},
        {"is_old", oldest > kOldSummary}}},
      {"admission",
       {{"decision", refused.empty() ? "admit" : "refuse"},
        {"reason", refused}}},
      {"services", Json::array({ToJson(*options, report)})}};
  response.Send(
      200, {{"content-type", "application/json"}},
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

}  // namespace zr
