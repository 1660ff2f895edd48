#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace zr {

/** A number of model tokens, also used for KV-cache memory (one token, one
 * slot). */
class TokenCount {
 public:
  constexpr TokenCount() = default;
  constexpr explicit TokenCount(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  friend constexpr auto operator<=>(const TokenCount&,
                                    const TokenCount&) = default;
  friend constexpr TokenCount operator+(TokenCount a, TokenCount b) {
    return TokenCount(a.value_ + b.value_);
  }
  friend constexpr TokenCount operator-(TokenCount a, TokenCount b) {
    return TokenCount(a.value_ - b.value_);
  }
  constexpr TokenCount& operator+=(TokenCount b) {
    value_ += b.value_;
    return *this;
  }
  constexpr TokenCount& operator-=(TokenCount b) {
    value_ -= b.value_;
    return *this;
  }
  friend std::ostream& operator<<(std::ostream& os, TokenCount n) {
    return os << n.value_;
  }

 private:
  int64_t value_ = 0;
};

}  // namespace zr
