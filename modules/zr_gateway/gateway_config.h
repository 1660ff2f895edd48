#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "zr_gateway/gateway_types.h"

namespace zr {

/** The sections of a decoded configuration. */
struct GatewayConfigParts {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServicePolicy> services;
  std::vector<TeamKeys> teams;
  bool has_teams = false;  // routes that are not anonymous require a key
  ClientLimits limits;
};

/**
 * One version of the routes, services, teams and limits. Immutable; a request
 * keeps the version with which it started.
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
   * Finds the route with the longest prefix of the path, or null. Makes a hash
   * look-up for each slash of the path, so the cost does not depend on the
   * number of routes.
   */
  const Route* Match(std::string_view host, std::string_view path) const;
  /** The service's policy, or null. */
  const ServicePolicy* FindService(const ServiceName& name) const;
  /** The team that holds the key, or null. */
  const TeamKeys* FindTeam(std::string_view key) const;
  /** A team has the name. */
  bool HasTeam(const TeamId& team) const;
  /** The services whose endpoints are model engines, sorted by name. */
  std::vector<PoolId> ModelPools() const;
  /** A route of the service names a latency objective. */
  bool HasObjective(const ServiceName& service) const {
    return with_objective_.contains(service);
  }
  size_t team_count() const { return parts_.teams.size(); }
  /** Routes that are not anonymous require a key. */
  bool needs_keys() const { return parts_.has_teams; }

 private:
  explicit GatewayConfig(GatewayConfigParts parts);

  GatewayConfigParts parts_;
  std::unordered_map<std::string, const Route*> routes_;  // by host and prefix
  std::map<ServiceName, const ServicePolicy*> services_;
  std::map<std::string, const TeamKeys*, std::less<>> keys_;
  std::set<ServiceName> with_objective_;
};

using GatewayConfigPtr = std::shared_ptr<const GatewayConfig>;

/**
 * Chooses one of a route's services by weight.
 *
 * @param fraction  a number in [0, 1), uniformly distributed over the requests
 */
const ServiceName& PickService(const Route& route, double fraction);

}  // namespace zr
