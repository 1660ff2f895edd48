#include "zr_gateway/endpoint_directory.h"

#include <set>
#include <tuple>
#include <utility>

namespace zr {
namespace {

/** An endpoint wrote `a` before `b`, or both are the same write. */
bool IsNoNewer(const ListedEndpoint& a, const ListedEndpoint& b) {
  return std::tuple(a.boot_ms, a.sequence) <= std::tuple(b.boot_ms, b.sequence);
}

}  // namespace

void EndpointDirectory::OnList(TimePoint now,
                               const std::vector<DirectoryEntry>& entries) {
  std::set<EndpointId> present;
  for (const DirectoryEntry& entry : entries) {
    present.insert(entry.endpoint.id);
    OnEntry(now, entry);
  }
  std::erase_if(held_, [&present](const auto& held) {
    return !present.contains(held.first);
  });
  std::vector<EndpointId> absent;
  for (const auto& [id, state] : tracker_.endpoints()) {
    if (!present.contains(id)) absent.push_back(id);
  }
  for (const EndpointId& id : absent) OnRemoved(now, id);
}

void EndpointDirectory::OnEntry(TimePoint now, const DirectoryEntry& entry) {
  const EndpointId& id = entry.endpoint.id;
  missing_.erase(id);
  held_.erase(id);
  if (IsOutdated(entry.endpoint)) return;
  if (era_ > 0 && now < restored_at_ + kReturnDelay &&
      HasDeparted(entry.endpoint)) {
    held_[id] = entry;
    return;
  }
  departures_.erase(id);
  tracker_.Upsert(now, entry.endpoint, entry.cold_rate_per_s);
}

bool EndpointDirectory::IsOutdated(const ListedEndpoint& endpoint) const {
  const EndpointState* known = tracker_.Find(endpoint.id);
  if (era_ == 0 || known == nullptr ||
      endpoint.boot() != known->listed.boot()) {
    return false;
  }
  const ListedEndpoint& listed = known->listed;
  return endpoint.sequence < listed.sequence ||
         (endpoint.sequence == listed.sequence && listed.draining);
}

bool EndpointDirectory::HasDeparted(const ListedEndpoint& endpoint) const {
  const EndpointState* known = tracker_.Find(endpoint.id);
  if (known != nullptr) return endpoint.boot_ms < known->listed.boot_ms;
  const auto it = departures_.find(endpoint.id);
  return it != departures_.end() && it->second.era < era_ &&
         IsNoNewer(endpoint, it->second.last);
}

void EndpointDirectory::Remove(const EndpointId& id) {
  if (const EndpointState* state = tracker_.Find(id)) {
    if (departures_.size() >= kMaxDepartures) departures_.clear();
    departures_[id] = {state->listed, era_};
  }
  tracker_.Remove(id);
}

void EndpointDirectory::OnRemoved(TimePoint now, const EndpointId& id) {
  held_.erase(id);
  const EndpointState* state = tracker_.Find(id);
  if (state == nullptr) return;
  // The removal of a draining endpoint is planned, so it needs no grace period.
  if (InGracePeriod(now) && !state->listed.draining) {
    missing_.try_emplace(id, reachable_since_ + kRewriteGrace);
    return;
  }
  Remove(id);
}

void EndpointDirectory::OnStoreRestored(TimePoint now) {
  ++era_;
  restored_at_ = now;
  reachable_since_ = now;
}

void EndpointDirectory::OnStoreReachable(TimePoint now, bool reachable) {
  if (reachable && !reachable_) reachable_since_ = now;
  reachable_ = reachable;
}

void EndpointDirectory::Tick(TimePoint now) {
  if (!reachable_) return;
  if (!held_.empty() && now >= restored_at_ + kReturnDelay) {
    for (const auto& [id, entry] : std::exchange(held_, {})) {
      OnEntry(now, entry);
    }
  }
  for (auto it = missing_.begin(); it != missing_.end();) {
    if (now < reachable_since_ + kRewriteGrace) return;
    Remove(it->first);
    it = missing_.erase(it);
  }
}

bool EndpointDirectory::InGracePeriod(TimePoint now) const {
  return !reachable_ || now - reachable_since_ < kRewriteGrace;
}

}  // namespace zr
