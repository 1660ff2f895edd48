#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zr {

/** Seed from which the answer to a prompt is generated. */
uint64_t AnswerSeed(std::string_view prompt);

/**
 * Text of one token of an answer. Depends only on the prompt text and the
 * token's index, so that clients can verify answers.
 *
 * @param seed   AnswerSeed() of the prompt
 * @param index  offset of the token in the answer, from 0
 */
std::string TokenText(uint64_t seed, int64_t index);

/** The first count tokens of an answer. */
std::string AnswerText(uint64_t seed, int64_t count);

/** Number of tokens of a prompt without a stated length: one per four bytes, at
 * least one. */
int64_t PromptTokensOf(std::string_view prompt);

}  // namespace zr
