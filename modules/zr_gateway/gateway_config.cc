#include "zr_gateway/gateway_config.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += ' ';
  key += prefix;
  return key;
}

}  // namespace

GatewayConfig::GatewayConfig(GatewayConfigParts parts)
    : parts_(std::move(parts)) {
  for (const Route& route : parts_.routes) {
    routes_[RouteKey(route.host, route.path_prefix)] = &route;
    if (route.latency_objective <= Duration()) continue;
    for (const WeightedService& weighted : route.services) {
      with_objective_.insert(weighted.service);
    }
  }
  for (const ServicePolicy& service : parts_.services) {
    services_[service.name] = &service;
  }
  for (const TeamKeys& team : parts_.teams) {
    for (const std::string& key : team.keys) keys_[key] = &team;
  }
}

Result<std::shared_ptr<const GatewayConfig>> GatewayConfig::Create(
    GatewayConfigParts parts) {
  for (const Route& route : parts.routes) {
    if (route.services.empty()) {
      return Fail(ErrorCode::kInvalidArgument, "configuration", route.name,
                  "route has no service");
    }
    const std::string& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      return Fail(ErrorCode::kInvalidArgument, "configuration", route.name,
                  "path prefix must begin and end with a slash");
    }
  }
  return std::shared_ptr<const GatewayConfig>(
      new GatewayConfig(std::move(parts)));
}

const Route* GatewayConfig::Match(std::string_view host,
                                  std::string_view path) const {
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto it = routes_.find(RouteKey(host, path.substr(0, end + 1)));
    if (it != routes_.end()) return it->second;
  }
  return nullptr;
}

const ServicePolicy* GatewayConfig::FindService(const ServiceName& name) const {
  auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

const TeamKeys* GatewayConfig::FindTeam(std::string_view key) const {
  auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : it->second;
}

bool GatewayConfig::HasTeam(const TeamId& team) const {
  return std::any_of(parts_.teams.begin(), parts_.teams.end(),
                     [&](const TeamKeys& keys) { return keys.team == team; });
}

std::vector<PoolId> GatewayConfig::ModelPools() const {
  std::vector<PoolId> pools;
  for (const auto& [name, service] : services_) {
    if (service->engine) pools.push_back(name);
  }
  return pools;
}

const ServiceName& PickService(const Route& route, double fraction) {
  double total = 0;
  for (const WeightedService& entry : route.services) total += entry.weight;
  double remaining = fraction * total;
  for (const WeightedService& entry : route.services) {
    remaining -= entry.weight;
    if (remaining < 0) return entry.service;
  }
  return route.services.back().service;
}

}  // namespace zr
