#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zr {

/** Number from which the answer to a prompt is derived. */
uint64_t AnswerSeed(std::string_view prompt);

/**
 * Text of one token of an answer. It depends only on the prompt text and the
 * token's index, so that a client can verify an answer.
 *
 * @param seed   AnswerSeed() of the prompt
 * @param index  offset of the token in the answer, from 0
 */
std::string TokenText(uint64_t seed, int64_t index);

/** The first count tokens of an answer. */
std::string AnswerText(uint64_t seed, int64_t count);

/** Tokens of a prompt without a stated length: one for every four bytes, at
 * least one. */
int64_t PromptTokensOf(std::string_view prompt);

}  // namespace zr
