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
  virtual KindVersion known() const = 0;
  virtual KindUpdate NewsSince(TimePoint now,
                               const KindVersion& asker) const = 0;
  /** @param asked  when the query left this VM */
  virtual void OnNews(TimePoint asked, const KindUpdate& news) = 0;
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
  using Usable = std::function<bool(const VmId&)>;

  explicit StoreRelay(GatewayState& state) : state_(state) {}

  /** The kind must outlive this object. */
  void Add(RelayedKind* kind) { kinds_.push_back(kind); }
  void SetVms(const std::vector<VmId>& vms);
  /** The VMs to keep links to: those that watch, and one in reserve. */
  const std::vector<VmId>& targets() const { return ranked_; }

  void Tick(TimePoint now, const Usable& usable, const Sender& send);
  StoreUpdate OnQuery(TimePoint now, const StoreQuery& query) const;
  void OnNews(TimePoint now, const VmId& vm, const StoreUpdate& news);

 private:
  struct Asked {
    VmId vm;
    uint64_t number = 0;
    TimePoint at;
  };

  bool Watches(const VmId& vm) const;
  VmId Choose(TimePoint now, const Usable& usable) const;

  GatewayState& state_;
  std::vector<RelayedKind*> kinds_;
  std::vector<VmId> ranked_;
  size_t watching_ = 0;  // of ranked_, from its start
  std::map<VmId, TimePoint> avoid_until_;
  std::optional<Asked> asked_;
  uint64_t last_number_ = 0;
  TimePoint next_query_;
  VmId current_;
};

}  // namespace zr
