#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zr {

/**
 * Text of one token of the answer to a prompt. It depends only on the prompt
 * text and the token's index, so that a client can verify an answer.
 *
 * @param index  offset of the token in the answer, from 0
 */
std::string TokenText(std::string_view prompt, int64_t index);

/** The first count tokens of the answer to a prompt. */
std::string AnswerText(std::string_view prompt, int64_t count);

/** Tokens of a prompt without a stated length: one for every four bytes, at least one. */
int64_t PromptTokensOf(std::string_view prompt);

}  // namespace zr
