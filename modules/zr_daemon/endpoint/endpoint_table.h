#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "zr_daemon/endpoint/endpoint_host.h"

namespace zr {

/**
 * Endpoints that this VM owns according to its view of the cluster.
 * Thread-safe; hosts are called without holding the lock.
 */
class EndpointTable {
 public:
  EndpointTable(NodeContext& context,
                EndpointHost::SuspectsCallback on_suspects)
      : context_(context), on_suspects_(std::move(on_suspects)) {}
  EndpointTable(const EndpointTable&) = delete;
  EndpointTable& operator=(const EndpointTable&) = delete;

  //============================================================================
  // Changes

  /** Starts and stops hosts to match the view; called on the control strand. */
  void OnSnapshot(const ClusterSnapshot& snapshot);
  void OnVmDown(const VmId& vm);
  void OnSelfPaused();
  void StopAll();

  //============================================================================
  // Use

  /** Passes a message to the endpoint's owner. @returns false if this VM does
   * not own the endpoint */
  bool Deliver(const EndpointId& endpoint, const VmId& from,
               const Message& message);
  std::shared_ptr<EndpointHost> Find(const EndpointId& endpoint) const;
  std::vector<std::shared_ptr<EndpointHost>> All() const;

 private:
  void AssignOwners(const ClusterSnapshot& snapshot);
  void ApplyPolicies(EndpointHost& host, const ClusterSnapshot& snapshot) const;
  bool ShouldOwn(const EndpointInfo& info,
                 const ClusterSnapshot& snapshot) const;
  OwnerPolicies PoliciesFor(const PoolPolicy& pool,
                            const ClusterSnapshot& snapshot) const;

  NodeContext& context_;
  EndpointHost::SuspectsCallback on_suspects_;
  mutable std::mutex mutex_;
  std::map<EndpointId, std::shared_ptr<EndpointHost>> hosts_;
  std::map<EndpointId, GrantNumber> last_grants_;  // of stopped hosts

  // Inputs of the last owner assignment and of the last policies; used on the
  // control strand only.
  uint64_t last_inputs_hash_ = 0;
  std::shared_ptr<const std::map<EndpointId, EndpointInfo>> last_endpoints_;
  std::shared_ptr<const ConfigOffer> last_document_;
};

}  // namespace zr
