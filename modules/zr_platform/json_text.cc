#include "zr_platform/json_text.h"

#include <cmath>
#include <cstdlib>
#include <string>

namespace zr {
namespace {

using Json = nlohmann::json;

// Writing a value takes a stack frame a level.
constexpr int kMaxDepth = 32;

/** Whether no value is nested more deeply than kMaxDepth. */
bool IsWithinDepth(std::string_view text) {
  int depth = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      i = EndOfJsonString(text, i);
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxDepth) return false;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return true;
}

Json ParseWithinDepth(std::string_view text) {
  // A parser that asks about each value takes twice as long.
  if (IsWithinDepth(text)) return Json::parse(text, nullptr, false);
  return Json::parse(
      text,
      [](int depth, Json::parse_event_t, Json&) { return depth <= kMaxDepth; },
      false);
}

bool IsNumberPart(char c) {
  return (c >= '0' && c <= '9') || c == '.' || c == 'e' || c == 'E' ||
         c == '+' || c == '-';
}

/** Length of the UTF-8 sequence at the begin; 0 if there is none. */
size_t SequenceLength(std::string_view bytes) {
  const auto at = [&bytes](size_t i) { return static_cast<uint8_t>(bytes[i]); };
  const uint8_t first = at(0);
  if (first < 0x80) return 1;
  const size_t length = first >= 0xC2 && first <= 0xDF   ? 2
                        : first >= 0xE0 && first <= 0xEF ? 3
                        : first >= 0xF0 && first <= 0xF4 ? 4
                                                         : 0;
  if (length == 0 || bytes.size() < length) return 0;
  for (size_t i = 1; i < length; ++i) {
    if ((at(i) & 0xC0) != 0x80) return 0;
  }
  const bool overlong =
      (first == 0xE0 && at(1) < 0xA0) || (first == 0xF0 && at(1) < 0x90);
  const bool invalid =
      (first == 0xED && at(1) > 0x9F) || (first == 0xF4 && at(1) > 0x8F);
  return overlong || invalid ? 0 : length;
}

/** Copies the string at `begin` with its quotes; @returns its end. */
size_t CopyString(std::string_view text, size_t begin, std::string& out) {
  constexpr size_t kEscape = 6;  // \uXXXX
  const auto is_surrogate = [&text](size_t i, const char* digits) {
    return i + kEscape <= text.size() && text[i] == '\\' &&
           text[i + 1] == 'u' && (text[i + 2] | 0x20) == 'd' &&
           std::string_view(digits).find(text[i + 3]) != std::string::npos;
  };
  out += text[begin];
  size_t i = begin + 1;
  while (i < text.size() && text[i] != '"') {
    const bool high = is_surrogate(i, "89abAB");
    if (high && is_surrogate(i + kEscape, "cdefCDEF")) {
      out.append(text, i, 2 * kEscape);
      i += 2 * kEscape;
    } else if (high || is_surrogate(i, "cdefCDEF")) {
      out += '?';
      i += kEscape;
    } else if (text[i] == '\\' && i + 1 < text.size()) {
      out.append(text, i, 2);
      i += 2;
    } else {
      const size_t length = SequenceLength(text.substr(i));
      if (length == 0) {
        out += '?';
      } else {
        out.append(text, i, length);
      }
      i += length == 0 ? 1 : length;
    }
  }
  if (i < text.size()) out += text[i++];
  return i;
}

std::string ReplaceOddValues(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (size_t i = 0; i < text.size();) {
    if (text[i] == '"') {
      i = CopyString(text, i, out);
    } else if (text[i] == '-' || (text[i] >= '0' && text[i] <= '9')) {
      size_t end = i;
      while (end < text.size() && IsNumberPart(text[end])) ++end;
      const std::string number(text.substr(i, end - i));
      out +=
          std::isfinite(std::strtod(number.c_str(), nullptr)) ? number : "null";
      i = end;
    } else {
      out += text[i++];
    }
  }
  return out;
}

}  // namespace

size_t EndOfJsonString(std::string_view text, size_t begin) {
  for (size_t end = text.find('"', begin + 1); end != std::string_view::npos;
       end = text.find('"', end + 1)) {
    size_t slash = end;
    while (slash > begin + 1 && text[slash - 1] == '\\') --slash;
    if ((end - slash) % 2 == 0) return end;
  }
  return text.size();
}

Json ReadJson(std::string_view text) {
  Json json = ParseWithinDepth(text);
  if (json.is_discarded()) json = ParseWithinDepth(ReplaceOddValues(text));
  return json;
}

}  // namespace zr
