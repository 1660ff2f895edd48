#include "zinniarillctl/commands.h"

#include <catch2/catch.hpp>
#include <functional>
#include <sstream>

namespace zr {
namespace {

using nlohmann::json;

const char kOld[] =
    "[environment]\nname = a\n[class lookup]\ndeadline_ms = 2000\n";
const char kNew[] =
    "[environment]\nname = a\n[class lookup]\ndeadline_ms = 3000\n";

/** A daemon's operator port without a socket. */
class FakeDaemon : public Transport {
 public:
  Result<HttpReply> Send(const HttpCall& call) override {
    calls.push_back(call.method + " " + call.path);
    if (call.method == "GET" && call.path == "/v1/config") {
      return HttpReply{200, json{{"version", version},
                                 {"digest", DocumentDigest(document)},
                                 {"author", author},
                                 {"time", "12:00"},
                                 {"document", document}}
                                .dump()};
    }
    if (call.path == "/v1/status") return Status();
    if (call.path.starts_with("/v1/explain")) return explanation;
    if (call.path == "/v1/config/trial") {
      return HttpReply{200, json{{"digest", DocumentDigest(call.body)},
                                 {"changes", json::array()}}
                                .dump()};
    }
    if (before_write) before_write();
    return Write(call);
  }

  std::string document = kOld;
  std::string author = "ada";
  int64_t version = 7;
  HttpReply explanation;
  int lost_answers = 0;  // writes that take effect and whose answer is lost
  int lost_calls = 0;    // writes that are lost on the way
  int polls_until_in_force = 0;
  std::function<void()> before_write;
  std::vector<std::string> calls;

 private:
  Result<HttpReply> Status() {
    const bool in_force = polls_until_in_force-- <= 0;
    const json lagging = in_force ? json::array() : json{"vm3"};
    return HttpReply{200, json{{"config",
                                {{"version", version},
                                 {"in_force", in_force},
                                 {"lagging", lagging},
                                 {"silent", json::array()}}}}
                              .dump()};
  }

  Result<HttpReply> Write(const HttpCall& call) {
    const tl::unexpected<Error> lost =
        Fail(ErrorCode::kUnknownOutcome, "call", "", "connection reset");
    if (lost_calls-- > 0) return lost;
    for (const auto& [name, value] : call.headers) {
      if (name != "If-Match" || value == std::to_string(version)) continue;
      return HttpReply{
          412,
          json{{"conflict",
                {{"version", version}, {"author", author}, {"time", "12:00"}}}}
              .dump()};
    }
    if (call.path == "/v1/config") {
      document = call.body;
    } else {
      const Drain drain{DrainKind::kDomain,
                        call.path.substr(call.path.rfind('/') + 1)};
      document = *(call.method == "PUT" ? AddDrain(document, drain)
                                        : RemoveDrain(document, drain));
    }
    ++version;
    if (lost_answers-- > 0) return lost;
    return HttpReply{
        200, json{{"version", version}, {"digest", DocumentDigest(document)}}
                 .dump()};
  }
};

struct Fixture {
  ExitCode Run(const std::vector<std::string>& words) {
    options.timeout = Duration::Seconds(6);
    options.author = "bo";
    out.str("");
    err.str("");
    auto read = [&](const std::string&) -> Result<std::string> { return file; };
    return Commands(CommandEnvironment{daemon, read, [&] { return time; },
                                       [&](Duration d) { time = time + d; },
                                       out, err},
                    options)
        .Run(words);
  }

