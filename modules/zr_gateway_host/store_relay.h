#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_gateway/zr_gateway.h"
#include "zr_gateway_host/gateway_state.h"

namespace zr {

/** Objects of one kind that VMs may learn from one another. */
class RelayedKind {
 public:
  virtual ~RelayedKind() = default;
  virtual const std::string& kind() const = 0;
  /** Up to which version of the store all changes are known here. */
  virtual KindVersion known_version() const = 0;
  virtual KindNews UpdateSince(TimePoint now,
                               const KindVersion& requester) const = 0;
  /** @param asked  when the query left this VM */
  virtual void OnUpdate(TimePoint queried_at, const KindNews& update) = 0;
  /** This VM watches the store for others, or need not while it has news. */
  virtual void SetWatching(bool watching) = 0;
};

/**
 * Lets a few VMs watch the store for all: the others ask them twice a second
 * what has changed, and turn to the store only without news. Which VMs watch
 * follows from rendezvous hashing over the members.
 *
 * News carry the age of their proof, and the asker counts it from the moment
 * it asked, so what a VM believes of its own freshness is never too young.
 */
class StoreRelay {
 public:
  using Sender = std::function<bool(const VmId&, const Message&)>;
  using PeerPredicate = std::function<bool(const VmId&)>;

  explicit StoreRelay(GatewayState& state) : state_(state) {}

  /** The kind must outlive this object. */
  void Add(RelayedKind* kind) { kinds_.push_back(kind); }
  void SetVms(const std::vector<VmId>& vms);
  /** The VMs to keep links to: those that watch, and one in reserve. */
  const std::vector<VmId>& targets() const { return ranked_; }

  void Tick(TimePoint now, const PeerPredicate& is_usable, const Sender& send);
  StoreNews OnQuery(TimePoint now, const StoreQuery& query) const;
  void OnReply(TimePoint now, const VmId& vm, const StoreNews& reply);

 private:
  struct PendingQuery {
    VmId vm;
    uint64_t number = 0;
    TimePoint sent_at;
  };

  bool IsWatcher(const VmId& vm) const;
  VmId ChoosePeer(TimePoint now, const PeerPredicate& is_usable) const;

  GatewayState& state_;
  std::vector<RelayedKind*> kinds_;
  std::vector<VmId> ranked_;
  size_t watcher_count_ = 0;  // of ranked_, from its start
  std::map<VmId, TimePoint> avoid_until_;
  std::optional<PendingQuery> pending_query_;
  uint64_t last_number_ = 0;
  TimePoint next_query_;
  VmId current_peer_;
};

}  // namespace zr
