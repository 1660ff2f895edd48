#include "zr_daemon/endpoint/endpoint_table.h"

#include <utility>

namespace zr {

bool EndpointTable::ShouldOwn(const EndpointInfo& info, const ClusterSnapshot& snapshot) const {
  if (!snapshot.environment || snapshot.environment->FindPool(info.pool) == nullptr) return false;
  if (context_.settings.routing_policy == RoutingPolicy::kBaseline) return true;
  return OwnerOf(info, *snapshot.view) == context_.settings.vm;
}

OwnerPolicies EndpointTable::PoliciesFor(const PoolPolicy& pool,
                                         const ClusterSnapshot& snapshot) const {
  return OwnerPolicies{pool, snapshot.classes, snapshot.teams};
}

void EndpointTable::OnSnapshot(const ClusterSnapshot& snapshot) {
  std::vector<std::shared_ptr<EndpointHost>> started;
  std::vector<std::shared_ptr<EndpointHost>> stopped;
  std::vector<std::pair<std::shared_ptr<EndpointHost>, OwnerPolicies>> kept;
  {
    std::lock_guard lock(mutex_);
    for (auto it = hosts_.begin(); it != hosts_.end();) {
      const EndpointInfo* info = snapshot.FindEndpoint(it->first);
      const bool same = info != nullptr && *info == it->second->endpoint();
      if (same && ShouldOwn(*info, snapshot)) {
        const PoolPolicy& pool = *snapshot.environment->FindPool(info->pool);
        kept.emplace_back(it->second, PoliciesFor(pool, snapshot));
        ++it;
        continue;
      }
      last_grants_[it->first] = it->second->last_grant();
      stopped.push_back(it->second);
      it = hosts_.erase(it);
    }
    for (const auto& [endpoint, info] : *snapshot.endpoints) {
      if (hosts_.contains(endpoint) || !ShouldOwn(info, snapshot)) continue;
      const PoolPolicy& pool = *snapshot.environment->FindPool(info.pool);
      OwnerOptions options;
      options.self = context_.settings.vm;
      options.incarnation = context_.incarnation;
      options.endpoint = info;
      options.policies = PoliciesFor(pool, snapshot);
      options.taken_over = true;
      options.last_grant = last_grants_[endpoint];
      auto host = EndpointHost::Create(context_, std::move(options), suspects_);
      if (!host) {
        Log(LogLevel::kError, "endpoint", host.error());
        continue;
      }
      hosts_[endpoint] = *host;
      started.push_back(*host);
      kept.emplace_back(*host, PoliciesFor(pool, snapshot));
    }
  }
  for (const auto& host : stopped) {
    Log(LogLevel::kInfo, "endpoint", "Gave up " + host->endpoint().endpoint.value() + ".");
    host->Stop();
  }
  for (auto& [host, policies] : kept) {
    const EndpointInfo& info = host->endpoint();
    host->OnPolicy(std::move(policies),
                   snapshot.environment->IsDrained(info.domain, VmId(), info.endpoint));
  }
  for (const auto& host : started) {
    Log(LogLevel::kInfo, "endpoint", "Took over " + host->endpoint().endpoint.value() + ".");
    host->Start();
  }
}

void EndpointTable::OnVmDead(const VmId& vm) {
  for (const auto& host : All()) host->OnVmDead(vm);
}

void EndpointTable::OnSelfPaused() {
  for (const auto& host : All()) host->OnSelfPaused();
}

void EndpointTable::StopAll() {
  for (const auto& host : All()) host->Stop();
}

bool EndpointTable::Deliver(const EndpointId& endpoint, const VmId& from, const Message& message) {
  auto host = Find(endpoint);
  if (!host) return false;
  host->Deliver(from, message);
  return true;
}

std::shared_ptr<EndpointHost> EndpointTable::Find(const EndpointId& endpoint) const {
  std::lock_guard lock(mutex_);
  auto it = hosts_.find(endpoint);
  return it == hosts_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<EndpointHost>> EndpointTable::All() const {
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<EndpointHost>> hosts;
  for (const auto& [endpoint, host] : hosts_) hosts.push_back(host);
  return hosts;
}

}  // namespace zr
