#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "zr_daemon/node_context.h"

namespace zr {

class OperationHost;

/** Operations in progress at this VM, by the nonce of their attempt.
 * Thread-safe. */
class OperationTable {
 public:
  OperationTable() = default;
  OperationTable(const OperationTable&) = delete;
  OperationTable& operator=(const OperationTable&) = delete;

  /** @returns false if the nonce is in use */
  bool Add(uint64_t nonce, std::shared_ptr<OperationHost> host);
  void Remove(uint64_t nonce);
  /** Calls a function once, as soon as the table is empty. */
  void WhenEmpty(std::function<void()> run);

  bool Contains(uint64_t nonce) const;
  size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::map<uint64_t, std::shared_ptr<OperationHost>> hosts_;
  std::function<void()> when_empty_;
};

}  // namespace zr
