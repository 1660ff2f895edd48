#include "zr_config/address.h"

#include <charconv>

namespace zr {
namespace {

/** Parses an unsigned decimal without sign or leading zeros. */
std::optional<uint32_t> ParseDecimal(std::string_view text, uint32_t max) {
  if (text.empty() || text.size() > 5 ||
      (text.size() > 1 && text.front() == '0')) {
    return {};
  }
  uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value > max) {
    return {};
  }
  return value;
}

bool IsDottedQuad(std::string_view text) {
  for (int part = 0; part < 4; ++part) {
    const size_t dot = text.find('.');
    if ((dot == std::string_view::npos) != (part == 3)) return false;
    if (!ParseDecimal(text.substr(0, dot), 255)) return false;
    if (part < 3) text.remove_prefix(dot + 1);
  }
  return true;
}

}  // namespace

std::optional<Address> Address::Parse(std::string_view text) {
  const size_t colon = text.find(':');
  if (colon == std::string_view::npos) return {};
  const auto port = ParseDecimal(text.substr(colon + 1), 65'535);
  if (!port || !IsDottedQuad(text.substr(0, colon))) return {};
  return Address{std::string(text.substr(0, colon)),
                 static_cast<uint16_t>(*port)};
}

std::string Address::ToString() const {
  return ip + ":" + std::to_string(port);
}

}  // namespace zr
