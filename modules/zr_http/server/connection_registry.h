#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zr {

/** Tracks the open connections and runs the callbacks of their responses when a
 * connection is closed. */
class ConnectionRegistry {
 public:
  /** Calls the function immediately if the connection is closed already. */
  void Register(uint64_t connection,
                const std::shared_ptr<std::function<void()>>& on_closed) {
    {
      std::lock_guard lock(mutex_);
      if (auto it = callbacks_.find(connection); it != callbacks_.end()) {
        it->second.push_back(on_closed);
        return;
      }
    }
    if (*on_closed) (*on_closed)();
  }

  void NotifyClosed(uint64_t connection) {
    std::vector<std::weak_ptr<std::function<void()>>> callbacks;
    {
      std::lock_guard lock(mutex_);
      auto it = callbacks_.find(connection);
      if (it == callbacks_.end()) return;
      callbacks = std::move(it->second);
      callbacks_.erase(it);
    }
    for (auto& weak : callbacks) {
      if (auto callback = weak.lock(); callback && *callback) (*callback)();
    }
  }

  void Unregister(uint64_t connection,
                  const std::weak_ptr<std::function<void()>>& on_closed) {
    std::lock_guard lock(mutex_);
    auto it = callbacks_.find(connection);
    if (it == callbacks_.end()) return;
    std::erase_if(it->second, [&on_closed](const auto& other) {
      return other.expired() ||
             (!other.owner_before(on_closed) && !on_closed.owner_before(other));
    });
  }

  /** Called by RESTinio when a connection changes state. */
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      NotifyClosed(notice.connection_id());
    } else if (restinio::holds_alternative<
                   restinio::connection_state::accepted_t>(notice.cause())) {
      std::lock_guard lock(mutex_);
      callbacks_[notice.connection_id()];
    }
  }

 private:
  std::mutex mutex_;
  std::unordered_map<uint64_t,
                     std::vector<std::weak_ptr<std::function<void()>>>>
      callbacks_;
};

}  // namespace zr
