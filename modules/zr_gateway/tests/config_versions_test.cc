#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

using NoticeAction = ConfigVersions::NoticeAction;

TimePoint At(int64_t ms) {
  return TimePoint::FromMicroseconds(1'000'000'000 + ms * 1000);
}

// Guards against revoked keys and 404s while a store lacks what it confirmed.
TEST_CASE("The store proves nothing while it may lack a configuration") {
  ConfigVersions versions;
  REQUIRE_FALSE(versions.EvidenceCounts(At(0)));
  versions.OnStored(11);
  versions.OnInForce(At(0), 11);
  SECTION("a VM that starts waits for the version of another") {
    REQUIRE_FALSE(versions.EvidenceCounts(At(10)));
    SECTION("which is no newer") {
      REQUIRE(versions.OnNotice(At(10), 11) == NoticeAction::kNone);
      REQUIRE(versions.EvidenceCounts(At(10)));
    }
    SECTION("which is older") {
      REQUIRE(versions.OnNotice(At(10), 0) == NoticeAction::kNotify);
      REQUIRE(versions.EvidenceCounts(At(10)));
    }
    SECTION("which does not come") {
      REQUIRE_FALSE(versions.EvidenceCounts(At(900)));
      REQUIRE(versions.EvidenceCounts(At(1000)));
    }
    SECTION("unless there is no other") {
      versions.OnAlone();
      REQUIRE(versions.EvidenceCounts(At(10)));
    }
    SECTION("which is newer, so that it gets that one first") {
      REQUIRE(versions.OnNotice(At(10), 15) == NoticeAction::kFetch);
      REQUIRE_FALSE(versions.EvidenceCounts(At(2000)));
      versions.OnInForce(At(2000), 15);
      REQUIRE(versions.EvidenceCounts(At(2000)));
      REQUIRE(versions.OnNotice(At(2010), 16) == NoticeAction::kFetch);
      REQUIRE(versions.OnNotice(At(2020), 16) == NoticeAction::kNone);
      REQUIRE(versions.OnNotice(At(2600), 16) == NoticeAction::kFetch);
      versions.OnInForce(At(2600), 16);
      SECTION("though other VMs are behind") {
        REQUIRE(versions.OnNotice(At(2700), 11) == NoticeAction::kNotify);
        REQUIRE(versions.EvidenceCounts(At(2700)));
      }
    }
    SECTION("which is newer, but never comes") {
      versions.OnNotice(At(10), 15);
      versions.OnNotice(At(4000), 15);
      REQUIRE_FALSE(versions.EvidenceCounts(At(4900)));
      REQUIRE(versions.EvidenceCounts(At(5100)));
    }
  }
  SECTION("the store comes back with an older version than is in force") {
    versions.OnNotice(At(10), 11);
    versions.OnStored(15);
    versions.OnInForce(At(500), 15);
    versions.OnStoreRestored(At(1000));
    versions.OnStored(11);
    REQUIRE_FALSE(versions.EvidenceCounts(At(1000)));
    SECTION("until the operator has written again") {
      versions.OnStored(15);
      REQUIRE(versions.EvidenceCounts(At(1500)));
    }
    SECTION("or would have") {
      REQUIRE_FALSE(versions.EvidenceCounts(At(3200)));
      REQUIRE(versions.EvidenceCounts(At(3300)));
    }
  }
}

}  // namespace
}  // namespace zr
