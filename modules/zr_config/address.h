#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zr {

/** An IPv4 address and a port. */
struct Address {
  std::string ip;     // dotted quad, for example "10.0.0.7"
  uint16_t port = 0;  // 0 lets the system choose, for listeners only

  /** Parses "ip:port"; std::nullopt if the text is not a dotted quad and a port
   * from 0 to 65535. */
  static std::optional<Address> Parse(std::string_view text);
  /** "ip:port". */
  std::string ToString() const;

  friend auto operator<=>(const Address&, const Address&) = default;
};

}  // namespace zr
