#include "zr_daemon/request/held_grants.h"

#include <optional>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/net/message_bus.h"
#include "zr_request/zr_request.h"

namespace zr {

void HeldGrantRegistry::Update(const RequestId& request, Grants grants) {
  std::lock_guard lock(mutex_);
  if (grants.empty()) {
    by_request_.erase(request);
  } else {
    by_request_[request] = std::move(grants);
  }
}

void HeldGrantRegistry::Publish() {
  std::map<EndpointId, HeldGrants> lists;
  {
    std::lock_guard lock(mutex_);
    for (const EndpointId& endpoint : published_endpoints_) {
      lists[endpoint].endpoint = endpoint;
    }
    published_endpoints_.clear();
    for (const auto& [request, grants] : by_request_) {
      for (const auto& [endpoint, grant] : grants) {
        lists[endpoint].endpoint = endpoint;
        lists[endpoint].grants.push_back(grant);
        published_endpoints_.insert(endpoint);
      }
    }
    ++sequence_;
    for (auto& [endpoint, list] : lists) {
      list.holder =
          SenderStamp{context_.settings.vm, context_.incarnation, sequence_};
    }
  }
  const auto snapshot = context_.cluster->Get();
  for (const auto& [endpoint, list] : lists) {
    std::set<VmId> owners;
    for (const HeldGrant& grant : list.grants) owners.insert(grant.owner);
    if (const EndpointInfo* info = snapshot->FindEndpoint(endpoint)) {
      if (auto owner = OwnerOf(*info, *snapshot->view)) owners.insert(*owner);
    }
    // If only this VM had the list, its failure would lose the list, and the
    // streams could not be found any more.
    if (owners == std::set<VmId>{context_.settings.vm}) {
      if (auto backup = BackupOf(endpoint, *snapshot)) owners.insert(*backup);
    }
    for (const VmId& owner : owners) context_.bus->Send(owner, list);
  }
}

/** Another live VM that keeps a copy of the list of an endpoint that this VM
 * owns. */
std::optional<VmId> HeldGrantRegistry::BackupOf(
    const EndpointId& endpoint, const ClusterSnapshot& snapshot) const {
  std::vector<VmId> others;
  for (const auto& [vm, view] : snapshot.view->live) {
    if (vm != context_.settings.vm && !view.leaving) others.push_back(vm);
  }
  if (others.empty()) return std::nullopt;
  return StreamDirectory::Locator(RequestId(endpoint.value()), others);
}

}  // namespace zr
