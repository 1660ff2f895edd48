#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "zr_daemon/node_context.h"
#include "zr_wire/zr_wire.h"

namespace zr {

struct ClusterSnapshot;

/** The grants that requests of this VM hold. Any thread may use it. */
class HeldGrantRegistry {
 public:
  using Grants = std::vector<std::pair<EndpointId, HeldGrant>>;

  explicit HeldGrantRegistry(NodeContext& context) : context_(context) {}
  HeldGrantRegistry(const HeldGrantRegistry&) = delete;
  HeldGrantRegistry& operator=(const HeldGrantRegistry&) = delete;

  /** Replaces the grants of a request; empty removes it. */
  void Update(const RequestId& request, Grants grants);
  /**
   * Sends the full list of each endpoint's grants to its owner, and to one
   * other VM if this VM is the owner. Endpoints without grants any more get
   * one empty list.
   */
  void Publish();

 private:
  std::optional<VmId> BackupOf(const EndpointId& endpoint,
                               const ClusterSnapshot& snapshot) const;

  NodeContext& context_;
  std::mutex mutex_;
  std::map<RequestId, Grants> by_request_;
  std::set<EndpointId> published_endpoints_;
  uint64_t sequence_ = 0;
};

}  // namespace zr
