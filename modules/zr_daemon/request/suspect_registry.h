#pragma once

#include <mutex>
#include <vector>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Suspects: requests, and beginnings of prompts that they share, that may have
 * crashed endpoints. Shared with all VMs. Thread-safe. */
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
  // Beginnings of prompts

  /** An endpoint failed before it began to answer a prompt with these prefixes.
   */
  void ReportUnanswered(const EndpointId& endpoint, BootNumber boot,
                        const std::vector<PrefixHash>& prefixes);
  /** An endpoint began to answer such a prompt. */
  void OnAnswered(const std::vector<PrefixHash>& prefixes);
  /** Adds what another VM has observed. */
  void OnEvidence(const CrashEvidence& evidence);
  /** Prompts that begin with one of the prefixes must not reach an endpoint. */
  bool IsBlamed(const std::vector<PrefixHash>& prefixes);

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
  void RefuseBlamedRequests();
  DomainId DomainOf(const EndpointId& endpoint) const;

  NodeContext& context_;
  std::mutex mutex_;
  SuspectTable table_;
  SuspectLeases leases_;
  CrashAttribution attribution_;
  std::vector<VmId> live_;
};

}  // namespace zr
