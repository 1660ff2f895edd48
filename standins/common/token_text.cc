#include "standins/common/token_text.h"

#include <algorithm>

#include "zr_base/zr_base.h"

namespace zr {

uint64_t AnswerSeed(std::string_view prompt) { return Hash64(prompt); }

std::string TokenText(uint64_t seed, int64_t index) {
  // Mixes in the index after hashing, because short inputs and small seeds of
  // the hash function can cancel each other out.
  uint64_t hash = Random(seed ^ (static_cast<uint64_t>(index) << 32)).Next();
  std::string word;
  const uint64_t length = 2 + hash % 5;
  hash /= 5;
  for (uint64_t i = 0; i < length; ++i) {
    word += static_cast<char>('a' + hash % 26);
    hash /= 26;
  }
  word += ' ';
  return word;
}

std::string AnswerText(uint64_t seed, int64_t count) {
  std::string text;
  for (int64_t i = 0; i < count; ++i) text += TokenText(seed, i);
  return text;
}

int64_t PromptTokensOf(std::string_view prompt) {
  return std::max<int64_t>(1, static_cast<int64_t>(prompt.size() / 4));
}

}  // namespace zr
