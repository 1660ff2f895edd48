#include "zr_request/suspect_table.h"

#include <algorithm>

namespace zr {
namespace {

// Two failures refuse a request; more are kept in case some are dismissed
// later.
constexpr size_t kMaxFailures = 4;
// Limits the failures of one domain that are compared with each other.
constexpr size_t kMaxDomainFailures = 256;

}  // namespace

bool SuspectTable::OnFailure(TimePoint now, const Suspect& suspect,
                             const DomainId& domain) {
  Expire(now);
  if (suspect.age >= options_.retention) return false;
  const Failure failure{{suspect.endpoint, suspect.boot},
                        domain,
                        now - std::max(suspect.age, Duration())};
  RecordDomainFailure(failure);
  if (!entries_.contains(suspect.fingerprint) &&
      entries_.size() >= options_.max_fingerprints) {
    EvictOne(now);
  }
  Entry& entry = entries_[suspect.fingerprint];
  const auto found =
      std::find_if(entry.failures.begin(), entry.failures.end(),
                   [&](const Failure& f) { return f.key == failure.key; });
  if (found != entry.failures.end() || entry.failures.size() >= kMaxFailures) {
    return false;
  }
  entry.failures.push_back(failure);
  entry.last_failure = std::max(entry.last_failure, failure.time);
  return true;
}

void SuspectTable::RecordDomainFailure(const Failure& failure) {
  std::deque<Failure>& recent = by_domain_[failure.domain];
  const bool found =
      std::any_of(recent.begin(), recent.end(),
                  [&](const Failure& f) { return f.key == failure.key; });
  if (!found) recent.push_back(failure);
  while (recent.size() > kMaxDomainFailures) recent.pop_front();
  std::vector<const Failure*> nearby;
  std::set<EndpointId> endpoints;
  for (const Failure& f : recent) {
    if (f.time > failure.time + options_.correlation_window ||
        failure.time > f.time + options_.correlation_window) {
      continue;
    }
    nearby.push_back(&f);
    endpoints.insert(f.key.first);
  }
  if (endpoints.size() < options_.min_correlated_endpoints) return;
  for (const Failure* f : nearby) correlated_[f->key] = f->time;
}

void SuspectTable::Dismiss(const FailureKey& key, TimePoint time) {
  dismissed_[key] = time;
}

void SuspectTable::OnPlannedStop(TimePoint now, const EndpointId& endpoint,
                                 BootNumber boot) {
  Expire(now);
  Dismiss({endpoint, boot}, now);
}

void SuspectTable::OnEndpointAlive(TimePoint now, const EndpointId& endpoint,
                                   BootNumber boot) {
  // Only failures of the last seconds can be contradicted by a report. The boot
  // number excludes failures after which the endpoint restarted.
  for (auto& [domain, recent] : by_domain_) {
    std::erase_if(recent, [&](const Failure& f) {
      if (f.key != FailureKey{endpoint, boot} ||
          f.time + options_.min_alive_delay > now) {
        return false;
      }
      Dismiss(f.key, now);
      correlated_.erase(f.key);
      return true;
    });
  }
}

void SuspectTable::OnDomainLost(TimePoint now, const DomainId& domain) {
  Expire(now);
  for (const Failure& f : by_domain_[domain]) correlated_[f.key] = f.time;
}

void SuspectTable::OnRunCompleted(TimePoint now, Fingerprint fingerprint) {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  it->second.cleared_at = now;
  it->second.was_cleared = true;
}

size_t SuspectTable::CountFailures(TimePoint now, const Entry& entry) const {
  size_t independent = 0;
  size_t correlated = 0;
  for (const Failure& failure : entry.failures) {
    if (failure.time + options_.retention <= now ||
        dismissed_.contains(failure.key)) {
      continue;
    }
    if (entry.was_cleared && failure.time <= entry.cleared_at) continue;
    ++(correlated_.contains(failure.key) ? correlated : independent);
  }
  if (independent > 0) return independent;
  return correlated > 1 ? 1 : 0;
}

SuspectStatus SuspectTable::StatusOf(TimePoint now,
                                     Fingerprint fingerprint) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return SuspectStatus::kClear;
  const size_t failures = CountFailures(now, it->second);
  if (failures == 0) return SuspectStatus::kClear;
  return failures == 1 ? SuspectStatus::kRunAlone : SuspectStatus::kRefuse;
}

bool SuspectTable::WasCleared(TimePoint now, Fingerprint fingerprint) const {
  return entries_.contains(fingerprint) &&
         StatusOf(now, fingerprint) == SuspectStatus::kClear;
}

std::vector<Suspect> SuspectTable::RecentSuspects(TimePoint now) const {
  std::vector<Suspect> suspects;
  for (const auto& [fingerprint, entry] : entries_) {
    if (CountFailures(now, entry) == 0) continue;
    for (const Failure& f : entry.failures) {
      suspects.push_back(
          {fingerprint, f.key.first, f.key.second, now - f.time});
    }
  }
  return suspects;
}

void SuspectTable::Expire(TimePoint now) {
  const auto expired = [&](const auto& item) {
    return item.second + options_.retention <= now;
  };
  std::erase_if(dismissed_, expired);
  std::erase_if(correlated_, expired);
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.last_failure + options_.retention <= now;
  });
  // Late reports may still belong to a correlated failure or be contradicted.
  const Duration comparison_window = options_.correlation_window * 8;
  for (auto& [domain, recent] : by_domain_) {
    std::erase_if(recent, [&](const Failure& f) {
      return f.time + comparison_window <= now;
    });
  }
}

void SuspectTable::EvictOne(TimePoint now) {
  const auto rank = [&](const auto& item) {
    return std::make_pair(CountFailures(now, item.second),
                          item.second.last_failure);
  };
  const auto victim = std::min_element(
      entries_.begin(), entries_.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (victim != entries_.end()) entries_.erase(victim);
}

}  // namespace zr
