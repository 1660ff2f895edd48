#include "zr_daemon/control/cluster_state.h"

#include <algorithm>
#include <utility>

namespace zr {

const EndpointInfo* ClusterSnapshot::FindEndpoint(
    const EndpointId& endpoint) const {
  auto it = endpoints->find(endpoint);
  return it == endpoints->end() ? nullptr : &it->second;
}

int64_t ClusterSnapshot::PoolSize(const PoolId& pool) const {
  return std::count_if(
      endpoints->begin(), endpoints->end(),
      [&pool](const auto& entry) { return entry.second.pool == pool; });
}

ClusterState::ClusterState() {
  auto empty = std::make_shared<ClusterSnapshot>();
  empty->view = std::make_shared<ClusterView>();
  empty->endpoints = std::make_shared<std::map<EndpointId, EndpointInfo>>();
  snapshot_ = std::move(empty);
}

std::shared_ptr<const ClusterSnapshot> ClusterState::Get() const {
  std::lock_guard lock(mutex_);
  return snapshot_;
}

void ClusterState::Set(std::shared_ptr<const ClusterSnapshot> snapshot) {
  std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
}

}  // namespace zr
