#include "zr_http/server/http_types.h"

#include <cctype>
#include <charconv>

namespace zr {
namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  auto it = headers.find(name);
  return it == headers.end() ? std::string_view()
                             : std::string_view(it->second);
}

std::optional<std::string> HttpRequest::QueryParameter(
    std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos
               ? ""
               : PercentDecode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const int high = HexValue(text[i + 1]);
      const int low = HexValue(text[i + 2]);
      if (high >= 0 && low >= 0) {
        out += static_cast<char>(high * 16 + low);
        i += 2;
        continue;
      }
    }
    out += text[i];
  }
  return out;
}

std::string PercentEncode(std::string_view text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
        c == '~') {
      out += c;
    } else {
      out += '%';
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    }
  }
  return out;
}

std::vector<std::string> PathSegments(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    const size_t end = path.find('/');
    const std::string_view part = path.substr(0, end);
    if (!part.empty()) segments.push_back(PercentDecode(part));
    path = end == std::string_view::npos ? std::string_view()
                                         : path.substr(end + 1);
  }
  return segments;
}

Result<std::pair<std::string, uint16_t>> ParseAddress(
    std::string_view address) {
  const size_t colon = address.rfind(':');
  uint16_t port = 0;
  if (colon != std::string_view::npos && colon > 0) {
    const std::string_view digits = address.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error == std::errc() && end == digits.data() + digits.size() &&
        port > 0) {
      return std::make_pair(std::string(address.substr(0, colon)), port);
    }
  }
  return Fail(ErrorCode::kInvalidArgument, "address", std::string(address),
              "address must be ip:port with a port from 1 to 65535");
}

}  // namespace zr
