#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "zr_config/zr_config.h"

namespace zr {
namespace {

std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(ZR_SOURCE_DIR "/" + path, std::ios::binary);
  REQUIRE(file.good());
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string TextBetweenMarkers(const std::string& text,
                               const std::string& name) {
  const std::string begin = "<!-- " + name + " begin -->\n";
  const size_t start = text.find(begin);
  const size_t end = text.find("<!-- " + name + " end -->");
  REQUIRE(start != std::string::npos);
  REQUIRE(end != std::string::npos);
  return text.substr(start + begin.size(), end - start - begin.size());
}

// Guards against examples that the current parsers reject.
TEST_CASE("The examples are valid") {
  const std::string settings = ReadSourceFile("examples/zinniarilld.ini");
  CHECK(JoinProblems(Settings::Check(settings, "zinniarilld.ini")) == "");
  for (const char* name :
       {"examples/kontrollkontor.ini", "examples/ordvakt.ini"}) {
    const std::string document = ReadSourceFile(name);
    CHECK(JoinProblems(Environment::Check(document, name)) == "");
    auto environment = Environment::Parse(document);
    REQUIRE(environment.has_value());
    INFO(name);
    // Each example has a non-repeatable class and a key for each team.
    bool has_non_repeatable = false;
    for (const auto& [id, policy] : environment->classes()) {
      has_non_repeatable = has_non_repeatable || !policy.repeatable;
    }
    CHECK(has_non_repeatable);
    for (const auto& [id, team] : environment->teams()) {
      CHECK(environment->TeamForKeyDigest(
                KeyDigest("example-key-" + id.value())) != nullptr);
    }
  }
}

// Guards against a reference page that differs from what the parsers accept.
TEST_CASE("The operators' page holds the current reference") {
  const std::string page = ReadSourceFile("docs/operators.md");
  CHECK(TextBetweenMarkers(page, "settings-reference") ==
        Settings::Reference());
  CHECK(TextBetweenMarkers(page, "document-reference") ==
        Environment::Reference());
  for (size_t i = 0; i < kInvariantCount; ++i) {
    const std::string row =
        "| `" + std::string(ToString(static_cast<Invariant>(i))) + "` |";
    CHECK_THAT(page, Catch::Contains(row));
  }
}

}  // namespace
}  // namespace zr
