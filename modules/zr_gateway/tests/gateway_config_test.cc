#include <catch2/catch.hpp>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

Route MakeRoute(std::string host, std::string prefix, std::string service) {
  Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{ServiceName(std::move(service)), 1}};
  return route;
}

// Guards against sending a request to another route's service.
TEST_CASE("A path selects the route with the longest prefix") {
  GatewayConfigParts parts;
  parts.version = 7;
  parts.routes = {MakeRoute("a.example", "/one/", "s1"),
                  MakeRoute("a.example", "/one/two/", "s2"),
                  MakeRoute("b.example", "/", "s3")};
  auto config = GatewayConfig::Create(parts);
  REQUIRE(config);
  const auto service = [&](const char* host, const char* path) -> std::string {
    const Route* route = (*config)->Match(host, path);
    return route == nullptr ? "none" : route->services[0].service.value();
  };
  SECTION("the longer of two prefixes wins") {
    REQUIRE(service("a.example", "/one/two/x") == "s2");
    REQUIRE(service("a.example", "/one/three") == "s1");
  }
  SECTION("a prefix ends at a slash") {
    REQUIRE(service("a.example", "/one") == "none");
    REQUIRE(service("a.example", "/onerous/x") == "none");
  }
  SECTION("hosts do not share routes") {
    REQUIRE(service("b.example", "/one/two/x") == "s3");
    REQUIRE(service("c.example", "/one/") == "none");
  }
  SECTION("a path without a slash matches nothing") {
    REQUIRE(service("b.example", "") == "none");
  }
}

// Guards against configuration errors that only show when a request uses them.
TEST_CASE("A configuration with an unusable route is refused") {
  GatewayConfigParts parts;
  parts.routes = {MakeRoute("a.example", "/x/", "s")};
  SECTION("without a service") { parts.routes[0].services.clear(); }
  SECTION("with a prefix that does not end at a slash") {
    parts.routes[0].path_prefix = "/x";
  }
  SECTION("with an empty prefix") { parts.routes[0].path_prefix = ""; }
  auto config = GatewayConfig::Create(parts);
  REQUIRE_FALSE(config);
  REQUIRE(config.error().code == ErrorCode::kInvalidArgument);
}

// Guards against accounting a request to another team.
TEST_CASE("A key identifies the team that owns it") {
  GatewayConfigParts parts;
  parts.has_teams = true;
  parts.teams = {{TeamId("customs"), {"k1", "k2"}, {}},
                 {TeamId("smiths"), {"k3"}, {}}};
  auto config = GatewayConfig::Create(parts);
  REQUIRE(config);
  REQUIRE((*config)->FindTeam("k2")->team == TeamId("customs"));
  REQUIRE((*config)->FindTeam("k3")->team == TeamId("smiths"));
  REQUIRE((*config)->FindTeam("k4") == nullptr);
  REQUIRE((*config)->FindTeam("") == nullptr);
}

// Guards against a split that starves a service or selects none.
TEST_CASE("A split route gives each service its share") {
  Route route = MakeRoute("a.example", "/", "s1");
  route.services = {{ServiceName("s1"), 90}, {ServiceName("s2"), 10}};
  REQUIRE(PickService(route, 0.0) == ServiceName("s1"));
  REQUIRE(PickService(route, 0.899) == ServiceName("s1"));
  REQUIRE(PickService(route, 0.901) == ServiceName("s2"));
  REQUIRE(PickService(route, 0.9999999) == ServiceName("s2"));
}

