#include "zr_gateway_host/store_relay.h"

#include <algorithm>
#include <tuple>

namespace zr {
namespace {

// Key under which watchers are ranked; no pool has this name.
constexpr const char* kRankName = "store watch";
// Two VMs watch the store at least, so that the loss of one leaves no gap; more
// watch where one would have to answer too many queries.
constexpr size_t kMinWatchers = 2;
constexpr size_t kVmsPerWatcher = 100;
// An answer takes a round trip of a few milliseconds.
constexpr Duration kQueryTimeout = Duration::Milliseconds(500);
// A VM that doesn't answer or has lost the store is not queried for this long,
// unless there is no other.
constexpr Duration kPeerBackoff = Duration::Seconds(3);
// Time between two queries of a VM that lacks objects of some kind.
constexpr Duration kStartPeriod = Duration::Milliseconds(120);

}  // namespace

void StoreRelay::SetVms(const std::vector<VmId>& vms, const VmCores& cores) {
  watcher_count_ = std::max(kMinWatchers, vms.size() / kVmsPerWatcher + 1);
  ranked_ = RankForDuty(kRankName, vms, watcher_count_ + 1, cores);
  watcher_count_ = std::min(watcher_count_, ranked_.size());
}

bool StoreRelay::IsWatcher(const VmId& vm) const {
  const auto end = ranked_.begin() + static_cast<int64_t>(watcher_count_);
  return std::find(ranked_.begin(), end, vm) != end;
}

VmId StoreRelay::ChoosePeer(TimePoint now,
                            const PeerPredicate& is_usable) const {
  const auto backs_off = [now](const std::map<VmId, TimePoint>& until,
                               const VmId& vm) {
    const auto it = until.find(vm);
    return it != until.end() && now < it->second;
  };
  // VMs that answer and have the store first, then those that answer, as they
  // tell when they have it again. The standby comes after the watchers.
  VmId chosen;
  std::tuple<bool, bool, bool, double> best;
  for (const VmId& vm : ranked_) {
    if (vm == state_.vm || !is_usable(vm)) continue;
    const std::tuple score(!backs_off(silent_until_, vm),
                           !backs_off(store_lost_until_, vm), IsWatcher(vm),
                           RendezvousScore(vm.value(), state_.vm.value()));
    if (!chosen.empty() && score <= best) continue;
    chosen = vm;
    best = score;
  }
  return chosen;
}

void StoreRelay::Tick(TimePoint now, const PeerPredicate& is_usable,
                      const Sender& send) {
  const bool is_watcher = HasSettled(now) && IsWatcher(state_.vm);
  for (RelayedKind* kind : kinds_) kind->SetWatching(is_watcher);
  // A watcher that the store turns away learns from the others meanwhile.
  const bool lacks_store =
      std::any_of(kinds_.begin(), kinds_.end(), [](const RelayedKind* kind) {
        return kind->started() && kind->known_version().store_unreachable;
      });
  if (is_watcher && !lacks_store) return;
  if (query_ && now - query_->sent_at > kQueryTimeout) {
    state_.log.Write(now, "relay_silent", {{"peer", query_->vm.value()}});
    silent_until_[query_->vm] = now + kPeerBackoff;
    query_.reset();
  }
  if (query_ || now < next_query_) return;
  const bool lacks_objects =
      std::any_of(kinds_.begin(), kinds_.end(), [](const RelayedKind* kind) {
        return kind->started() && !kind->listed();
      });
  next_query_ =
      now + (lacks_objects ? kStartPeriod : EvidenceLimits::kQueryPeriod);
  const VmId vm = ChoosePeer(now, is_usable);
  if (vm != current_peer_) {
    state_.log.Write(now, "relay",
                     {{"before", current_peer_.value()}, {"now", vm.value()}});
    current_peer_ = vm;
  }
  if (vm.empty()) return;
  StoreQuery query;
  query.query_id = ++last_query_id_;
  for (const RelayedKind* kind : kinds_) {
    if (kind->started()) query.known.push_back(kind->known_version());
  }
  if (send(vm, query)) query_ = PendingQuery{vm, query.query_id, now};
}

StoreUpdate StoreRelay::OnQuery(TimePoint now, const StoreQuery& query) const {
  StoreUpdate update;
  update.query_id = query.query_id;
  for (const KindVersion& known_version : query.known) {
    for (const RelayedKind* kind : kinds_) {
      if (kind->kind() != known_version.kind) continue;
      update.kinds.push_back(kind->UpdateSince(now, known_version));
    }
  }
  return update;
}

void StoreRelay::OnUpdate(TimePoint now, const VmId& vm,
                          const StoreUpdate& update) {
  if (!query_ || query_->id != update.query_id || query_->vm != vm) return;
  const TimePoint queried_at = query_->sent_at;
  query_.reset();
  for (const KindUpdate& changes : update.kinds) {
    if (!changes.store_reachable) store_lost_until_[vm] = now + kPeerBackoff;
    for (RelayedKind* kind : kinds_) {
      if (kind->kind() == changes.kind) kind->OnUpdate(queried_at, changes);
    }
  }
}

}  // namespace zr
