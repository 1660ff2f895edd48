#pragma once

// Implementation of gateway_node.h: the operators' listener, which explains
// where a request would go.

#include <algorithm>
#include <string_view>
#include <utility>

#include "zr_config/digest.h"

namespace zr {
namespace gateway_internal {

// Requests of operators have no body.
inline constexpr size_t kMaxOperatorBody = 4 << 10;

inline nlohmann::ordered_json ToJson(const ReportValues& values) {
  nlohmann::ordered_json json = nlohmann::ordered_json::object();
  for (const auto& [name, value] : values) {
    json[name] = static_cast<double>(static_cast<int64_t>(value * 100)) / 100;
  }
  return json;
}

inline nlohmann::ordered_json ToJson(const PlacementReport& report) {
  nlohmann::ordered_json json = {{"decision", ToString(report.decision)},
                                 {"reason", report.reason}};
  if (report.plan) {
    json["forecast_ms"] = report.plan->expected_first_token.milliseconds();
  }
  json["pool"] = ToJson(report.facts);
  json["endpoints"] = nlohmann::ordered_json::array();
  for (const ConsideredEndpoint& considered : report.endpoints) {
    json["endpoints"].push_back({{"endpoint", considered.endpoint.value()},
                                 {"domain", considered.domain.value()},
                                 {"chosen", considered.chosen},
                                 {"values", ToJson(considered.values)},
                                 {"reason", considered.reason}});
  }
  return json;
}

inline void SendOperatorAnswer(HttpResponse& response, int status,
                               const nlohmann::ordered_json& json) {
  response.Send(
      status, {{"content-type", "application/json"}},
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
}

inline void SendOperatorError(HttpResponse& response, int status,
                              const Error& error) {
  SendOperatorAnswer(response, status,
                     {{"error",
                       {{"code", ToString(error.code)},
                        {"message", error.message},
                        {"step", error.step},
                        {"peer", error.peer}}}});
}

}  // namespace gateway_internal

template <GatewayFormat Format>
Result<void> GatewayNode<Format>::ServeOperators() {
  using namespace gateway_internal;
  if (settings_.operators_address.empty()) return {};
  HttpServerOptions options;
  options.max_header_bytes = ClientLimits{}.max_header_bytes;
  options.max_body_bytes = kMaxOperatorBody;
  options.idle_timeout = kIdleTimeout;
  options.address = settings_.operators_address;
  options.guard = probe_guard_;
  auto server = HttpServer::Start(
      io_, options, [this](HttpRequest request, HttpResponsePtr response) {
        HandleOperator(request, std::move(response));
      });
  if (!server) return tl::unexpected(server.error());
  operator_server_ = std::move(*server);
  return {};
}

template <GatewayFormat Format>
void GatewayNode<Format>::HandleOperator(const HttpRequest& request,
                                         HttpResponsePtr response) {
  using namespace gateway_internal;
  const auto fail = [&response](int status, ErrorCode code,
                                const char* message) {
    SendOperatorError(*response, status, Error{code, "explain", "", message});
  };
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view authorization = request.Header("authorization");
  // Hashes are compared so that the time does not tell where tokens differ.
  if (settings_.operator_token.empty() || !authorization.starts_with(kScheme) ||
      Sha256Hex(authorization.substr(kScheme.size())) !=
          Sha256Hex(settings_.operator_token)) {
    return fail(401, ErrorCode::kUnauthenticated,
                "the operator token is wrong");
  }
  if (request.path != "/v1/explain") {
    return fail(404, ErrorCode::kNotFound, "no such path");
  }
  if (request.method != "GET") {
    return fail(405, ErrorCode::kInvalidArgument, "use GET");
  }
  if (!state_.config) {
    return fail(503, ErrorCode::kUnavailable, "no configuration known yet");
  }
  const auto described = ReadDescription(
      [&request](std::string_view name) {
        return request.QueryParameter(name);
      },
      *state_.config);
  if (!described) return SendOperatorError(*response, 400, described.error());
  SendOperatorAnswer(*response, 200, Explain(BootNow(), *described));
}

template <GatewayFormat Format>
nlohmann::ordered_json GatewayNode<Format>::Explain(
    TimePoint now, const DescribedRequest& request) const {
  const Route& route = *request.route;
  const Duration endpoints_age = feeds_[kEndpointFeed]->EvidenceAge(now);
  const bool is_old =
      !state_.freshness.Fresh(now) || endpoints_age > settings_.drain_bound;
  nlohmann::ordered_json json = {
      {"vm", state_.vm.value()},
      {"route", route.name},
      {"team", request.team.value()},
      {"kind", KindOf(route)},
      {"tokens", request.shape.prompt.value()},
      {"answer_tokens", request.shape.max_answer.value()},
      {"information",
       {{"config_version", state_.config->version()},
        {"config_age_ms", state_.freshness.Age(now).milliseconds()},
        {"endpoints_age_ms", endpoints_age.milliseconds()},
        {"is_old", is_old}}}};
  const bool needs_key = state_.config->needs_keys() && !route.anonymous;
  std::string refused;
  if (state_.stopping) {
    refused = "VM is stopping";
  } else if (needs_key && !state_.freshness.Fresh(now)) {
    refused = "key cannot be checked: the configuration may be stale";
  }
  json["admission"] = {{"decision", refused.empty() ? "admit" : "refuse"},
                       {"reason", refused}};
  json["services"] = nlohmann::ordered_json::array();
  for (const WeightedService& weighted : route.services) {
    const ServicePolicy* service = state_.config->FindService(weighted.service);
    nlohmann::ordered_json entry = {{"service", weighted.service.value()},
                                    {"weight", weighted.weight}};
    if (service == nullptr) {
      entry["decision"] = ToString(PlacementDecision::kRefuse);
      entry["reason"] = "service of the route does not exist";
    } else {
      entry.update(ExplainService(now, request, *service));
    }
    json["services"].push_back(std::move(entry));
  }
  return json;
}

template <GatewayFormat Format>
nlohmann::ordered_json GatewayNode<Format>::ExplainService(
    TimePoint now, const DescribedRequest& request,
    const ServicePolicy& service) const {
  const Route& route = *request.route;
  const bool dispatched =
      state_.dispatch &&
      (service.engine || state_.tracker.HasLimits(service.name));
  const VmId dispatcher =
      dispatched ? dispatch_->DispatcherFor(service.name) : VmId();
  nlohmann::ordered_json json = {
      {"decided_by",
       dispatcher.empty() ? state_.vm.value() : dispatcher.value()},
      {"objective_ms", route.latency_objective.milliseconds()}};
  if (!dispatcher.empty() && dispatcher != state_.vm) {
    json["note"] =
        "another VM decides; this answer is what this VM would do without it, "
        "from its own calls only";
  }
  if (dispatcher == state_.vm) {
    DispatchRequest dispatch;
    dispatch.pool = service.name;
    dispatch.prompt = request.shape.prompt;
    dispatch.max_answer = request.shape.max_answer;
    dispatch.objective = route.latency_objective;
    dispatch.time_left = route.timeout;
    dispatch.max_gap =
        std::min(route.gap_objective.value_or(Duration::Max()), route.timeout);
    dispatch.team = request.team;
    dispatch.domain = state_.domain;
    json.update(gateway_internal::ToJson(
        dispatch_->dispatcher().Explain(now, service, dispatch)));
    return json;
  }
  CallRequirements requirements;
  requirements.shape = request.shape;
  requirements.objective = route.latency_objective;
  requirements.max_gap = route.gap_objective.value_or(Duration::Max());
  requirements.time_left = route.timeout;
  json.update(gateway_internal::ToJson(ExplainPlacement(
      now, state_.local_placement, state_.tracker, service, requirements)));
  return json;
}

}  // namespace zr
