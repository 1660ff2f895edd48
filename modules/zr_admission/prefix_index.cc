#include "zr_admission/prefix_index.h"

#include <algorithm>

namespace zr {
namespace {

// Limits the index to about 1 MB per endpoint, at 16 bytes per entry.
constexpr size_t kMaxStored = 65'536;
constexpr size_t kMaxRecent = 256;

}  // namespace

void PrefixIndex::Clear() {
  stored_.clear();
  recent_.clear();
  next_recent_ = 0;
}

void PrefixIndex::Apply(const CacheEvents& events) {
  if (events.boot != boot_) {
    Clear();
    boot_ = events.boot;
    last_sequence_ = 0;
  }
  for (const CacheEvent& event : events.events) {
    if (event.sequence <= last_sequence_) continue;
    if (event.sequence != last_sequence_ + 1) Clear();
    last_sequence_ = event.sequence;
    switch (event.operation) {
      case CacheOperation::kStored:
        if (stored_.size() >= kMaxStored) Clear();
        stored_.insert(event.hash);
        if (recent_.size() < kMaxRecent) {
          recent_.push_back(event.hash);
        } else {
          recent_[next_recent_] = event.hash;
          next_recent_ = (next_recent_ + 1) % kMaxRecent;
        }
        break;
      case CacheOperation::kEvicted:
        stored_.erase(event.hash);
        break;
      case CacheOperation::kCleared:
        Clear();
        break;
    }
  }
}

TokenCount PrefixIndex::CachedTokens(
    TokenCount prompt, const std::vector<PrefixHash>& prefixes) const {
  if (prefixes.empty() || stored_.empty()) return TokenCount(0);
  size_t matched = 0;
  while (matched < prefixes.size() && stored_.contains(prefixes[matched])) {
    ++matched;
  }
  const auto blocks = static_cast<int64_t>(prefixes.size());
  const int64_t cached =
      prompt.value() * static_cast<int64_t>(matched) / blocks;
  // The engine always computes the last token, to have a position to decode
  // from.
  return TokenCount(
      std::clamp<int64_t>(cached, 0, std::max<int64_t>(0, prompt.value() - 1)));
}

std::vector<PrefixHash> PrefixIndex::Sample(size_t limit) const {
  std::vector<PrefixHash> sample;
  for (const PrefixHash& hash : recent_) {
    if (sample.size() >= limit) break;
    if (stored_.contains(hash)) sample.push_back(hash);
  }
  return sample;
}

}  // namespace zr
