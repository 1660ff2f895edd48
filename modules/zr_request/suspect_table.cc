#include "zr_request/suspect_table.h"

#include <algorithm>

namespace zr {
namespace {

// Two deaths refuse a request; more are kept in case some are excused later.
constexpr size_t kMaxDeaths = 4;
// Bounds the deaths of one domain that are compared with each other.
constexpr size_t kMaxDomainDeaths = 256;

}  // namespace

bool SuspectTable::OnDeath(TimePoint now, const Suspect& suspect,
                           const DomainId& domain) {
  Expire(now);
  if (suspect.age >= options_.keep) return false;
  const Death death{{suspect.endpoint, suspect.boot},
                    domain,
                    now - std::max(suspect.age, Duration())};
  NoteDomainDeath(death);
  if (!entries_.contains(suspect.fingerprint) &&
      entries_.size() >= options_.max_fingerprints) {
    DropOne(now);
  }
  Entry& entry = entries_[suspect.fingerprint];
  const auto known =
      std::find_if(entry.deaths.begin(), entry.deaths.end(),
                   [&](const Death& d) { return d.name == death.name; });
  if (known != entry.deaths.end() || entry.deaths.size() >= kMaxDeaths) {
    return false;
  }
  entry.deaths.push_back(death);
  entry.last = std::max(entry.last, death.at);
  return true;
}

void SuspectTable::NoteDomainDeath(const Death& death) {
  std::deque<Death>& recent = by_domain_[death.domain];
  const bool known =
      std::any_of(recent.begin(), recent.end(),
                  [&](const Death& d) { return d.name == death.name; });
  if (!known) recent.push_back(death);
  while (recent.size() > kMaxDomainDeaths) recent.pop_front();
  std::vector<const Death*> around;
  std::set<EndpointId> endpoints;
  for (const Death& d : recent) {
    if (d.at > death.at + options_.collective ||
        death.at > d.at + options_.collective) {
      continue;
    }
    around.push_back(&d);
    endpoints.insert(d.name.first);
  }
  if (endpoints.size() < options_.collective_endpoints) return;
  for (const Death* d : around) collective_[d->name] = d->at;
}

void SuspectTable::Excuse(const DeathName& name, TimePoint at) {
  excused_[name] = at;
}

void SuspectTable::OnPlannedStop(TimePoint now, const EndpointId& endpoint,
                                 BootNumber boot) {
  Expire(now);
  Excuse({endpoint, boot}, now);
}

void SuspectTable::OnEndpointAlive(TimePoint now, const EndpointId& endpoint,
                                   BootNumber boot) {
  // Only deaths of the last seconds can be contradicted by a report; the boot
  // number rules out those after which the endpoint started again.
  for (auto& [domain, recent] : by_domain_) {
    std::erase_if(recent, [&](const Death& d) {
      if (d.name != DeathName{endpoint, boot} ||
          d.at + options_.alive_after > now) {
        return false;
      }
      Excuse(d.name, now);
      collective_.erase(d.name);
      return true;
    });
  }
}

void SuspectTable::OnDomainLost(TimePoint now, const DomainId& domain) {
  Expire(now);
  for (const Death& d : by_domain_[domain]) collective_[d.name] = d.at;
}

void SuspectTable::OnHarmless(TimePoint now, Fingerprint fingerprint) {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  it->second.harmless = now;
  it->second.was_harmless = true;
}

size_t SuspectTable::CountDeaths(TimePoint now, const Entry& entry) const {
  size_t single = 0;
  size_t collective = 0;
  for (const Death& death : entry.deaths) {
    if (death.at + options_.keep <= now || excused_.contains(death.name)) {
      continue;
    }
    if (entry.was_harmless && death.at <= entry.harmless) continue;
    ++(collective_.contains(death.name) ? collective : single);
  }
  if (single > 0) return single;
  return collective > 1 ? 1 : 0;
}

SuspectVerdict SuspectTable::Verdict(TimePoint now,
                                     Fingerprint fingerprint) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return SuspectVerdict::kClear;
  const size_t deaths = CountDeaths(now, it->second);
  if (deaths == 0) return SuspectVerdict::kClear;
  return deaths == 1 ? SuspectVerdict::kRunAlone : SuspectVerdict::kRefuse;
}

bool SuspectTable::Dismissed(TimePoint now, Fingerprint fingerprint) const {
  return entries_.contains(fingerprint) &&
         Verdict(now, fingerprint) == SuspectVerdict::kClear;
}

std::vector<Suspect> SuspectTable::Recent(TimePoint now) const {
  std::vector<Suspect> suspects;
  for (const auto& [fingerprint, entry] : entries_) {
    if (CountDeaths(now, entry) == 0) continue;
    for (const Death& d : entry.deaths) {
      suspects.push_back(
          {fingerprint, d.name.first, d.name.second, now - d.at});
    }
  }
  return suspects;
}

void SuspectTable::Expire(TimePoint now) {
  const auto old = [&](const auto& item) {
    return item.second + options_.keep <= now;
  };
  std::erase_if(excused_, old);
  std::erase_if(collective_, old);
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.last + options_.keep <= now;
  });
  // A late report may still belong to a collective loss or be contradicted for
  // a while.
  const Duration compare = options_.collective * 8;
  for (auto& [domain, recent] : by_domain_) {
    std::erase_if(recent,
                  [&](const Death& d) { return d.at + compare <= now; });
  }
}

void SuspectTable::DropOne(TimePoint now) {
  const auto rank = [&](const auto& item) {
    return std::make_pair(CountDeaths(now, item.second), item.second.last);
  };
  const auto least = std::min_element(
      entries_.begin(), entries_.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (least != entries_.end()) entries_.erase(least);
}

}  // namespace zr
