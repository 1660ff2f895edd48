#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace zr {

/**
 * Reads JSON in which single values may be odd, such as a list with an entry of
 * another writer: what is nested too deeply is left out, a number that no
 * double holds becomes null, and bytes that are no text become question marks,
 * so that the rest can be used.
 *
 * @returns a discarded value if the text as a whole is not JSON
 */
nlohmann::json ReadJson(std::string_view text);

/**
 * @param begin  position of a string's first quote
 * @returns position of its last quote; the text's size if it has none
 */
size_t EndOfJsonString(std::string_view text, size_t begin);

}  // namespace zr
