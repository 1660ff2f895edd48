#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "zr_admission/engine_reports.h"
#include "zr_base/zr_base.h"

namespace zr {

/**
 * Prefix blocks in an engine's cache, as reported by its cache events. Events
 * may be late or missing. After a gap the index is cleared, because a missed
 * eviction would make a reservation too small.
 */
class PrefixIndex {
 public:
  /** Applies events; clears the index first if their boot differs. */
  void Apply(const CacheEvents& events);
  void Clear();

  /** Prompt tokens that the engine doesn't need to prefill. */
  TokenCount CachedTokens(TokenCount prompt,
                          const std::vector<PrefixHash>& prefixes) const;
  /** Sample of recently stored hashes, for summaries. */
  std::vector<PrefixHash> Sample(size_t limit) const;
  uint64_t last_sequence() const { return last_sequence_; }

 private:
  BootNumber boot_;
  uint64_t last_sequence_ = 0;
  std::unordered_set<PrefixHash> stored_;
  std::vector<PrefixHash> recent_;  // ring buffer of the hashes stored last
  size_t next_recent_ = 0;
};

}  // namespace zr
