#pragma once

#include <mutex>
#include <vector>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Suspects: requests that may have crashed endpoints. Shared with all VMs.
 * Thread-safe. */
class SuspectRegistry {
 public:
  explicit SuspectRegistry(NodeContext& context);
  SuspectRegistry(const SuspectRegistry&) = delete;
  SuspectRegistry& operator=(const SuspectRegistry&) = delete;

  //============================================================================
  // Endpoint failures

  /** Adds a failure that this VM has detected, and broadcasts it if it is new.
   */
  void Report(const Suspect& suspect);
  /** Adds a failure that another VM has broadcast. */
  void OnSuspect(const Suspect& suspect);
  /** Notes that the endpoint works under this boot number. */
  void OnEndpointAlive(const EndpointId& endpoint, BootNumber boot);
  void OnSnapshot(const ClusterSnapshot& snapshot);

  SuspectStatus StatusOf(Fingerprint fingerprint);

  //============================================================================
  // Suspect leases

  /** Requests, renews or releases the lease for running a suspect. The locator
   * of the fingerprint decides; it is the VM with the highest rendezvous score.
   */
  void SendLeaseRequest(SuspectLeaseRequest request);
  /** Handles a lease request as the locator. */
  void OnLeaseRequest(const VmId& from, const SuspectLeaseRequest& request);

 private:
  void NotifyRequests(Fingerprint fingerprint);
  DomainId DomainOf(const EndpointId& endpoint) const;

  NodeContext& context_;
  std::mutex mutex_;
  SuspectTable table_;
  SuspectLeases leases_;
  std::vector<VmId> live_;
};

}  // namespace zr
