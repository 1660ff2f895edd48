#include "zr_membership/summary_table.h"

#include <algorithm>
#include <utility>

namespace zr {

bool SummaryTable::OnSummary(TimePoint now, const EndpointSummary& summary) {
  if (summary.endpoint.empty() || summary.pool.empty() ||
      summary.owner.empty()) {
    return false;
  }
  Claims& claims = by_endpoint_[summary.endpoint];
  const auto it = claims.find(summary.owner);
  if (it != claims.end()) {
    const EndpointSummary& prev = it->second.summary;
    if (std::pair(summary.owner_incarnation, summary.sequence) <=
        std::pair(prev.owner_incarnation, prev.sequence)) {
      return false;
    }
    if (prev.pool != summary.pool) EraseFromPool(prev.pool, summary.endpoint);
  }
  claims[summary.owner] = {summary, now};
  by_pool_[summary.pool].insert(summary.endpoint);
  return true;
}

void SummaryTable::OnVmDown(const VmId& owner, Incarnation incarnation) {
  for (auto it = by_endpoint_.begin(); it != by_endpoint_.end();) {
    const auto next = std::next(it);
    const auto claim = it->second.find(owner);
    if (claim != it->second.end() &&
        claim->second.summary.owner_incarnation <= incarnation) {
      it->second.erase(claim);
      if (it->second.empty()) Erase(it);
    }
    it = next;
  }
}

void SummaryTable::RemoveEndpoint(const EndpointId& endpoint) {
  const auto it = by_endpoint_.find(endpoint);
  if (it != by_endpoint_.end()) Erase(it);
}

void SummaryTable::OnTick(TimePoint now) {
  for (auto it = by_endpoint_.begin(); it != by_endpoint_.end();) {
    const auto next = std::next(it);
    std::erase_if(it->second, [&](const auto& claim) {
      return now - claim.second.received_at > expire_after_;
    });
    if (it->second.empty()) Erase(it);
    it = next;
  }
}

std::optional<SummaryCandidate> SummaryTable::Find(
    TimePoint now, const EndpointId& endpoint,
    const OwnerLookup& owner_of) const {
  const auto it = by_endpoint_.find(endpoint);
  if (it == by_endpoint_.end()) return std::nullopt;
  std::optional<SummaryCandidate> best;
  std::optional<VmId> owner;
  if (owner_of) owner = owner_of(endpoint);
  for (const auto& [vm, entry] : it->second) {
    if (now - entry.received_at > expire_after_) continue;
    const bool from_owner = owner == vm;
    if (!best || std::pair(from_owner, entry.received_at) >
                     std::pair(best->from_owner, best->received_at)) {
      best = SummaryCandidate{&entry.summary, entry.received_at, from_owner};
    }
  }
  return best;
}

std::vector<SummaryCandidate> SummaryTable::Candidates(
    TimePoint now, const PoolId& pool, const OwnerLookup& owner_of) const {
  std::vector<SummaryCandidate> candidates;
  const auto it = by_pool_.find(pool);
  if (it == by_pool_.end()) return candidates;
  for (const EndpointId& endpoint : it->second) {
    const auto best = Find(now, endpoint, owner_of);
    // Summaries may name different pools while an endpoint is moved.
    if (best && best->summary->accepts_new && best->summary->pool == pool) {
      candidates.push_back(*best);
    }
  }
  return candidates;
}

TimePoint SummaryTable::NextWakeup() const {
  TimePoint wakeup = TimePoint::Max();
  for (const auto& [endpoint, claims] : by_endpoint_) {
    for (const auto& [vm, entry] : claims) {
      wakeup = std::min(wakeup, entry.received_at + expire_after_ +
                                    Duration::Microseconds(1));
    }
  }
  return wakeup;
}

void SummaryTable::Erase(std::map<EndpointId, Claims>::iterator it) {
  for (auto pool = by_pool_.begin(); pool != by_pool_.end();) {
    pool->second.erase(it->first);
    pool = pool->second.empty() ? by_pool_.erase(pool) : std::next(pool);
  }
  by_endpoint_.erase(it);
}

void SummaryTable::EraseFromPool(const PoolId& pool,
                                 const EndpointId& endpoint) {
  // Another VM may still claim the endpoint for this pool.
  const size_t claims = std::count_if(
      by_endpoint_[endpoint].begin(), by_endpoint_[endpoint].end(),
      [&](const auto& claim) { return claim.second.summary.pool == pool; });
  if (claims > 1) return;
  const auto it = by_pool_.find(pool);
  if (it == by_pool_.end()) return;
  it->second.erase(endpoint);
  if (it->second.empty()) by_pool_.erase(it);
}

}  // namespace zr
