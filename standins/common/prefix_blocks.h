#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace zr {

/** Tokens in a block of the prefix cache. */
constexpr int64_t kPrefixBlockTokens = 256;

/**
 * Chained hashes of a prompt's full blocks, as engines publish them in cache
 * events. Block i covers the prompt's bytes [1024 i, 1024 (i + 1)), four bytes
 * per token; its hash is Hash64(bytes, hash of block i - 1), with seed 0 for
 * the first block. If prompt_tokens exceeds the text, the remaining blocks are
 * hashed as empty.
 */
std::vector<uint64_t> PrefixBlockHashes(std::string_view prompt,
                                        int64_t prompt_tokens);

}  // namespace zr
