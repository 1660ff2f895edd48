#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Size and prefixes of a prompt, as admission needs them. */
struct PromptCost {
  /** A block of a prompt; caches share whole blocks. */
  static constexpr int64_t kBlockTokens = 256;
  /** Estimate for prompts whose caller gives no token count. */
  static constexpr int64_t kBytesPerToken = 4;
  /** Hashes of at most this many blocks (65,536 tokens), so that messages stay
   * small. */
  static constexpr size_t kMaxBlocks = 256;

  TokenCount tokens;
  /** Hash i stands for the first i + 1 blocks. */
  std::vector<PrefixHash> prefixes;

  /**
   * @param model    prefixes are shared among prompts of one model only
   * @param counted  the caller's token count, if it gave one; blocks are cut by
   * bytes all the same, so that a prompt has the same hashes with and without a
   * count
   */
  static PromptCost Estimate(std::string_view model, std::string_view prompt,
                             std::optional<TokenCount> counted = std::nullopt);
};

/** Recognises a request that its caller sends again; never 0. */
Fingerprint MakeFingerprint(const TeamId& team, std::string_view model,
                            std::string_view prompt);

}  // namespace zr
