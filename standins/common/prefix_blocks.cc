#include "standins/common/prefix_blocks.h"

#include "zr_base/zr_base.h"

namespace zr {

std::vector<uint64_t> PrefixBlockHashes(std::string_view prompt,
                                        int64_t prompt_tokens) {
  constexpr size_t kBlockBytes = 4 * static_cast<size_t>(kPrefixBlockTokens);
  std::vector<uint64_t> hashes;
  hashes.reserve(static_cast<size_t>(prompt_tokens / kPrefixBlockTokens));
  uint64_t previous = 0;
  for (int64_t block = 0; block < prompt_tokens / kPrefixBlockTokens; ++block) {
    const std::string_view bytes = prompt.substr(0, kBlockBytes);
    prompt.remove_prefix(bytes.size());
    previous = Hash64(bytes, previous);
    hashes.push_back(previous);
  }
  return hashes;
}

}  // namespace zr