// Guards against accepting a revoked key on a partitioned or suspended VM.
TEST_CASE("A configuration is fresh only if verified recently") {
  const auto at = [](int64_t ms) {
    return TimePoint::FromMicroseconds(ms * 1000);
  };
  ConfigFreshness freshness(Duration::Milliseconds(3700),
                            Duration::Milliseconds(2000));
  REQUIRE_FALSE(freshness.Fresh(at(0)));
  freshness.OnVerified(at(1000));
  SECTION("the age counts from the start of the call") {
    REQUIRE(freshness.Fresh(at(4699)));
    REQUIRE_FALSE(freshness.Fresh(at(4700)));
  }
  SECTION("a newer configuration may be in force long before keys expire") {
    REQUIRE(freshness.Current(at(2999)));
    REQUIRE_FALSE(freshness.Current(at(3000)));
  }
  SECTION("an answer that arrives late does not replace a newer one") {
    freshness.OnVerified(at(500));
    REQUIRE(freshness.Fresh(at(4699)));
  }
  SECTION("time in suspension counts") {
    REQUIRE_FALSE(freshness.Fresh(at(60'000)));
  }
  SECTION("a lower bound of new settings applies at once") {
    freshness.SetBounds(Duration::Milliseconds(1000),
                        Duration::Milliseconds(800));
    REQUIRE_FALSE(freshness.Fresh(at(2500)));
  }
}

// Guards against resuming a stream with missing or duplicate data.
TEST_CASE("A stream is split into complete events") {
  EventSplitter splitter;
  SECTION("an event that arrives in pieces is one event") {
    splitter.Append("id: 4\nda");
    REQUIRE_FALSE(splitter.Next());
    splitter.Append("ta: x\n");
    REQUIRE_FALSE(splitter.Next());
    splitter.Append("\nid: 5\n");
    auto event = splitter.Next();
    REQUIRE(event);
    REQUIRE(event->bytes == "id: 4\ndata: x\n\n");
    REQUIRE(event->id == 4);
    REQUIRE_FALSE(splitter.Next());
    REQUIRE(splitter.pending_bytes() == 6);
  }
  SECTION("lines may end with CR LF") {
    splitter.Append("id: 7\r\ndata: y\r\n\r\nid: 8\r\n\r\n");
    REQUIRE(splitter.Next()->id == 7);
    REQUIRE(splitter.Next()->id == 8);
    REQUIRE(splitter.pending_bytes() == 0);
  }
  SECTION("an event may have no id, or one that is not a number") {
    splitter.Append("data: z\n\nid: a\n\n");
    REQUIRE_FALSE(splitter.Next()->id);
    REQUIRE_FALSE(splitter.Next()->id);
  }
}

// Guards against a second run of a request that may run once, and against
// reporting "not run" for a request that may have run.
TEST_CASE("The kind of failure decides whether a request is retried") {
  RetryContext context;
  context.max_runs = 2;
  SECTION("a request that may run once") {
    context.retry_policy = RetryPolicy::kAtMostOnce;
    SECTION("is retried if it certainly has not run") {
      context.possible_runs = 0;
      REQUIRE(DecideAfterFailure(context, CallFailure::kNotRun) ==
              FailureAction::kRetry);
      REQUIRE(DecideAfterFailure(context, CallFailure::kNotConnected) ==
              FailureAction::kRetry);
    }
    SECTION("is never retried after it may have run") {
      context.possible_runs = 1;
      REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
              FailureAction::kFail);
      REQUIRE(DecideAfterFailure(context, CallFailure::kTimedOut) ==
              FailureAction::kFail);
      REQUIRE(DecideAfterFailure(context, CallFailure::kErrorAnswer) ==
              FailureAction::kForwardAnswer);
    }
    SECTION("is refused as not run only if no call may have run") {
      context.candidate_left = false;
      context.possible_runs = 0;
      REQUIRE(DecideAfterFailure(context, CallFailure::kNotRun) ==
              FailureAction::kRefuse);
      context.possible_runs = 1;
      REQUIRE(DecideAfterFailure(context, CallFailure::kNotRun) ==
              FailureAction::kFail);
    }
  }
  SECTION("a repeatable request") {
    context.retry_policy = RetryPolicy::kRepeatable;
    context.possible_runs = 1;
    REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
            FailureAction::kRetry);
    SECTION("runs on no more endpoints than its route allows") {
      context.possible_runs = 2;
      REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
              FailureAction::kFail);
    }
    SECTION("is not retried without time left") {
      context.time_left = false;
      REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
              FailureAction::kFail);
    }
    SECTION("whose answer has started is cut, not restarted") {
      context.answer_started = true;
      REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
              FailureAction::kCutAnswer);
    }
  }
  SECTION("a resumable stream continues on another endpoint") {
    context.retry_policy = RetryPolicy::kResumable;
    context.possible_runs = 1;
    context.answer_started = true;
    REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
            FailureAction::kRetry);
    context.possible_runs = 2;
    REQUIRE(DecideAfterFailure(context, CallFailure::kConnectionBroken) ==
            FailureAction::kCutAnswer);
  }
  SECTION("the number of calls is bounded regardless of their results") {
    context.retry_policy = RetryPolicy::kRepeatable;
    context.sends = 3;
    REQUIRE(DecideAfterFailure(context, CallFailure::kNotRun) ==
            FailureAction::kRefuse);
  }
}

}  // namespace
}  // namespace zr
