#include <catch2/catch.hpp>
#include <string>

#include "zr_config/zr_config.h"

namespace zr {
namespace {

const char kMinimal[] =
    "[vm]\n"
    "name = sala-1\n"
    "domain = sala\n"
    "[listen]\n"
    "peers = 10.0.0.7:8082\n"
    "[peers]\n"
    "key = 0123456789abcdef\n"
    "[operators]\n"
    "token = fedcba9876543210\n"
    "[platform]\n"
    "address = 10.0.0.1:9000\n";

std::string Message(const std::string& text) {
  auto settings = Settings::Parse(text, "a.ini");
  REQUIRE_FALSE(settings.has_value());
  REQUIRE(settings.error().code == ErrorCode::kInvalidArgument);
  return settings.error().message;
}

// Guards against a daemon that starts with settings other than those written.
TEST_CASE("Settings") {
  SECTION("get the documented default for each key that is not given") {
    auto settings = Settings::Parse(kMinimal, "a.ini");
    REQUIRE(settings.has_value());
    CHECK(settings->region == "main");
    CHECK(settings->caller_listener == Address{"0.0.0.0", 8080});
    CHECK(settings->platform_request_timeout == Duration::Seconds(2));
    CHECK(settings->routing_policy == RoutingPolicy::kGrants);
    CHECK(settings->peer_seeds.empty());
  }
  SECTION("join a list over indented lines and ignore comments") {
    auto settings =
        Settings::Parse(std::string(kMinimal) +
                            "[log]\nformat = json ; for the collector\n"
                            "[limits]\n# few cores\nworker_threads = 4\n",
                        "a.ini");
    REQUIRE(settings.has_value());
    CHECK(settings->log_format == LogFormat::kJson);
    CHECK(settings->worker_threads == 4);
    std::string text = kMinimal;
    text.replace(text.find("[operators]"), 0,
                 "seeds = 10.0.0.8:8082,\n  10.0.0.9:8082\n");
    settings = Settings::Parse(text, "a.ini");
    REQUIRE(settings.has_value());
    CHECK(settings->peer_seeds ==
          std::vector<Address>{{"10.0.0.8", 8082}, {"10.0.0.9", 8082}});
  }
  SECTION("list all problems with file, line, key and what is allowed") {
    const std::string message = Message(std::string(kMinimal) +
                                        "request_timeout_s = 2\n"
                                        "reads_per_second = 0\n"
                                        "[log]\nlevel = loud\n[logs]\n");
    CHECK(message ==
          "a.ini:12: [platform] request_timeout_s: unknown key; did you mean "
          "request_timeout_ms "
          "(ms)?\n"
          "a.ini:13: [platform] reads_per_second: '0' is not allowed; allowed: "
          "integer from 1 to "
          "2000 calls/s\n"
          "a.ini:15: [log] level: 'loud' is not allowed; allowed: debug or "
          "info or warning or "
          "error\n"
          "a.ini:16: [logs] unknown section; allowed: vm, listen, peers, "
          "operators, platform, "
          "routing, limits, log");
  }
}

// Guards against listener conflicts that show only when the daemon starts.
TEST_CASE("Conflicting listeners are rejected") {
  std::string text = kMinimal;
  text.replace(text.find("peers = "), 0, "callers = 0.0.0.0:8082\n");
  CHECK_THAT(
      Message(text),
      Catch::Contains(
          "a.ini:6: [listen] peers: 10.0.0.7:8082 clashes with callers"));
}

// Guards against secrets that reach a log through an error message.
TEST_CASE("A message about a secret does not show it") {
  std::string text = kMinimal;
  text.replace(text.find("0123456789abcdef"), 16, "hunter2");
  const std::string message = Message(text);
  CHECK_THAT(message, Catch::Contains("[peers] key: the value is not allowed"));
  CHECK_THAT(message, !Catch::Contains("hunter2"));
}

// Guards against text that inih drops or truncates without an error.
TEST_CASE("Lines that cannot be parsed exactly are rejected") {
  const std::string text = kMinimal;
  CHECK_THAT(Message(text + "reads_per_second\n"),
             Catch::Contains("a.ini:12: [platform] the line"));
  CHECK_THAT(Message(text + "  [log]\n"), Catch::Contains("first column"));
  CHECK_THAT(Message(text + "[log\n"), Catch::Contains("form [NAME]"));
  CHECK_THAT(Message(text + "[log] level = info\n"),
             Catch::Contains("form [NAME]"));
  CHECK_THAT(Message(text + "# x\n[" + std::string(60, 'a') + "]\n"),
             Catch::Contains("a.ini:13:"));
  CHECK_THAT(Message(text + "[log]\nlevel = " + std::string(200, 'a') + "\n"),
             Catch::Contains("longer than 190 bytes"));
  CHECK_THAT(Message(text + std::string("[log]\nlevel = info\0x\n", 20)),
             Catch::Contains("control character"));
  CHECK_THAT(Message(text + "[vm]\nname = sala-2\n"),
             Catch::Contains("repeats line 1"));
  CHECK_THAT(Message(text + "address = 10.0.0.2:9000\n"),
             Catch::Contains("repeats line 11"));
  CHECK_THAT(Message("x = 1\n"), Catch::Contains("outside of any section"));
  CHECK_THAT(Message(text + "reads_per_second = 99999999999999999999\n"),
             Catch::Contains("integer from 1 to 2000"));
}

}  // namespace
}  // namespace zr
