#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

// Items are "version N" or "route NAME" here.
ConfigPart DecodeItem(const std::string& text) {
  const std::string value = text.substr(text.find(' ') + 1);
  if (text.starts_with("version ")) return ConfigNumber{std::stoll(value)};
  if (!text.starts_with("route ")) return std::monostate();
  Route route;
  route.name = value;
  return route;
}

ConfigDocument::Ptr Document(int64_t version,
                             const std::vector<std::string>& routes) {
  std::vector<std::string> texts = {"version " + std::to_string(version)};
  for (const std::string& route : routes) texts.push_back("route " + route);
  return *ConfigDocument::Create(std::move(texts), &DecodeItem, nullptr);
}

size_t InsertedItems(const DocumentDelta& delta) {
  size_t count = 0;
  for (const auto& piece : delta.pieces) count += piece.inserted.size();
  return count;
}

// Guards against a change that costs each VM the whole configuration.
TEST_CASE("A delta holds what has changed") {
  constexpr int kRoutes = 1850;
  std::vector<std::string> routes;
  routes.reserve(kRoutes);
  for (int i = 0; i < kRoutes; ++i) routes.push_back(std::to_string(i));
  const auto before = Document(1, routes);
  routes[900] = "moved";
  routes.erase(routes.begin() + 7);
  routes.emplace_back("added");
  const auto after = Document(2, routes);
  const DocumentDelta delta = MakeDelta(before.get(), *after);
  REQUIRE(InsertedItems(delta) == 3);
  REQUIRE(delta.pieces.size() < 6);
  const auto applied = ConfigDocument::Apply(before.get(), delta, &DecodeItem);
  REQUIRE(applied);
  SECTION("and leads to the same document") {
    REQUIRE((*applied)->digest() == after->digest());
    REQUIRE((*applied)->Parts().routes == after->Parts().routes);
    REQUIRE((*applied)->version() == 2);
  }
  SECTION("of which only the new items are decoded again") {
    REQUIRE((*applied)->items()[1] == before->items()[1]);
    REQUIRE((*applied)->items().back() != before->items().back());
  }
}

// Guards against a configuration that is pieced together from two versions.
TEST_CASE("A delta applies to its base only") {
  const auto base = Document(1, {"a", "b", "c"});
  const auto other = Document(1, {"a", "b", "d"});
  const auto target = Document(2, {"a", "b", "c", "e"});
  const DocumentDelta delta = MakeDelta(base.get(), *target);
  SECTION("another base is rejected") {
    REQUIRE_FALSE(ConfigDocument::Apply(other.get(), delta, &DecodeItem));
    REQUIRE_FALSE(ConfigDocument::Apply(nullptr, delta, &DecodeItem));
  }
  SECTION("so is a delta that was damaged") {
    DocumentDelta damaged = delta;
    damaged.pieces.back().inserted.back() = "route f";
    REQUIRE_FALSE(ConfigDocument::Apply(base.get(), damaged, &DecodeItem));
  }
  SECTION("so are copies of what the base lacks") {
    for (const DocumentPiece& piece :
         {DocumentPiece{4, 1, {}}, DocumentPiece{0, 5, {}},
          DocumentPiece{1, UINT32_MAX, {}}, DocumentPiece{UINT32_MAX, 1, {}}}) {
      DocumentDelta damaged = delta;
      damaged.pieces = {piece};
      REQUIRE_FALSE(ConfigDocument::Apply(base.get(), damaged, &DecodeItem));
    }
  }
  SECTION("a whole document needs no base") {
    const DocumentDelta whole = MakeDelta(nullptr, *target);
    REQUIRE(whole.base == ConfigDocument::kEmptyDigest);
    REQUIRE((*ConfigDocument::Apply(nullptr, whole, &DecodeItem))->digest() ==
            target->digest());
  }
  SECTION("a document has a version") {
    REQUIRE_FALSE(ConfigDocument::Create({"route a"}, &DecodeItem, nullptr));
    REQUIRE_FALSE(ConfigDocument::Create({}, &DecodeItem, nullptr));
  }
}

// Guards against two VMs with different configurations of one version.
TEST_CASE("VMs that follow deltas in any order have the sender's document") {
  constexpr uint64_t kSeeds = 300;
  constexpr int kSteps = 40;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    ConfigHistory sender;
    std::vector<ConfigDocument::Ptr> sent;
    std::vector<DocumentDelta> in_flight;
    ConfigDocument::Ptr receiver;
    for (int step = 0; step < kSteps; ++step) {
      switch (random.Below(3)) {
        case 0: {
          std::vector<std::string> routes(random.Below(8));
          for (std::string& route : routes) {
            route = std::string(1, static_cast<char>('a' + random.Below(6)));
          }
          sender.Add(Document(static_cast<int64_t>(sent.size()) + 1, routes));
          sent.push_back(sender.newest());
          break;
        }
        case 1:
          if (const auto delta =
                  sender.DeltaFrom(receiver ? receiver->digest()
                                            : ConfigDocument::kEmptyDigest)) {
            in_flight.push_back(*delta);
          }
          break;
        default: {
          if (in_flight.empty()) break;
          // Deltas arrive late, twice, or never.
          const auto& delta = in_flight[random.Below(in_flight.size())];
          const bool whole = delta.base == ConfigDocument::kEmptyDigest;
          const auto applied = ConfigDocument::Apply(
              whole ? nullptr : receiver.get(), delta, &DecodeItem);
          if (applied &&
              (!receiver || (*applied)->version() > receiver->version())) {
            receiver = *applied;
          }
        }
      }
      if (!receiver) continue;
      const auto& original = sent[static_cast<size_t>(receiver->version()) - 1];
      REQUIRE(receiver->digest() == original->digest());
      REQUIRE(receiver->Parts().routes == original->Parts().routes);
      if (sent.back()->version() - receiver->version() >= 16) continue;
      const auto next = sender.DeltaFrom(receiver->digest());
      REQUIRE(next);
      REQUIRE((*ConfigDocument::Apply(receiver.get(), *next, &DecodeItem))
                  ->digest() == sender.digest());
    }
  }
}

}  // namespace
}  // namespace zr
