#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/request_host.h"

namespace zr {

class SuspectRegistry;

/** Requests in progress at this VM. Thread-safe. */
class RequestTable {
 public:
  explicit RequestTable(NodeContext& context) : context_(context) {}
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  //============================================================================
  // Changes

  /** Adds a request. @returns false if its id is in use */
  bool Add(const std::shared_ptr<RequestHost>& host);
  /** Removes a request if the id still belongs to this host. */
  void Remove(const RequestId& id, const RequestHost* host);
  /** Calls a function once, as soon as the table is empty. */
  void WhenEmpty(std::function<void()> run);
  /** Tells every request that a VM is considered failed. */
  void OnVmDown(const VmId& vm);
  /** Refuses the requests whose prompts begin with a blamed prefix. */
  void RefuseBlamed(SuspectRegistry& suspects);
  /** Tells the requests with a fingerprint its new suspect status. */
  void OnSuspectStatus(Fingerprint fingerprint, SuspectStatus status);
  void AbortAll();

  //============================================================================
  // Queries

  std::shared_ptr<RequestHost> Find(const RequestId& id) const;
  size_t size() const;
  /** Retry budget of a pool; valid for the lifetime of the table. */
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
