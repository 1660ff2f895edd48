#include "zr_gateway/refusal_memory.h"

#include <algorithm>

namespace zr {

void RefusalMemory::OnRefused(TimePoint now, Fingerprint fingerprint,
                              TimePoint allowed_at, TimePoint objective_at) {
  if (fingerprint.value() == 0) return;
  Expire(now);
  if (by_expiry_.size() >= kMaxEntries) {
    refused_.erase(by_expiry_.front().second);
    by_expiry_.pop_front();
  }
  auto [it, added] = refused_.try_emplace(fingerprint.value(),
                                          Refused{allowed_at, objective_at});
  if (!added) it->second.allowed_at = allowed_at;
  by_expiry_.emplace_back(allowed_at + kRetention, fingerprint.value());
}

RepeatInfo RefusalMemory::OnArrival(TimePoint now, Fingerprint fingerprint) {
  Expire(now);
  const auto it = refused_.find(fingerprint.value());
  if (fingerprint.value() == 0 || it == refused_.end()) return {};
  RepeatInfo info{RepeatKind::kEarlyRepeat, it->second.objective_at};
  if (now + kTolerance >= it->second.allowed_at) {
    info.kind = RepeatKind::kInstructedRepeat;
    refused_.erase(it);
  }
  return info;
}

void RefusalMemory::Expire(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.front().first < now) {
    const auto it = refused_.find(by_expiry_.front().second);
    // It may have been refused again later.
    if (it != refused_.end() && it->second.allowed_at + kRetention < now) {
      refused_.erase(it);
    }
    by_expiry_.pop_front();
  }
}

}  // namespace zr
