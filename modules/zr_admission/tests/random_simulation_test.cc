#include "random_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace zr {
namespace {

// Guards against leaked KV tokens and overloaded fresh engines when messages
// are lost, two VMs own an endpoint, and VMs and engines fail.
TEST_CASE("Owners keep their invariants under random faults") {
  uint64_t first = 1;
  uint64_t count = 60;
  if (const char* seed = std::getenv("ZR_SEED")) {
    first = std::strtoull(seed, nullptr, 10);
    count = 1;
  }
  for (uint64_t seed = first; seed < first + count; ++seed) {
    INFO("ZR_SEED=" << seed);
    Invariants::Reset();
    Invariants::SetHandler([](Invariant, std::string_view message) {
      UNSCOPED_INFO("violated: " << message);
    });
    RandomSimulation simulation(seed);
    simulation.Run();
    Invariants::SetHandler(nullptr);
  }
}

}  // namespace
}  // namespace zr
