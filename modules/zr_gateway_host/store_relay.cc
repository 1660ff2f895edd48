#include "zr_gateway_host/store_relay.h"

#include <algorithm>

namespace zr {
namespace {

// Name under which VMs are ranked; no pool has it.
constexpr const char* kRankName = "store watch";
// VMs that watch the store: two, so that the loss of one is no gap, and more
// where one would have to answer too many queries.
constexpr size_t kLeastWatching = 2;
constexpr size_t kAskersOfOne = 100;
constexpr Duration kQueryPeriod = Duration::Milliseconds(400);
// An answer takes a round trip of a few milliseconds.
constexpr Duration kAnswerPatience = Duration::Milliseconds(500);
// A VM that doesn't answer or has lost the store is not asked for this long.
constexpr Duration kAvoid = Duration::Seconds(3);

}  // namespace

void StoreRelay::SetVms(const std::vector<VmId>& vms) {
  watching_ = std::max(kLeastWatching, vms.size() / kAskersOfOne + 1);
  ranked_ = RankDispatchers(PoolId(kRankName), vms, watching_ + 1);
  watching_ = std::min(watching_, ranked_.size());
}

bool StoreRelay::Watches(const VmId& vm) const {
  const auto end = ranked_.begin() + static_cast<int64_t>(watching_);
  return std::find(ranked_.begin(), end, vm) != end;
}

VmId StoreRelay::Choose(TimePoint now, const Usable& usable) const {
  const auto askable = [&](const VmId& vm) {
    auto avoided = avoid_until_.find(vm);
    return vm != state_.vm && usable(vm) &&
           (avoided == avoid_until_.end() || now >= avoided->second);
  };
  VmId chosen;
  uint64_t best = 0;
  for (const VmId& vm : ranked_) {
    // The one in reserve only if nobody else is left.
    if (!Watches(vm) && !chosen.empty()) break;
    const uint64_t score = RendezvousScore(vm.value(), state_.vm.value());
    if (!askable(vm) || (!chosen.empty() && score <= best)) continue;
    chosen = vm;
    best = score;
  }
  return chosen;
}

void StoreRelay::Tick(TimePoint now, const Usable& usable, const Sender& send) {
  const bool watches = ranked_.empty() || Watches(state_.vm);
  for (RelayedKind* kind : kinds_) kind->SetWatching(watches);
  if (watches) return;
  if (asked_ && now - asked_->at > kAnswerPatience) {
    state_.log.Write(now, "relay_silent", {{"peer", asked_->vm.value()}});
    avoid_until_[asked_->vm] = now + kAvoid;
    asked_.reset();
  }
  if (asked_ || now < next_query_) return;
  next_query_ = now + kQueryPeriod;
  const VmId vm = Choose(now, usable);
  if (vm != current_) {
    state_.log.Write(now, "relay",
                     {{"before", current_.value()}, {"now", vm.value()}});
    current_ = vm;
  }
  if (vm.empty()) return;
  StoreQuery query;
  query.query_id = ++last_number_;
  for (const RelayedKind* kind : kinds_) {
    query.known.push_back(kind->known());
  }
  if (send(vm, query)) asked_ = Asked{vm, query.query_id, now};
}

StoreUpdate StoreRelay::OnQuery(TimePoint now, const StoreQuery& query) const {
  StoreUpdate news;
  news.query_id = query.query_id;
  for (const KindVersion& known : query.known) {
    for (const RelayedKind* kind : kinds_) {
      if (kind->kind() != known.kind) continue;
      news.kinds.push_back(kind->NewsSince(now, known));
    }
  }
  return news;
}

void StoreRelay::OnNews(TimePoint now, const VmId& vm,
                        const StoreUpdate& news) {
  if (!asked_ || asked_->number != news.query_id || asked_->vm != vm) return;
  const TimePoint asked = asked_->at;
  asked_.reset();
  for (const KindUpdate& of : news.kinds) {
    if (!of.store_reachable) avoid_until_[vm] = now + kAvoid;
    for (RelayedKind* kind : kinds_) {
      if (kind->kind() == of.kind) kind->OnNews(asked, of);
    }
  }
}

}  // namespace zr
