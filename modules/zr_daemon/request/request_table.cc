#include "zr_daemon/request/request_table.h"

#include <utility>

#include "zr_daemon/request/suspect_registry.h"

namespace zr {

bool RequestTable::Add(const std::shared_ptr<RequestHost>& host) {
  std::lock_guard lock(mutex_);
  return hosts_.try_emplace(host->id(), host).second;
}

void RequestTable::Remove(const RequestId& id, const RequestHost* host) {
  std::function<void()> run;
  std::shared_ptr<RequestHost> removed;
  {
    std::lock_guard lock(mutex_);
    auto it = hosts_.find(id);
    if (it != hosts_.end() && it->second.get() == host) {
      removed = std::move(it->second);
      hosts_.erase(it);
    }
    if (hosts_.empty()) run = std::exchange(when_empty_, nullptr);
  }
  if (run) run();
}

void RequestTable::WhenEmpty(std::function<void()> run) {
  {
    std::lock_guard lock(mutex_);
    if (!hosts_.empty()) {
      when_empty_ = std::move(run);
      return;
    }
  }
  run();
}

void RequestTable::OnVmDown(const VmId& vm) {
  for (const auto& host : All()) {
    host->Post([vm](TimePoint now, RequestMachine& machine) {
      return machine.OnVmUnreachable(now, vm);
    });
  }
}

void RequestTable::RefuseBlamed(SuspectRegistry& suspects) {
  for (const auto& host : All()) {
    if (!suspects.IsBlamed(host->prefixes())) continue;
    host->Post([](TimePoint now, RequestMachine& machine) {
      return machine.OnSuspectStatus(now, SuspectStatus::kRefuse);
    });
  }
}

void RequestTable::OnSuspectStatus(Fingerprint fingerprint,
                                   SuspectStatus status) {
  for (const auto& host : All()) {
    if (host->fingerprint() != fingerprint) continue;
    host->Post([status](TimePoint now, RequestMachine& machine) {
      return machine.OnSuspectStatus(now, status);
    });
  }
}

void RequestTable::AbortAll() {
  for (const auto& host : All()) {
    host->Post([](TimePoint now, RequestMachine& machine) {
      return machine.Abort(now);
    });
  }
}

std::shared_ptr<RequestHost> RequestTable::Find(const RequestId& id) const {
  std::lock_guard lock(mutex_);
  auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second;
}

size_t RequestTable::size() const {
  std::lock_guard lock(mutex_);
  return hosts_.size();
}

RetryBudget& RequestTable::BudgetOf(const PoolId& pool) {
  std::lock_guard lock(mutex_);
  auto& budget = budgets_[pool];
  if (!budget) budget = std::make_unique<RetryBudget>();
  return *budget;
}

std::vector<std::shared_ptr<RequestHost>> RequestTable::All() const {
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<RequestHost>> hosts;
  for (const auto& [id, host] : hosts_) hosts.push_back(host);
  return hosts;
}

}  // namespace zr
