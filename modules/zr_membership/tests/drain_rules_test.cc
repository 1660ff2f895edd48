#include "zr_membership/drain_rules.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

// Guards against new work on a leaving endpoint because a lenient source hides
// a stricter one.
TEST_CASE("The strictest source decides") {
  EndpointInfo endpoint;
  endpoint.endpoint = EndpointId("e1");
  endpoint.domain = DomainId("d1");
  // Tries every combination of sources; adding a source must never make the
  // state less strict.
  for (int mask = 0; mask < 128; ++mask) {
    const auto decide = [&](int bits) {
      EndpointSignals signals;
      signals.reported = (bits & 1) == 0;
      signals.reported_leaving = (bits & 2) != 0;
      signals.listed_leaving = (bits & 4) != 0;
      signals.consecutive_failures = (bits & 8) != 0 ? 3 : 0;
      signals.missed_reports = (bits & 16) != 0 ? 5 : 0;
      Drains drains = {{DrainKind::kVm, "e1"}, {DrainKind::kDomain, "d2"}};
      if ((bits & 32) != 0) drains.push_back({DrainKind::kEndpoint, "e1"});
      if ((bits & 64) != 0) drains.push_back({DrainKind::kDomain, "d1"});
      return DecideEndpoint(endpoint, signals, drains);
    };
    const DrainDecision decision = decide(mask);
    for (int bit = 0; bit < 7; ++bit) {
      REQUIRE(decision.state >= decide(mask & ~(1 << bit)).state);
    }
    REQUIRE((decision.state == ServiceState::kInService) == (mask == 0));
    REQUIRE((decision.state == ServiceState::kDown) == ((mask & 16) != 0));
    if ((mask & (2 | 4 | 32 | 64)) != 0) {
      REQUIRE(decision.state >= ServiceState::kDraining);
    }
  }
}

}  // namespace
}  // namespace zr
