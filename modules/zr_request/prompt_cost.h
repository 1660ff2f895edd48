#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Token count and prefix hashes of a prompt, used by admission. */
struct PromptCost {
  /** Block size of the prefix hashes; prefix caches share whole blocks. */
  static constexpr int64_t kBlockTokens = 256;
  /** Estimate for prompts without a token count from the caller. */
  static constexpr int64_t kBytesPerToken = 4;
  /**
   * Maximum number of hashed blocks (65,536 tokens), to keep messages small.
   */
  static constexpr size_t kMaxBlocks = 256;

  TokenCount tokens;
  /** Element i is the hash of the first i + 1 blocks. */
  std::vector<PrefixHash> prefixes;

  /**
   * @param model    prefixes are shared among prompts of one model only
   * @param counted  the caller's token count, if any; blocks are split by bytes
   * in any case, so that a prompt has the same hashes with and without a count
   */
  static PromptCost Estimate(std::string_view model, std::string_view prompt,
                             std::optional<TokenCount> counted = std::nullopt);
};

/** Identifies repeated requests of a team by model and prompt; never 0. */
Fingerprint MakeFingerprint(const TeamId& team, std::string_view model,
                            std::string_view prompt);

}  // namespace zr
