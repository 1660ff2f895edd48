#include "zr_daemon/request/operation_table.h"

#include <utility>

#include "zr_daemon/request/operation_host.h"

namespace zr {

bool OperationTable::Add(uint64_t nonce, std::shared_ptr<OperationHost> host) {
  std::lock_guard lock(mutex_);
  return hosts_.try_emplace(nonce, std::move(host)).second;
}

void OperationTable::Remove(uint64_t nonce) {
  std::function<void()> run;
  std::shared_ptr<OperationHost>
      removed;  // destroyed after the lock is released
  {
    std::lock_guard lock(mutex_);
    auto it = hosts_.find(nonce);
    if (it == hosts_.end()) return;
    removed = std::move(it->second);
    hosts_.erase(it);
    if (hosts_.empty()) run = std::exchange(when_empty_, nullptr);
  }
  if (run) run();
}

void OperationTable::WhenEmpty(std::function<void()> run) {
  {
    std::lock_guard lock(mutex_);
    if (!hosts_.empty()) {
      when_empty_ = std::move(run);
      return;
    }
  }
  run();
}

bool OperationTable::Contains(uint64_t nonce) const {
  std::lock_guard lock(mutex_);
  return hosts_.contains(nonce);
}

size_t OperationTable::size() const {
  std::lock_guard lock(mutex_);
  return hosts_.size();
}

}  // namespace zr
