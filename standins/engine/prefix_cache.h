#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "standins/common/prefix_blocks.h"

namespace zr {

/**
 * Prompt blocks cached in an engine's KV memory. Blocks in use are pinned;
 * others are evicted in least-recently-used order. Not thread-safe.
 */
class PrefixCache {
 public:
  /** Called for each inserted (true) and evicted (false) block. */
  using Observer = std::function<void(bool inserted, uint64_t hash)>;
  explicit PrefixCache(Observer observer) : observer_(std::move(observer)) {}

  /** Number of leading blocks in the cache. */
  size_t Match(const std::vector<uint64_t>& blocks) const;
  /** Pins a block and inserts it if necessary. @returns true if it was cached
   * already */
  bool PinOrInsert(uint64_t hash);
  /** Removes one pin of a block. */
  void Unpin(uint64_t hash);
  /** Evicts the least recently used unpinned block. @returns false if all are
   * pinned */
  bool EvictOne();
  /** Clears the cache without calling the observer, as a crash does. */
  void Clear();

  /** Tokens of all blocks. */
  int64_t total_tokens() const {
    return static_cast<int64_t>(blocks_.size()) * kPrefixBlockTokens;
  }
  /** Tokens of pinned blocks. */
  int64_t pinned_tokens() const {
    return static_cast<int64_t>(blocks_.size() - unused_.size()) *
           kPrefixBlockTokens;
  }

 private:
  struct Block {
    int pins = 0;
    std::list<uint64_t>::iterator unused;  // valid if pins is 0
  };

  Observer observer_;
  std::unordered_map<uint64_t, Block> blocks_;
  std::list<uint64_t> unused_;  // least recently used first
};

}  // namespace zr
