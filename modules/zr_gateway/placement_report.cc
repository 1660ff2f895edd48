#include "zr_gateway/placement_report.h"

#include <algorithm>
#include <charconv>

namespace zr {
namespace {

// Larger sizes are taken for a mistake; the longest prompts have 600,000
// tokens.
constexpr int64_t kMaxTokens = 100'000'000;

constexpr const char* kEquallyGood =
    "as good as the chosen one; the choice between equals is random";

tl::unexpected<Error> InvalidField(const char* field,
                                   const std::string& problem) {
  return Fail(ErrorCode::kInvalidArgument, "explain", field,
              std::string(field) + ": " + problem);
}

ReportValues ValuesOf(TimePoint now, const EndpointState& state) {
  ReportValues values = {
      {"calls", state.OccupiedSlots()},
      {"slots", state.listed.slots},
  };
  if (state.report) {
    values.emplace_back("reported_running", state.report->running);
    values.emplace_back("reported_waiting", state.report->waiting);
    values.emplace_back("report_age_ms",
                        (now - state.reported_at).seconds() * 1000);
  }
  if (state.limit) values.emplace_back("limit_per_s", *state.limit);
  if (now < state.cold_until) {
    values.emplace_back("cold_ms", (state.cold_until - now).seconds() * 1000);
  }
  if (state.failures > 0) values.emplace_back("failures", state.failures);
  return values;
}

void AddForecast(const EndpointForecast& forecast, TimePoint now,
                 ReportValues& values) {
  values.emplace_back("estimated_calls", forecast.calls);
  if (forecast.pass_ms <= 0) return;  // a plain service
  values.emplace_back("backlog_ms", forecast.state->BacklogMs(now));
  values.emplace_back("first_token_ms", forecast.first_token_ms);
  values.emplace_back("pass_ms", forecast.pass_ms);
  values.emplace_back("free_tokens", forecast.free_tokens);
  values.emplace_back("slowness", forecast.state->slowness);
}

const EndpointForecast* Find(const std::vector<EndpointForecast>& forecasts,
                             const EndpointId& endpoint) {
  auto it = std::lower_bound(
      forecasts.begin(), forecasts.end(), endpoint,
      [](const auto& f, const auto& id) { return f.state->listed.id < id; });
  return it == forecasts.end() || it->state->listed.id != endpoint ? nullptr
                                                                   : &*it;
}

/** Why an available endpoint was not chosen. */
std::string PassedOver(const EndpointForecast& forecast,
                       const EndpointForecast& chosen, bool is_plain,
                       bool is_short, bool packs) {
  if (is_plain) {
    const auto load = [](const EndpointForecast& f) {
      return f.calls / std::max(1, f.state->listed.slots);
    };
    return load(forecast) > load(chosen) ? "has more calls for its slots"
                                         : kEquallyGood;
  }
  if (!is_short) {
    if (forecast.stalled_value > chosen.stalled_value) {
      return "would stall streams of more value";
    }
    return "another choice of engines costs less";
  }
  if (forecast.drawback != nullptr && chosen.drawback != nullptr) {
    return std::string(forecast.drawback) + ", like all; first token later";
  }
  if (forecast.drawback != nullptr) return forecast.drawback;
  if (forecast.calls == chosen.calls) return kEquallyGood;
  return packs ? "meets the request, but the chosen one is fuller"
               : "meets the request, but has more calls";
}

std::string RoleOf(const EndpointId& endpoint, const PlacementPlan& plan) {
  if (plan.primary.endpoint == endpoint) return "runs the request";
  for (size_t i = 0; i < plan.helpers.size(); ++i) {
    if (plan.helpers[i].endpoint != endpoint) continue;
    return i < plan.kv_holders ? "reads a part of the prompt and keeps it"
                               : "reads a part of the prompt";
  }
  return "";
}

Result<TokenCount> ReadTokens(const char* name,
                              const std::optional<std::string>& text) {
  if (!text) return TokenCount(0);
  int64_t value = -1;
  const char* end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || last != end || value < 0 || value > kMaxTokens) {
    return InvalidField(name,
                        "'" + *text + "' is not a number from 0 to 100000000");
  }
  return TokenCount(value);
}

}  // namespace

const char* ToString(PlacementDecision decision) {
  switch (decision) {
    case PlacementDecision::kPlace:
      return "place";
    case PlacementDecision::kWait:
      return "wait";
    case PlacementDecision::kRefuse:
      return "refuse";
  }
  return "";
}

