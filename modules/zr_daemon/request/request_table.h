#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/request_host.h"

namespace zr {

/** The requests in progress at this VM. Any thread may use it. */
class RequestTable {
 public:
  explicit RequestTable(NodeContext& context) : context_(context) {}
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  //============================================================================
  // Changes

  /** Adds a request; false if its id is in use. */
  bool Add(const std::shared_ptr<RequestHost>& host);
  /** Removes a host if it is still the one of its id. */
  void Remove(const RequestId& id, const RequestHost* host);
  /** Called once when the table is empty, now or later. */
  void WhenEmpty(std::function<void()> run);
  /** Tells every request that a VM is dead. */
  void OnVmDown(const VmId& vm);
  /** Tells the requests with a fingerprint how suspect it is now. */
  void OnSuspectStatus(Fingerprint fingerprint, SuspectVerdict status);
  void AbortAll();

  //============================================================================
  // Queries

  std::shared_ptr<RequestHost> Find(const RequestId& id) const;
  size_t size() const;
  /** Retry budget of a pool; valid as long as the table. */
  RetryBudget& BudgetOf(const PoolId& pool);

 private:
  std::vector<std::shared_ptr<RequestHost>> All() const;

  NodeContext& context_;
  mutable std::mutex mutex_;
  std::map<RequestId, std::shared_ptr<RequestHost>> hosts_;
  std::map<PoolId, std::unique_ptr<RetryBudget>> budgets_;
  std::function<void()> when_empty_;
};

}  // namespace zr
