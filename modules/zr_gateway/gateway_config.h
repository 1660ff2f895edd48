#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "zr_gateway/gateway_types.h"

namespace zr {

/** The parts of a configuration, as decoded. */
struct GatewayConfigParts {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServicePolicy> services;
  std::vector<TeamKeys> teams;
  bool has_teams = false;  // requests need a key unless the route is anonymous
  ClientLimits limits;
};

/**
 * One version of the routes, services, teams and limits. Immutable; shared by
 * all requests that began under it.
 */
class GatewayConfig {
 public:
  /** @returns kInvalidArgument for a route without services or a bad prefix */
  static Result<std::shared_ptr<const GatewayConfig>> Create(
      GatewayConfigParts parts);

  int64_t version() const { return parts_.version; }
  const ClientLimits& limits() const { return parts_.limits; }
  const std::vector<Route>& routes() const { return parts_.routes; }

  /**
   * The route with the longest prefix of the path, or null. Looks at each
   * slash of the path, so the cost does not grow with the number of routes.
   */
  const Route* Match(std::string_view host, std::string_view path) const;
  /** The service's policy, or null. */
  const ServicePolicy* FindService(const ServiceName& name) const;
  /** The team that holds the key, or null. */
  const TeamKeys* FindTeam(std::string_view key) const;
  /** The services whose endpoints are model engines, by name. */
  std::vector<PoolId> ModelPools() const;
  /** Requests of routes that are not anonymous need a key. */
  bool needs_keys() const { return parts_.has_teams; }

 private:
  explicit GatewayConfig(GatewayConfigParts parts);

  GatewayConfigParts parts_;
  std::unordered_map<std::string, const Route*> routes_;  // by host and prefix
  std::map<ServiceName, const ServicePolicy*> services_;
  std::map<std::string, const TeamKeys*, std::less<>> keys_;
};

using GatewayConfigPtr = std::shared_ptr<const GatewayConfig>;

/**
 * Chooses one of a route's services by weight.
 *
 * @param unit  a number in [0, 1), uniform over the requests
 */
const ServiceName& PickService(const Route& route, double fraction);

}  // namespace zr
