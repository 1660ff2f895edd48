#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>

#include "zr_admission/zr_admission.h"
#include "zr_daemon/node_context.h"

namespace zr {

/**
 * Holds one GatherCoordinator per pool. A gather reserves KV memory on several
 * endpoints for a prompt that no single one can hold. Thread-safe.
 */
class GatherTable {
 public:
  explicit GatherTable(NodeContext& context);
  GatherTable(const GatherTable&) = delete;
  GatherTable& operator=(const GatherTable&) = delete;

  void Start() { Schedule(); }
  void Stop() { timer_.cancel(); }

  //============================================================================
  // Messages to the coordinator

  /** Handles an AdmissionRequest with an empty endpoint. */
  void OnRequest(const VmId& from, const AdmissionRequest& request);
  void OnReply(const VmId& from, const GatherReply& reply);
  void OnCancel(const VmId& from, const CancelAdmission& cancel);
  void OnVmDown(const VmId& vm);

 private:
  template <typename Step>
  void ForEach(Step step);
  void Schedule();
  void Send(const GatherCoordinator::Messages& messages);

  NodeContext& context_;
  asio::steady_timer timer_;
  std::mutex mutex_;
  std::map<PoolId, std::unique_ptr<GatherCoordinator>> coordinators_;
};

}  // namespace zr
