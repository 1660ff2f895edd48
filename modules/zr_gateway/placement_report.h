#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_config.h"
#include "zr_gateway/placement_policy.h"

namespace zr {

/** Names and values, in the order in which they are shown. */
using ReportValues = std::vector<std::pair<std::string, double>>;

/** An endpoint that a placement has considered. */
struct ConsideredEndpoint {
  EndpointId endpoint;
  DomainId domain;
  bool chosen = false;
  ReportValues values;  // load and forecast
  std::string reason;   // why it was passed over, or what it was chosen for
  friend auto operator<=>(const ConsideredEndpoint&,
                          const ConsideredEndpoint&) = default;
};

enum class PlacementDecision : uint8_t {
  kPlace,
  kWait,    // the request waits and is decided on again
  kRefuse,  // not run
};

/** "place", "wait" or "refuse". */
const char* ToString(PlacementDecision decision);

/** Where a request would go now, and why. */
struct PlacementReport {
  PlacementDecision decision = PlacementDecision::kPlace;
  std::string reason;
  ReportValues facts;  // about the pool
  std::optional<PlacementPlan> plan;
  std::vector<ConsideredEndpoint> endpoints;  // chosen ones first, then by id
};

/** Explains PlacementPolicy::Choose() for a request; changes nothing. Equally
 * loaded endpoints are chosen at random for a real request. */
PlacementReport ExplainPlacement(TimePoint now, const PlacementPolicy& policy,
                                 const EndpointTracker& tracker,
                                 const ServicePolicy& service,
                                 const CallRequirements& requirements);

/** A request that an operator describes. */
struct DescribedRequest {
  const Route* route = nullptr;
  TeamId team;  // empty on anonymous routes
  PromptShape shape;
};

/** Value of a field of the description; nothing if it is absent. */
using DescriptionField =
    std::function<std::optional<std::string>(std::string_view name)>;

/**
 * Reads the fields route, team, kind, tokens and answer_tokens.
 *
 * @returns kInvalidArgument for a field that is missing, unknown to the
 *   configuration or malformed; Error::peer names the field. The route is
 *   valid as long as the configuration
 */
Result<DescribedRequest> ReadDescription(const DescriptionField& field,
                                         const GatewayConfig& config);

/** The kind of a route's requests: "stream", "repeatable" or "once". */
const char* KindOf(const Route& route);

}  // namespace zr
