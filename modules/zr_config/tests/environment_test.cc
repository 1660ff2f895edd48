#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "zr_config/zr_config.h"

namespace zr {
namespace {

std::string Document() {
  return "[environment]\n"
         "name = kontrollkontor\n"
         "[pool assay]\n"
         "model = assay-reader\n"
         "[pool register]\n"
         "kind = service\n"
         "[class lookup]\n"
         "deadline_ms = 2000\n"
         "[class registration]\n"
         "repeatable = false\n"
         "[team customs]\n"
         "classes = lookup, registration\n"
         "key_digests = " +
         KeyDigest("customs-key") + "\n";
}

std::string Message(const std::string& text) {
  auto environment = Environment::Parse(text);
  REQUIRE_FALSE(environment.has_value());
  return environment.error().message;
}

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  REQUIRE(text.find(from) != std::string::npos);
  return text.replace(text.find(from), from.size(), to);
}

// Guards against keys and models that resolve to the wrong team or pool.
TEST_CASE("An environment document") {
  auto environment = Environment::Parse(Document());
  REQUIRE(environment.has_value());
  SECTION("resolves models, classes and keys") {
    REQUIRE(environment->FindPoolByModel("assay-reader") != nullptr);
    CHECK(environment->FindPoolByModel("assay-reader")->pool ==
          PoolId("assay"));
    CHECK(environment->FindPoolByModel("") == nullptr);
    REQUIRE(environment->TeamForKeyDigest(KeyDigest("customs-key")) != nullptr);
    CHECK(environment->TeamForKeyDigest(KeyDigest("customs-key"))->team ==
          TeamId("customs"));
    CHECK(environment->TeamForKeyDigest(KeyDigest("other")) == nullptr);
    CHECK(environment->FindClass(ClassId("lookup"))->deadline ==
          Duration::Seconds(2));
  }
  SECTION("gives keys that are not set the defaults of the policy types") {
    PoolPolicy pool;
    pool.pool = PoolId("assay");
    pool.model = "assay-reader";
    CHECK(*environment->FindPool(PoolId("assay")) == pool);
    ClassPolicy policy;
    policy.name = ClassId("registration");
    policy.repeatable = false;
    CHECK(*environment->FindClass(ClassId("registration")) == policy);
    CHECK(environment->FindTeam(TeamId("customs"))->share ==
          TeamPolicy().share);
  }
  SECTION("has the digest that sha256sum prints") {
    CHECK(DocumentDigest("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  }
}

// Guards against documents that are accepted but fail once requests arrive.
TEST_CASE("An inconsistent document is rejected with the line number") {
  const std::string text = Document();
  CHECK_THAT(
      Message(Replaced(text, "classes = lookup,", "classes = lookup, audit,")),
      Catch::Equals("line 12: [team customs] classes: there is no section "
                    "[class audit]"));
  CHECK_THAT(
      Message(Replaced(text, "lookup, registration", "registration, lookup")),
      Catch::Contains("list a repeatable class first"));
  CHECK_THAT(Message(text + "[team b]\nclasses = lookup\nkey_digests = " +
                     KeyDigest("customs-key") + "\n"),
             Catch::Contains("a key belongs to one team"));
  CHECK_THAT(Message(text + "[pool c]\nmodel = assay-reader\n"),
             Catch::Contains("a model belongs to one pool"));
  CHECK_THAT(Message(text + "[pool c]\n"),
             Catch::Contains("line 14: [pool c] model: is missing"));
  CHECK_THAT(
      Message(text + "[pool c]\nkind = service\nlong_prompt_tokens = 5\n"),
      Catch::Contains("only with kind = model"));
  CHECK_THAT(
      Message(text + "[pool c]\nmodel = m\nlong_prompt_tokens = 200000\n"),
      Catch::Contains("no long prompt could start"));
  CHECK_THAT(
      Message(text + "[pool c]\nmodel = m\nmax_requests = 2\n"),
      Catch::Contains("fresh_requests: 4 is more than max_requests = 2"));
  CHECK_THAT(
      Message(text +
              "[class c]\nmin_prompt_tokens = 9\nmax_prompt_tokens = 8\n"),
      Catch::Contains("is more than max_prompt_tokens = 8"));
  CHECK_THAT(Message(text + "[class c]\ndeadline_s = 9\n"),
             Catch::Contains("did you mean deadline_ms (ms)?"));
  CHECK_THAT(Message(text + "[drain zone sala]\n"),
             Catch::Contains("[drain domain NAME]"));
  CHECK_THAT(Message(text + "[drain vm a]\nsince = 1\n"),
             Catch::Contains("no keys"));
  CHECK_THAT(Message(text + "[drain vm a]\n[drain  vm a]\n"),
             Catch::Contains("repeats line 14"));
  CHECK_THAT(Message("[class a]\n"),
             Catch::Contains("[environment] the section is missing"));
}

// Guards against a drain that reformats the operators' document or drains the
// wrong object.
TEST_CASE("A drain") {
  const std::string text = Document() + "; last line, without a line end";
  const Drain domain{DrainKind::kDomain, "sala"};
  auto drained = AddDrain(text, domain);
  REQUIRE(drained.has_value());
  CHECK(*drained == text + "\n[drain domain sala]\n");
  auto environment = Environment::Parse(*drained);
  REQUIRE(environment.has_value());
  CHECK(environment->IsDrained(DomainId("sala"), VmId(), EndpointId()));
  CHECK_FALSE(environment->IsDrained(DomainId("arboga"), VmId("sala"),
                                     EndpointId("sala")));
  SECTION("can be added twice with the same result") {
    CHECK(*AddDrain(*drained, domain) == *drained);
  }
  SECTION("is removed without touching any other byte") {
    auto both = AddDrain(*drained, Drain{DrainKind::kVm, std::string(64, 'v')});
    REQUIRE(both.has_value());
    CHECK(*RemoveDrain(*both, domain) ==
          text + "\n[drain vm " + std::string(64, 'v') + "]\n");
    CHECK(*RemoveDrain(*drained, domain) == text + "\n");
    CHECK(*RemoveDrain(text, domain) == text);
  }
  SECTION(
      "with a name that would change the document's structure is rejected") {
    CHECK_FALSE(
        AddDrain(text, Drain{DrainKind::kVm, "a]\n[team x"}).has_value());
    CHECK_FALSE(AddDrain(text, Drain{DrainKind::kVm, ""}).has_value());
  }
}

// Guards against a trial that hides a change or reports one without effect.
TEST_CASE("A diff lists what differs in effect") {
  auto from = Environment::Parse(Document() + "[drain vm a]\n");
  auto to = Environment::Parse(Replaced(Document(), "2000", "3000 ; slower") +
                               "share = 1\n[class c]\nweight = 7\n");
  REQUIRE(from.has_value());
  REQUIRE(to.has_value());
  std::string text;
  for (const Change& change : Diff(*from, *to)) {
    text += change.ToString() + "\n";
  }
  CHECK(text ==
        "~ [class lookup] deadline_ms: 2000 -> 3000\n"
        "- [drain vm a]\n"
        "+ [class c]\n"
        "+ [class c] weight = 7\n");
  CHECK(Diff(*from, *from).empty());
}

// Guards against a parser that crashes or loops on corrupted text.
TEST_CASE("Corrupted documents never parse to an inconsistent environment") {
  const char* from_environment = std::getenv("ZR_SEED");
  const uint64_t seed =
      from_environment == nullptr ? 20'240'611 : std::stoull(from_environment);
  INFO("ZR_SEED=" << seed);
  Random random(seed);
  const std::string alphabet("[]=;#, \n\t\rabc_0189\0drain", 24);
  for (int round = 0; round < 3000; ++round) {
    std::string text = Document();
    for (uint64_t edits = 1 + random.Below(4); edits > 0; --edits) {
      text[random.Below(text.size())] = alphabet[random.Below(alphabet.size())];
    }
    auto environment = Environment::Parse(text);
    REQUIRE(environment.has_value() == Environment::Check(text).empty());
    if (!environment) continue;
    for (const auto& [id, team] : environment->teams()) {
      for (const ClassId& name : team.classes) {
        REQUIRE(environment->FindClass(name) != nullptr);
      }
    }
    auto drained = AddDrain(text, Drain{DrainKind::kVm, "x"});
    REQUIRE(drained.has_value());
    REQUIRE(Environment::Parse(*drained).has_value());
  }
}

}  // namespace
}  // namespace zr
