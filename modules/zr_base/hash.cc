#include "zr_base/hash.h"

#include <xxhash.h>

#include <cmath>

namespace zr {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t HashFields(std::initializer_list<std::string_view> fields) {
  uint64_t hash = fields.size();
  for (std::string_view field : fields) hash = Hash64(field, hash);
  return hash;
}

double RendezvousScore(std::string_view key, std::string_view node,
                       double weight) {
  const uint64_t hash = HashFields({key, node});
  // Maps the hash to (0, 1); 53 bits fill a double's mantissa.
  const double unit =
      (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
  return -weight / std::log(unit);
}

}  // namespace zr
