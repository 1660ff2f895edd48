#pragma once

#include <mutex>
#include <vector>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Requests that may have crashed endpoints, shared with all VMs. Any thread
 * may use it. */
class SuspectRegistry {
 public:
  explicit SuspectRegistry(NodeContext& context);
  SuspectRegistry(const SuspectRegistry&) = delete;
  SuspectRegistry& operator=(const SuspectRegistry&) = delete;

  //============================================================================
  // Deaths

  /** A death seen by this VM; spread to the others if it is new. */
  void Report(const Suspect& suspect);
  /** A death that another VM has spread. */
  void OnSuspect(const Suspect& suspect);
  /** The endpoint works under this boot number. */
  void OnEndpointAlive(const EndpointId& endpoint, BootNumber boot);
  void OnSnapshot(const ClusterSnapshot& snapshot);

  SuspectVerdict StatusOf(Fingerprint fingerprint);

  //============================================================================
  // Turns

  /** Asks the locator for, or returns, the right to run a suspect. */
  void SendLeaseRequest(SuspectTurn request);
  /** Answers as the locator. */
  void OnLeaseRequest(const VmId& from, const SuspectTurn& request);

 private:
  void NotifyRequests(Fingerprint fingerprint);
  DomainId DomainOf(const EndpointId& endpoint) const;

  NodeContext& context_;
  std::mutex mutex_;
  SuspectTable table_;
  SuspectTurns leases_;
  std::vector<VmId> live_;
};

}  // namespace zr
