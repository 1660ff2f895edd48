#include "zr_base/random.h"

#include "zr_base/assert.h"

namespace zr {

uint64_t Random::Next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

uint64_t Random::Below(uint64_t bound) {
  ZR_ASSERT(bound > 0, "Random::Below needs a bound above 0");
  return bound == 0 ? 0 : Next() % bound;
}

double Random::Unit() {
  return static_cast<double>(Next() >> 11) / 9007199254740992.0;
}

bool Random::Chance(double probability) { return Unit() < probability; }

}  // namespace zr
