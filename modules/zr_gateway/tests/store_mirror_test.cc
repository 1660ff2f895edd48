#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }
ObjectVersion V(uint64_t version) { return ObjectVersion(version); }
StorePosition P(uint64_t version, uint64_t era = 1) {
  return {StoreEra(era), V(version)};
}

RelayedObject Object(const std::string& name, uint64_t version,
                     const std::string& value = "x") {
  return {name, V(version), value, false};
}

RelayedObject Removed(const std::string& name, uint64_t version) {
  return {name, V(version), "", true};
}

// Guards against a VM that misses a change, in particular a removal, because it
// queried another VM instead of the store.
TEST_CASE("A VM relays changes in the store to other VMs") {
  StoreMirror mirror("endpoints", false);
  const auto update_since = [&mirror](int64_t ms, uint64_t known) {
    return mirror.UpdateSince(At(ms),
                              {"endpoints", V(known), false, StoreEra(1)});
  };
  mirror.OnStoreReachable(true);
  mirror.OnList(P(100), {Object("a", 10), Object("b", 90)});
  mirror.OnVerified(At(1000), P(100));

  SECTION("no change") {
    const KindUpdate update = update_since(1500, 100);
    REQUIRE(ClassifyUpdate(update, P(100)) == UpdateAction::kUnchanged);
    REQUIRE(update.age == Duration::Milliseconds(500));
    REQUIRE(update.objects.empty());
  }
  SECTION("a VM older than the list gets all, as removals may be missing") {
    const KindUpdate update = update_since(1500, 95);
    REQUIRE(ClassifyUpdate(update, P(95)) == UpdateAction::kApply);
    REQUIRE(update.complete);
    REQUIRE(update.objects.size() == 2);
  }
  SECTION("a change and a removal are relayed to VMs that lack them") {
    REQUIRE(mirror.OnChanges(P(110), {Object("c", 105)}));
    REQUIRE(mirror.OnChanges(P(120), {Removed("a", 10)}));
    mirror.OnVerified(At(2000), P(125));
    const KindUpdate all = update_since(2000, 100);
    REQUIRE_FALSE(all.complete);
    REQUIRE(all.objects.size() == 2);
    const KindUpdate newer = update_since(2000, 110);
    REQUIRE(newer.objects == std::vector{Removed("a", 10)});
    REQUIRE(newer.version == V(125));
    REQUIRE(ClassifyUpdate(update_since(2000, 120), P(120)) ==
            UpdateAction::kUnchanged);
    SECTION("a change between two store versions is sent again") {
      // The requester knows 107. The change is recorded with 110, so the mirror
      // can't tell whether it is included.
      REQUIRE(update_since(2000, 107).objects.size() == 2);
    }
  }
  SECTION("a requester with a newer version gets no changes") {
    REQUIRE(ClassifyUpdate(update_since(1500, 300), P(300)) ==
            UpdateAction::kUnchanged);
  }
  SECTION("large changes are read from the store") {
    REQUIRE(
        mirror.OnChanges(P(110), {Object("c", 105, std::string(60'000, 'x'))}));
    const KindUpdate update = update_since(1500, 100);
    REQUIRE(ClassifyUpdate(update, P(100)) == UpdateAction::kFetch);
    REQUIRE(update.objects.empty());
  }
  SECTION("so are those of a document, unless a delta holds them") {
    StoreMirror config("config", true);
    config.OnStoreReachable(true);
    config.OnList(P(5), {Object("main", 5)});
    config.OnVerified(At(1000), P(5));
    REQUIRE(ClassifyUpdate(config.UpdateSince(
                               At(1000), {"config", V(4), false, StoreEra(1)}),
                           P(4)) == UpdateAction::kFetch);
    KindUpdate update =
        config.UpdateSince(At(1000), {"config", V(4), true, StoreEra(1)});
    REQUIRE(ClassifyUpdate(update, P(4)) == UpdateAction::kFetch);
    SECTION("whether the requester reaches the store or not") {
      update.deltas.emplace_back();
      REQUIRE(ClassifyUpdate(update, P(4)) == UpdateAction::kApplyDelta);
      REQUIRE(ClassifyUpdate(update, P(3, 0)) == UpdateAction::kApplyDelta);
      REQUIRE(ClassifyUpdate(update, P(5)) == UpdateAction::kUnchanged);
      REQUIRE(ClassifyUpdate(update, P(1, 2)) == UpdateAction::kIgnore);
    }
  }
  SECTION("updates that were verified too long ago are ignored") {
    REQUIRE(ClassifyUpdate(update_since(6000, 100), P(100)) ==
            UpdateAction::kIgnore);
  }
  SECTION("updates of a VM that can't reach the store are ignored") {
    mirror.OnStoreReachable(false);
    REQUIRE(ClassifyUpdate(update_since(1500, 100), P(100)) ==
            UpdateAction::kIgnore);
  }
  SECTION("a reply older than a relayed update is dropped") {
    REQUIRE(mirror.OnChanges(P(120), {Removed("a", 10)}));
    REQUIRE_FALSE(mirror.OnChanges(P(110), {Object("a", 108)}));
    REQUIRE(update_since(1500, 100).objects == std::vector{Removed("a", 10)});
  }
  SECTION("the store comes back from an older copy") {
    // Its versions are lower than before, and are given out again.
    mirror.OnList(P(60, 2), {Object("a", 10), Object("c", 60)});
    mirror.OnVerified(At(2000), P(60, 2));
    SECTION("a VM of the era before gets all, whatever its version") {
      for (const uint64_t known : {50, 60, 100}) {
        const KindUpdate update = update_since(2000, known);
        REQUIRE(ClassifyUpdate(update, P(known)) == UpdateAction::kApply);
        REQUIRE(update.complete);
        REQUIRE(update.objects.size() == 2);
      }
    }
    SECTION("answers of the era before change nothing") {
      REQUIRE_FALSE(mirror.OnChanges(P(130), {Object("d", 130)}));
      REQUIRE(update_since(2000, 100).objects.size() == 2);
    }
    SECTION("a VM of the new era takes no update of the one before") {
      StoreMirror before("endpoints", false);
      before.OnStoreReachable(true);
      before.OnList(P(100), {Object("a", 10)});
      before.OnVerified(At(1900), P(100));
      const KindUpdate update = before.UpdateSince(
          At(2000), {"endpoints", V(60), false, StoreEra(2)});
      REQUIRE(ClassifyUpdate(update, P(60, 2)) == UpdateAction::kIgnore);
    }
  }
  SECTION("tombstones of removed objects do not accumulate") {
    uint64_t version = 200;
    for (int i = 0; i < 10'000; ++i) {
      REQUIRE(mirror.OnChanges(P(++version),
                               {Removed("r" + std::to_string(i), 1)}));
    }
    const KindUpdate update = update_since(1500, 150);
    REQUIRE(update.complete);
    REQUIRE(update.objects.size() == 2);
  }
}

}  // namespace
}  // namespace zr
