#include "zr_request/prompt_cost.h"

#include <algorithm>

namespace zr {

PromptCost PromptCost::Estimate(std::string_view model, std::string_view prompt,
                                std::optional<TokenCount> counted) {
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  PromptCost cost;
  const auto bytes = static_cast<int64_t>(prompt.size());
  cost.tokens = TokenCount(
      std::max<int64_t>(1, (bytes + kBytesPerToken - 1) / kBytesPerToken));
  // The caller's count may be below the estimate, but not below one token per
  // 16 bytes, so that a wrong count cannot exceed an engine's memory by much.
  constexpr int64_t kMaxBytesPerToken = 16;
  if (counted) {
    cost.tokens = std::max(*counted, TokenCount(bytes / kMaxBytesPerToken));
  }
  uint64_t hash = HashFields({model});
  for (size_t offset = 0; offset + kBlockBytes <= prompt.size() &&
                          cost.prefixes.size() < kMaxBlocks;
       offset += kBlockBytes) {
    hash = Hash64(prompt.substr(offset, kBlockBytes), hash);
    cost.prefixes.emplace_back(hash);
  }
  return cost;
}

Fingerprint MakeFingerprint(const TeamId& team, std::string_view model,
                            std::string_view prompt) {
  const uint64_t hash = HashFields({team.value(), model, prompt});
  return Fingerprint(hash == 0 ? 1 : hash);
}

}  // namespace zr
