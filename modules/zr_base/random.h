#pragma once

#include <cstdint>

namespace zr {

/**
 * Deterministic pseudo-random number generator (SplitMix64). Not for
 * cryptographic use.
 */
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  /** Returns a uniform 64-bit number. */
  uint64_t Next();
  /** Returns a uniform number in [0, bound); bound must be greater than 0. */
  uint64_t Below(uint64_t bound);
  /** Returns a uniform number in [0, 1). */
  double Unit();
  /** Returns true with the given probability. */
  bool Chance(double probability);

 private:
  uint64_t state_;
};

}  // namespace zr
