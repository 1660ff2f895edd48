#pragma once

#include <map>
#include <set>
#include <utility>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/**
 * The evacuated failure domains. What a store lacks that was restored from an
 * older copy stays in force for a while, as it may be written again.
 */
class EvacuationRegister {
 public:
  /** Takes the complete list.
   * @param restored  the store has come back from an older copy */
  void OnList(TimePoint now, const std::set<DomainId>& listed, bool restored) {
    std::map<DomainId, TimePoint> next;
    for (const DomainId& domain : listed) next[domain] = TimePoint::Max();
    for (const auto& [domain, until] : domains_) {
      if (restored) {
        next.try_emplace(domain, now + kRewriteGrace);
      } else if (until != TimePoint::Max()) {
        next.try_emplace(domain, until);
      }
    }
    domains_ = std::move(next);
  }
  void OnAdded(const DomainId& domain) { domains_[domain] = TimePoint::Max(); }
  void OnRemoved(const DomainId& domain) { domains_.erase(domain); }

  /** @returns whether an evacuation has ended that was not written again */
  bool Tick(TimePoint now) {
    return std::erase_if(domains_, [now](const auto& item) {
             return now >= item.second;
           }) > 0;
  }

  std::set<DomainId> domains() const {
    std::set<DomainId> out;
    for (const auto& [domain, until] : domains_) out.insert(domain);
    return out;
  }

 private:
  std::map<DomainId, TimePoint> domains_;  // with the end, if it is in doubt
};

}  // namespace zr
