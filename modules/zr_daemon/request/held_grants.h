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

/** Grants held by the requests of this VM. Thread-safe. */
class HeldGrantRegistry {
 public:
  using Grants = std::vector<std::pair<EndpointId, HeldGrant>>;

  explicit HeldGrantRegistry(NodeContext& context) : context_(context) {}
  HeldGrantRegistry(const HeldGrantRegistry&) = delete;
  HeldGrantRegistry& operator=(const HeldGrantRegistry&) = delete;

  /** Replaces the grants of a request; an empty list removes the request. */
  void Update(const RequestId& request, Grants grants);
  /**
   * Sends each endpoint's full list of grants to its owner, and to one other VM
   * if this VM is the owner. After the last grant of an endpoint has ended, one
   * empty list is sent.
   */
  void Publish();

 private:
  std::optional<VmId> BackupOf(const EndpointId& endpoint,
                               const ClusterSnapshot& snapshot) const;

  NodeContext& context_;
  std::mutex mutex_;
  std::map<RequestId, Grants> by_request_;
  std::set<EndpointId> published_endpoints_;  // with grants in the last lists
  uint64_t sequence_ = 0;
};

}  // namespace zr
