#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "zr_admission/zr_admission.h"
#include "zr_config/zr_config.h"
#include "zr_daemon/control/config_object.h"
#include "zr_membership/zr_membership.h"

namespace zr {

/** Immutable snapshot of the cluster as this VM knows it. */
struct ClusterSnapshot {
  std::shared_ptr<const ClusterView> view;  // never null
  std::shared_ptr<const Environment>
      environment;  // null before the first document
  std::shared_ptr<const ConfigOffer>
      document;     // null before the first document
  ChangeNote note;  // of the document, if this VM has read it from the store
  std::shared_ptr<const ClassPolicies> classes;
  std::shared_ptr<const TeamPolicies> teams;
  std::shared_ptr<const std::map<EndpointId, EndpointInfo>>
      endpoints;  // never null
  Drains drains;
  ConfigReadiness readiness = ConfigReadiness::kNoConfiguration;
  bool stopping = false;

  /** Whether this VM accepts new calls. */
  bool Ready() const {
    return !stopping && environment != nullptr &&
           readiness == ConfigReadiness::kReady;
  }
  /** Registration of an endpoint; nullptr if there is none. */
  const EndpointInfo* FindEndpoint(const EndpointId& endpoint) const;
  /** Number of registered endpoints in a pool. */
  int64_t PoolSize(const PoolId& pool) const;
};

/** Holds the current snapshot. Thread-safe. */
class ClusterState {
 public:
  ClusterState();
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  std::shared_ptr<const ClusterSnapshot> Get() const;
  void Set(std::shared_ptr<const ClusterSnapshot> snapshot);

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ClusterSnapshot> snapshot_;
};

}  // namespace zr