PlacementReport ExplainPlacement(TimePoint now, const PlacementPolicy& policy,
                                 const EndpointTracker& tracker,
                                 const ServicePolicy& service,
                                 const CallRequirements& requirements) {
  const EngineProfile* engine = service.engine ? &*service.engine : nullptr;
  const bool is_short =
      engine != nullptr && policy.IsShortPrefill(PrefillMilliseconds(
                               *engine, requirements.shape.prompt));
  PlacementReport report;
  report.plan = policy.Choose(now, tracker, service.name, engine, requirements,
                              /*tie_seed=*/0);
  const auto forecasts =
      policy.Forecasts(now, tracker, service.name, engine, requirements);
  const EndpointForecast* chosen =
      report.plan ? Find(forecasts, report.plan->primary.endpoint) : nullptr;
  for (const auto& [id, state] : tracker.endpoints()) {
    if (state.listed.service != service.name) continue;
    ConsideredEndpoint considered{id, state.listed.domain, false,
                                  ValuesOf(now, state), ""};
    const EndpointForecast* forecast = Find(forecasts, id);
    if (forecast != nullptr) AddForecast(*forecast, now, considered.values);
    if (report.plan) considered.reason = RoleOf(id, *report.plan);
    considered.chosen = !considered.reason.empty();
    if (!considered.chosen && forecast != nullptr && chosen != nullptr) {
      considered.reason = PassedOver(*forecast, *chosen, engine == nullptr,
                                     is_short, policy.packs());
    } else if (!considered.chosen && forecast != nullptr) {
      considered.reason = "the prompt does not fit, alone or with others";
    } else if (!considered.chosen) {
      considered.reason = ToString(
          tracker.AvailabilityOf(now, state, requirements.excluded,
                                 policy.LimitSpare(engine, requirements)));
    }
    report.endpoints.push_back(std::move(considered));
  }
  std::sort(report.endpoints.begin(), report.endpoints.end(),
            [](const auto& a, const auto& b) {
              return std::pair(!a.chosen, a.endpoint) <
                     std::pair(!b.chosen, b.endpoint);
            });
  if (report.plan) {
    report.reason = report.plan->undisturbed
                        ? "meets its objectives without stalling others"
                        : "no endpoint meets its objectives without stalling "
                          "others; the least bad one";
    if (engine == nullptr) report.reason = "has the fewest calls for its slots";
    return report;
  }
  report.decision = PlacementDecision::kRefuse;
  const size_t active = tracker.CountActive(service.name);
  const bool fits =
      engine == nullptr ||
      FitsEngines(*engine, requirements.shape, active, kMaxHelpers);
  report.reason = fits ? "no endpoint takes the request now"
                       : "prompt and answer exceed the memory of the engines";
  return report;
}

const char* KindOf(const Route& route) {
  if (route.streaming) return "stream";
  return route.retry_policy == RetryPolicy::kAtMostOnce ? "once" : "repeatable";
}

Result<DescribedRequest> ReadDescription(const DescriptionField& field,
                                         const GatewayConfig& config) {
  DescribedRequest request;
  const auto name = field("route");
  if (!name || name->empty()) return InvalidField("route", "is missing");
  const auto& routes = config.routes();
  const auto route =
      std::find_if(routes.begin(), routes.end(),
                   [&](const Route& r) { return r.name == *name; });
  if (route == routes.end()) {
    return InvalidField("route", "no route has the name '" + *name + "'");
  }
  request.route = &*route;
  const auto team = field("team");
  const bool needs_team = config.needs_keys() && !route->anonymous;
  if (needs_team && (!team || team->empty())) {
    return InvalidField("team", "is missing");
  }
  if (team && !team->empty()) {
    request.team = TeamId(*team);
    if (!config.HasTeam(request.team)) {
      return InvalidField("team", "no team has the name '" + *team + "'");
    }
  }
  const auto kind = field("kind");
  if (kind && *kind != KindOf(*route)) {
    return InvalidField("kind", "requests of route '" + *name +
                                    "' are of kind '" + KindOf(*route) +
                                    "', not '" + *kind + "'");
  }
  auto prompt = ReadTokens("tokens", field("tokens"));
  if (!prompt) return tl::unexpected(prompt.error());
  auto answer = ReadTokens("answer_tokens", field("answer_tokens"));
  if (!answer) return tl::unexpected(answer.error());
  request.shape = {*prompt, *answer};
  const bool has_engine = std::any_of(
      route->services.begin(), route->services.end(),
      [&](const auto& weighted) {
        const ServicePolicy* service = config.FindService(weighted.service);
        return service != nullptr && service->engine;
      });
  if (has_engine && *prompt <= TokenCount(0)) {
    return InvalidField("tokens",
                        "is missing or 0, but the route's service "
                        "reads prompts");
  }
  return request;
}

}  // namespace zr
