#pragma once

#include <cstdint>

namespace zr {

/** Deterministic pseudo-random numbers (SplitMix64). Not for secrets. */
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  /** A uniform 64-bit number. */
  uint64_t Next();
  /** A uniform number in [0, bound); bound must be greater than 0. */
  uint64_t Below(uint64_t bound);
  /** A uniform number in [0, 1). */
  double Unit();
  /** True with the given probability. */
  bool Chance(double probability);

 private:
  uint64_t state_;
};

}  // namespace zr
