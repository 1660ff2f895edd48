#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_request/zr_request.h"

namespace zr {

class RequestHost;

/**
 * Finds the streams of requests that callers repeat: runs the searches of this
 * VM and replies to those of other VMs. Thread-safe.
 */
class StreamLocator {
 public:
  explicit StreamLocator(NodeContext& context);
  StreamLocator(const StreamLocator&) = delete;
  StreamLocator& operator=(const StreamLocator&) = delete;

  void Start() { Schedule(); }
  void Stop() { timer_.cancel(); }

  //============================================================================
  // Streams that this VM knows

  void SetLocal(const StreamLocation& location);
  void EndLocal(const RequestId& request, bool done);
  void OnHeldGrants(const HeldGrants& list);
  void OnRelease(const GrantRelease& release);
  void OnSnapshot(const ClusterSnapshot& snapshot);
  void OnVmDown(const VmId& vm);

  //============================================================================
  // Searches

  /** Searches for a run and passes the result to the host's machine. */
  void Locate(const std::shared_ptr<RequestHost>& host,
              const LocateStream& wanted);
  void OnStreamLookup(const VmId& from, const StreamLookup& query);
  void OnStreamLocation(const VmId& from, const StreamLocation& location);

 private:
  struct Search {
    StreamSearch search;
    std::weak_ptr<RequestHost> host;
  };
  using Messages = std::vector<OutgoingMessage>;

  void Schedule();
  void Tick();
  /** Runs a step of a search under the lock, then sends its messages and
   * reports its result without the lock.
   */
  template <typename Step>
  void Advance(const RequestId& request, Step step);
  void Send(const Messages& messages);

  NodeContext& context_;
  asio::steady_timer timer_;
  std::mutex mutex_;
  StreamDirectory directory_;
  std::map<RequestId, Search> searches_;
  std::vector<VmId> live_;
  TimePoint next_expiry_;
};

}  // namespace zr
