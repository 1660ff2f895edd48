#include "standins/engine/prefix_cache.h"

#include "zr_base/zr_base.h"

namespace zr {

size_t PrefixCache::Match(const std::vector<uint64_t>& blocks) const {
  size_t count = 0;
  while (count < blocks.size() && blocks_.contains(blocks[count])) ++count;
  return count;
}

bool PrefixCache::PinOrInsert(uint64_t hash) {
  auto [it, inserted] = blocks_.try_emplace(hash);
  if (!inserted && it->second.pins == 0) unused_.erase(it->second.unused);
  ++it->second.pins;
  if (inserted) observer_(true, hash);
  return !inserted;
}

void PrefixCache::Unpin(uint64_t hash) {
  auto it = blocks_.find(hash);
  ZR_ASSERT(it != blocks_.end() && it->second.pins > 0,
            "only pinned blocks are unpinned");
  if (it == blocks_.end() || --it->second.pins > 0) return;
  it->second.unused = unused_.insert(unused_.end(), hash);
}

bool PrefixCache::EvictOne() {
  if (unused_.empty()) return false;
  const uint64_t hash = unused_.front();
  unused_.pop_front();
  blocks_.erase(hash);
  observer_(false, hash);
  return true;
}

void PrefixCache::Clear() {
  blocks_.clear();
  unused_.clear();
}

}  // namespace zr