  FakeDaemon daemon;
  CommandOptions options;
  std::string file = kNew;
  TimePoint time;
  std::ostringstream out;
  std::ostringstream err;
};

// Guards against bytes in production that differ from those of the trial.
TEST_CASE_METHOD(Fixture, "A promotion sends only the bytes of the trial") {
  REQUIRE(Run({"trial", "f"}) == ExitCode::kDone);
  options.digest = DocumentDigest(kNew);
  CHECK_THAT(out.str(), Catch::Contains(options.digest));
  SECTION("and refuses a file that was edited since") {
    file += "; one more comment\n";
    daemon.calls.clear();
    CHECK(Run({"promote", "f"}) == ExitCode::kInvalid);
    CHECK(daemon.calls.empty());
  }
  SECTION("and writes the same file unchanged") {
    CHECK(Run({"promote", "f"}) == ExitCode::kDone);
    CHECK(daemon.document == kNew);
    SECTION("once, however often it is called") {
      CHECK(Run({"promote", "f"}) == ExitCode::kDone);
      CHECK(daemon.version == 8);
      CHECK_THAT(out.str(), Catch::Contains("already in place as version 8"));
    }
  }
}

// Guards against an operator who overwrites another's change without noticing.
TEST_CASE_METHOD(Fixture, "A change that raced another one reports it") {
  daemon.before_write = [&] {
    daemon.version = 9;
    daemon.author = "cy";
  };
  CHECK(Run({"apply", "f"}) == ExitCode::kConflict);
  CHECK_THAT(err.str(), Catch::Contains("version 9 by cy at 12:00"));
  CHECK(daemon.document == kOld);
  SECTION("but a drain, which depends on no other change, is tried again") {
    int conflicts = 2;
    daemon.before_write = [&] {
      if (conflicts-- > 0) ++daemon.version;
    };
    CHECK(Run({"drain", "domain", "sala"}) == ExitCode::kDone);
    CHECK_THAT(daemon.document, Catch::EndsWith("[drain domain sala]\n"));
    CHECK(Run({"undrain", "domain", "sala"}) == ExitCode::kDone);
    CHECK(daemon.document == kOld);
  }
  SECTION("and a stale base version is a conflict as well") {
    options.base_version = 3;
    CHECK(Run({"drain", "domain", "sala"}) == ExitCode::kConflict);
  }
}

// Guards against a lost answer that is reported as a failure or as a success.
TEST_CASE_METHOD(Fixture,
                 "A write whose answer is lost is resolved by reading") {
  SECTION("as written if the document is in place") {
    daemon.lost_answers = 1;
    CHECK(Run({"apply", "f"}) == ExitCode::kDone);
    CHECK_THAT(out.str(), Catch::Contains("version 8"));
    daemon.lost_answers = 1;
    CHECK(Run({"drain", "domain", "sala"}) == ExitCode::kDone);
    CHECK_THAT(out.str(), Catch::Contains("version 9"));
  }
  SECTION("as unknown if it is not") {
    daemon.lost_calls = 1;
    CHECK(Run({"apply", "f"}) == ExitCode::kFailed);
    CHECK_THAT(err.str(), Catch::Contains("the outcome is unknown"));
    CHECK_THAT(err.str(), Catch::Contains("in place is version 7 by ada"));
  }
}

// Guards against a change that is called accepted while a VM still lacks it.
TEST_CASE_METHOD(Fixture, "Waiting for a change") {
  options.wait = true;
  SECTION("ends when every VM has it") {
    daemon.polls_until_in_force = 3;
    CHECK(Run({"apply", "f"}) == ExitCode::kDone);
    CHECK(out.str() == "version 8 is in force\n");
  }
  SECTION("names the VMs that lag when the time is up") {
    daemon.polls_until_in_force = 1'000'000;
    CHECK(Run({"apply", "f"}) == ExitCode::kNotInForce);
    CHECK_THAT(out.str(), Catch::Contains("not yet in force; lagging: vm3"));
    options.json = true;
    CHECK(Run({"apply", "f"}) == ExitCode::kNotInForce);
    CHECK(json::parse(out.str()).at("lagging") == json{"vm3"});
  }
}

// Guards against an explanation that hides why an endpoint was passed over, or
// that its information is old, and against bad input that looks like a failure.
TEST_CASE_METHOD(Fixture, "explain shows where a request would go") {
  options.description = {{"route", "chat/1"}, {"tokens", "4960"}};
  daemon.explanation = {
      200, json{{"vm", "vm1"},
                {"information", {{"is_old", true}}},
                {"admission", {{"decision", "admit"}, {"reason", ""}}},
                {"services",
                 {{{"service", "pool"},
                   {"decision", "place"},
                   {"reason", "meets its objectives"},
                   {"endpoints",
                    {{{"endpoint", "e1"},
                      {"domain", "sala"},
                      {"chosen", false},
                      {"values", {{"calls", 3}}},
                      {"reason", "is draining"}}}}}}}}
               .dump()};
  SECTION("as text") {
    CHECK(Run({"explain"}) == ExitCode::kDone);
    CHECK(daemon.calls.back() == "GET /v1/explain?route=chat%2F1&tokens=4960");
    CHECK_THAT(out.str(), Catch::Contains("information is old"));
    CHECK_THAT(out.str(), Catch::Contains("e1") &&
                              Catch::Contains("is draining  calls=3"));
  }
  SECTION("as JSON") {
    options.json = true;
    CHECK(Run({"explain"}) == ExitCode::kDone);
    CHECK(json::parse(out.str()) == json::parse(daemon.explanation.body));
  }
  SECTION("and bad input names the field") {
    daemon.explanation = {
        400, R"({"error": {"message": "team: no team has the name 'x'"}})"};
    CHECK(Run({"explain"}) == ExitCode::kInvalid);
    CHECK(err.str() == "zinniarillctl: team: no team has the name 'x'\n");
  }
  SECTION("and a process that does not serve operators is a failure") {
    daemon.explanation = {404, ""};
    CHECK(Run({"explain"}) == ExitCode::kFailed);
  }
}

// Guards against lines of other requests, or out of order, in the history of a
// request.
TEST_CASE_METHOD(Fixture, "explain tells from logs what was decided") {
  file =
      "Dec 06 vm2 entry[7]: {\"time\":12.5,\"vm\":\"vm2\",\"event\":"
      "\"finished\",\"request\":\"id-1\",\"late_by\":\"wait\"}\n"
      "no JSON id-1\n{\"time\":broken id-1\n"
      "{\"time\":12.0,\"vm\":\"vm1\",\"event\":\"placed\",\"request\":"
      "\"id-1\",\"endpoint\":\"e1\"}\n"
      "{\"time\":11.0,\"vm\":\"vm1\",\"event\":\"placed\",\"request\":"
      "\"id-12\",\"endpoint\":\"e2\"}\n";
  SECTION("as text") {
    CHECK(Run({"explain", "id-1", "log"}) == ExitCode::kDone);
    const std::string text = out.str();
    CHECK_THAT(text, Catch::Contains("0.0 ms  vm1  placed") &&
                         Catch::Contains("500.0 ms  vm2  finished") &&
                         Catch::EndsWith("late by wait\n"));
    CHECK(text.find("placed") < text.find("finished"));
    CHECK_THAT(text, !Catch::Contains("e2"));
    CHECK(daemon.calls.empty());
  }
  SECTION("as JSON") {
    options.json = true;
    CHECK(Run({"explain", "id-1", "log"}) == ExitCode::kDone);
    CHECK(json::parse(out.str()).at("lines").size() == 2);
  }
  SECTION("an unknown id is a failure, a missing file bad usage") {
    CHECK(Run({"explain", "id-3", "log"}) == ExitCode::kFailed);
    CHECK(Run({"explain", "id-1"}) == ExitCode::kInvalid);
  }
}

// Guards against an invalid document that reaches a daemon, and against wrong
// exit codes.
TEST_CASE_METHOD(Fixture, "Documents are checked before anything is sent") {
  file = "[environment]\nname = a\n[team t]\nclasses = c\n";
  for (const char* command : {"check", "diff", "trial", "promote", "apply"}) {
    INFO(command);
    options.digest = DocumentDigest(file);
    CHECK(Run({command, "f"}) == ExitCode::kInvalid);
    CHECK_THAT(err.str(),
               Catch::Contains(
                   "f:4: [team t] classes: there is no section [class c]"));
  }
  CHECK(daemon.calls.empty());
  SECTION("a valid one is compared with the one in place") {
    file = kNew;
    CHECK(Run({"diff", "f"}) == ExitCode::kDone);
    CHECK(out.str() == "~ [class lookup] deadline_ms: 2000 -> 3000\n");
  }
  SECTION("and wrong arguments are refused") {
    CHECK(Run({"drain", "zone", "sala"}) == ExitCode::kInvalid);
    CHECK(Run({"drain", "domain", "sala/../x"}) == ExitCode::kInvalid);
    CHECK(Run({"operations", "show", "team/service"}) == ExitCode::kInvalid);
    CHECK(Run({}) == ExitCode::kInvalid);
    CHECK(daemon.calls.empty());
  }
}

}  // namespace
}  // namespace zr
