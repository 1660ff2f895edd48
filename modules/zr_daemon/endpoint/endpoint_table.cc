#include "zr_daemon/endpoint/endpoint_table.h"

#include <utility>

#include "zr_daemon/request/route_selector.h"

namespace zr {
namespace {

/** Hash of the inputs of endpoint ownership, except the endpoint registry. */
uint64_t HashOwnershipInputs(const ClusterSnapshot& snapshot) {
  uint64_t hash = 0;
  if (snapshot.environment) {
    for (const auto& [pool, policy] : snapshot.environment->pools()) {
      hash = Hash64(pool.value(), hash + 1);
    }
  }
  for (const auto& [id, vm] : snapshot.view->live) {
    const uint64_t flags = (vm.leaving ? 1 : 0) | (vm.vm_drained ? 2 : 0) |
                           (vm.domain_drained ? 4 : 0) |
                           (vm.config_version.value() > 0 ? 8 : 0);
    hash = Hash64(id.value(), hash);
    hash = Hash64(vm.domain.value(), hash);
    hash = Hash64(vm.region, hash ^ flags ^ (uint64_t{vm.weight} << 8));
  }
  return hash;
}

}  // namespace

bool EndpointTable::ShouldOwn(const EndpointInfo& info,
                              const ClusterSnapshot& snapshot) const {
  if (!snapshot.environment ||
      snapshot.environment->FindPool(info.pool) == nullptr) {
    return false;
  }
  if (context_.settings.routing_policy == RoutingPolicy::kBaseline) return true;
  return OwnerOf(info, *snapshot.view) == context_.settings.vm;
}

OwnerPolicies EndpointTable::PoliciesFor(
    const PoolPolicy& pool, const ClusterSnapshot& snapshot) const {
  return OwnerPolicies{pool, snapshot.classes, snapshot.teams};
}

void EndpointTable::OnSnapshot(const ClusterSnapshot& snapshot) {
  // Assigning owners to 12,000 endpoints takes about 70 ms of processor time,
  // and most snapshots differ only in the configuration versions of VMs.
  const uint64_t inputs_hash = HashOwnershipInputs(snapshot);
  if (inputs_hash != last_inputs_hash_ ||
      snapshot.endpoints != last_endpoints_) {
    last_inputs_hash_ = inputs_hash;
    last_endpoints_ = snapshot.endpoints;
    AssignOwners(snapshot);
  }
  if (snapshot.document == last_document_) return;
  last_document_ = snapshot.document;
  for (const auto& host : All()) ApplyPolicies(*host, snapshot);
}

void EndpointTable::ApplyPolicies(EndpointHost& host,
                                  const ClusterSnapshot& snapshot) const {
  const EndpointInfo& info = host.endpoint();
  const PoolPolicy* pool = snapshot.environment->FindPool(info.pool);
  if (pool == nullptr) return;
  host.OnPolicy(
      PoliciesFor(*pool, snapshot),
      snapshot.environment->IsDrained(info.domain, VmId(), info.endpoint));
}

void EndpointTable::AssignOwners(const ClusterSnapshot& snapshot) {
  std::vector<std::shared_ptr<EndpointHost>> started;
  std::vector<std::shared_ptr<EndpointHost>> stopped;
  {
    std::lock_guard lock(mutex_);
    for (auto it = hosts_.begin(); it != hosts_.end();) {
      const EndpointInfo* info = snapshot.FindEndpoint(it->first);
      const bool unchanged = info != nullptr && *info == it->second->endpoint();
      if (unchanged && ShouldOwn(*info, snapshot)) {
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
      // Lets a warm endpoint keep its capacity when its owner changes.
      options.previous = context_.selector->LastSummary(endpoint);
      auto host =
          EndpointHost::Create(context_, std::move(options), on_suspects_);
      if (!host) {
        Log(LogLevel::kError, "endpoint", host.error());
        continue;
      }
      hosts_[endpoint] = *host;
      started.push_back(*host);
    }
  }
  for (const auto& host : stopped) {
    Log(LogLevel::kInfo, "endpoint",
        "No longer the owner of endpoint " + host->endpoint().endpoint.value() +
            ".");
    host->Stop();
  }
  for (const auto& host : started) {
    Log(LogLevel::kInfo, "endpoint",
        "Became the owner of endpoint " + host->endpoint().endpoint.value() +
            ".");
    ApplyPolicies(*host, snapshot);
    host->Start();
  }
}

void EndpointTable::OnVmDown(const VmId& vm) {
  for (const auto& host : All()) host->OnVmDown(vm);
}

void EndpointTable::OnSelfPaused() {
  for (const auto& host : All()) host->OnSelfPaused();
}

void EndpointTable::StopAll() {
  for (const auto& host : All()) host->Stop();
}

bool EndpointTable::Deliver(const EndpointId& endpoint, const VmId& from,
                            const Message& message) {
  auto host = Find(endpoint);
  if (!host) return false;
  host->Deliver(from, message);
  return true;
}

std::shared_ptr<EndpointHost> EndpointTable::Find(
    const EndpointId& endpoint) const {
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
