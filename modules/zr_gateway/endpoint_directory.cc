#include "zr_gateway/endpoint_directory.h"

#include <set>

namespace zr {

void EndpointDirectory::OnList(TimePoint now,
                               const std::vector<DirectoryEntry>& entries) {
  std::set<EndpointId> present;
  for (const DirectoryEntry& entry : entries) {
    present.insert(entry.endpoint.id);
    OnEntry(now, entry);
  }
  std::vector<EndpointId> absent;
  for (const auto& [id, state] : tracker_.endpoints()) {
    if (!present.contains(id)) absent.push_back(id);
  }
  for (const EndpointId& id : absent) OnRemoved(now, id);
}

void EndpointDirectory::OnEntry(TimePoint now, const DirectoryEntry& entry) {
  missing_.erase(entry.endpoint.id);
  tracker_.Upsert(now, entry.endpoint, entry.cold_rate_per_s);
}

void EndpointDirectory::OnRemoved(TimePoint now, const EndpointId& id) {
  const EndpointState* state = tracker_.Find(id);
  if (state == nullptr) return;
  // The removal of a draining endpoint is planned, so it needs no grace period.
  if (InGracePeriod(now) && !state->listed.draining) {
    missing_.try_emplace(id, reachable_since_ + kRemovalGrace);
    return;
  }
  tracker_.Remove(id);
}

void EndpointDirectory::OnStoreReachable(TimePoint now, bool reachable) {
  if (reachable && !reachable_) reachable_since_ = now;
  reachable_ = reachable;
}

void EndpointDirectory::Tick(TimePoint now) {
  if (!reachable_) return;
  for (auto it = missing_.begin(); it != missing_.end();) {
    if (now < reachable_since_ + kRemovalGrace) return;
    tracker_.Remove(it->first);
    it = missing_.erase(it);
  }
}

bool EndpointDirectory::InGracePeriod(TimePoint now) const {
  return !reachable_ || now - reachable_since_ < kRemovalGrace;
}

}  // namespace zr
