#include "zr_admission/grant_table.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Holders send lists every 500 ms, and a paused process may delay them by a few
// seconds. After this time, no stale list can name an ended grant.
constexpr Duration kTombstoneLifetime = Duration::Seconds(30);
constexpr size_t kMaxTombstones = 4096;

}  // namespace

GrantEntry& GrantTable::Add(GrantEntry entry) {
  reserved_ += entry.kv;
  if (entry.adopted) ++adopted_;
  if (entry.run_alone) ++run_alone_;
  StreamKey key = entry.key;
  const auto [it, inserted] =
      entries_.emplace(std::move(key), std::move(entry));
  ZR_ASSERT_INVARIANT(kNoKvLeak, inserted, "an attempt has two grants");
  return it->second;
}

GrantEntry* GrantTable::Find(const StreamKey& key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

const GrantEntry* GrantTable::Find(const StreamKey& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

void GrantTable::Remove(const StreamKey& key, TimePoint now) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  const GrantEntry& entry = it->second;
  reserved_ -= entry.kv;
  if (entry.adopted) --adopted_;
  if (entry.run_alone) --run_alone_;
  tombstones_.push_back(Tombstone{entry.key, entry.owner, entry.number, now});
  if (tombstones_.size() > kMaxTombstones) tombstones_.pop_front();
  entries_.erase(it);
}

void GrantTable::SetKv(GrantEntry& entry, TokenCount kv) {
  reserved_ += kv - entry.kv;
  entry.kv = kv;
}

int64_t GrantTable::CountState(GrantState state) const {
  return std::count_if(
      entries_.begin(), entries_.end(),
      [state](const auto& item) { return item.second.state == state; });
}

int64_t GrantTable::GrantedSince(TimePoint time) const {
  return std::count_if(
      entries_.begin(), entries_.end(), [time](const auto& item) {
        return !item.second.adopted && item.second.granted_at > time;
      });
}

TimePoint GrantTable::NextExpiry() const {
  TimePoint next = TimePoint::Max();
  for (const auto& [key, entry] : entries_) {
    next = std::min(next, entry.expires_at);
  }
  return next;
}

bool GrantTable::HasTombstone(const StreamKey& key, const VmId& owner,
                              GrantNumber number) const {
  return std::any_of(tombstones_.begin(), tombstones_.end(),
                     [&](const Tombstone& tombstone) {
                       return tombstone.number == number &&
                              tombstone.key == key && tombstone.owner == owner;
                     });
}

void GrantTable::PruneTombstones(TimePoint now) {
  while (!tombstones_.empty() &&
         now - tombstones_.front().at > kTombstoneLifetime) {
    tombstones_.pop_front();
  }
}

void GrantTable::CheckInvariants(TimePoint now, Duration max_hold) const {
  TokenCount sum;
  for (const auto& [key, entry] : entries_) {
    sum += entry.kv;
    ZR_ASSERT_INVARIANT(kNoKvLeak, entry.kv >= TokenCount(0),
                        "a reservation has negative KV tokens");
    ZR_ASSERT_INVARIANT(kNoKvLeak, entry.expires_at <= now + max_hold,
                        "a reservation expires too late");
  }
  ZR_ASSERT_INVARIANT(kNoKvLeak, sum == reserved_,
                      "sum of reservations differs from the recorded total");
}

}  // namespace zr
