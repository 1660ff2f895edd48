#include "zr_gateway_host/suspect_exchange.h"

#include <catch2/catch.hpp>
#include <vector>

namespace zr {
namespace {

constexpr TimePoint kStart = TimePoint::FromMicroseconds(1'000'000'000);
const EndpointId kEndpoint("i-0001");
const Fingerprint kDeadly(2);

TimePoint At(int64_t ms) { return kStart + Duration::Milliseconds(ms); }

struct Fixture {
  std::vector<CrashEvidence> Exchange(int64_t ms) {
    std::vector<CrashEvidence> sent;
    exchange.Exchange(At(ms), false, 1, [&sent](const Message& message) {
      sent.push_back(std::get<CrashEvidence>(message));
    });
    return sent;
  }
  void TellCrash(int64_t ms, int64_t age_ms) {
    exchange.OnEvidence(At(ms), VmId("vm-2"),
                        {{{kEndpoint,
                           BootNumber(),
                           Duration::Milliseconds(age_ms),
                           {{Fingerprint(9), CrashSuspect::kWholeRequest}}}},
                         {},
                         {}});
  }

  Metrics metrics;
  GatewayState state{GatewaySettings{}, metrics};
  SuspectExchange exchange{state};
};

// Guards against sound requests that are blamed since the deadly call was
// ended.
TEST_CASE("A cancelled call is a suspect if its endpoint crashes soon after") {
  Fixture fixture;
  fixture.exchange.OnCallCancelled(At(0), RequestId("r"), kEndpoint,
                                   {{kDeadly, 0}});
  REQUIRE(fixture.Exchange(40).empty());
  SECTION("as another VM tells") {
    fixture.TellCrash(100, 90);
    const auto sent = fixture.Exchange(140);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].crashes.size() == 1);
    REQUIRE(sent[0].crashes[0].suspects ==
            std::vector<CrashSuspect>{{kDeadly, 0}});
    REQUIRE(sent[0].crashes[0].age == Duration::Milliseconds(130));
    SECTION("once") { REQUIRE(fixture.Exchange(200).empty()); }
  }
  SECTION("but not if the crash is later") {
    fixture.TellCrash(700, 50);
    REQUIRE(fixture.Exchange(740).empty());
  }
  SECTION("and is forgotten without a crash") {
    REQUIRE(fixture.Exchange(1100).empty());
    fixture.TellCrash(1200, 1190);
    REQUIRE(fixture.Exchange(1240).empty());
  }
}

}  // namespace
}  // namespace zr
