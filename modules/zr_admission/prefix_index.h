#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "zr_admission/engine_reports.h"
#include "zr_base/zr_base.h"

namespace zr {

/**
 * The prefix blocks that an engine holds, as far as its events tell. Events
 * arrive late and with gaps; after a gap the index starts again from nothing,
 * because a missed eviction would promise memory that is not there.
 */
class PrefixIndex {
 public:
  /** Applies events; events of another boot clear the index first. */
  void Apply(const CacheEvents& events);
  void Clear();

  /** Prompt tokens that the engine need not prefill. */
  TokenCount CachedTokens(TokenCount prompt,
                          const std::vector<PrefixHash>& prefixes) const;
  /** Some of the stored hashes, for summaries. */
  std::vector<PrefixHash> Sample(size_t limit) const;
  uint64_t last_sequence() const { return last_sequence_; }

 private:
  BootNumber boot_;
  uint64_t last_sequence_ = 0;
  std::unordered_set<PrefixHash> stored_;
  std::vector<PrefixHash> recent_;  // a ring of hashes stored last
  size_t next_recent_ = 0;
};

}  // namespace zr
