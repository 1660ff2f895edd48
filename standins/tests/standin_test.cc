#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "standins/common/token_text.h"
#include "standins/engine/engine.h"
#include "standins/platform/platform_server.h"
#include "standins/service/plain_service.h"

namespace zr {
namespace {

constexpr std::chrono::seconds kWait{60};
using FetchResult = tl::expected<ClientResponse, ClientFailure>;

std::string FreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** Runs stand-ins on a thread of their own and sends requests to them. */
struct Fixture {
  ~Fixture() {
    context.stop();
    if (thread.joinable()) thread.join();
  }
  void Run() {
    thread = std::thread([this] { context.run(); });
  }
  FetchResult Fetch(const std::string& method, const std::string& url,
                    HttpHeaders headers = {}, std::string body = "") {
    ClientRequest request;
    request.method = method;
    request.url = "http://" + url;
    request.headers = std::move(headers);
    request.body = std::move(body);
    auto promise = std::make_shared<std::promise<FetchResult>>();
    client->Fetch(std::move(request), 1 << 22,
                  [promise](auto r) { promise->set_value(r); });
    auto future = promise->get_future();
    REQUIRE(future.wait_for(kWait) == std::future_status::ready);
    return future.get();
  }
  nlohmann::json Json(const std::string& method, const std::string& url,
                      std::string body = "") {
    auto result = Fetch(method, url, {}, std::move(body));
    REQUIRE(result);
    return ParseJson(result->body);
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::shared_ptr<HttpClient> client = *HttpClient::Create(context);
  std::thread thread;
};

// Guards against a platform stand-in that is more lenient than the object API.
TEST_CASE("The platform stand-in") {
  Fixture fixture;
  PlatformOptions options;
  options.listen = FreeAddress();
  options.fault_listen = FreeAddress();
  options.max_events = 3;
  auto platform = PlatformServer::Start(fixture.context, options);
  REQUIRE(platform);
  fixture.Run();
  const std::string object = options.listen + "/v1/objects/k/o";
  REQUIRE(
      fixture.Fetch("PUT", object, {{"if-none-match", "*"}}, "one")->status ==
      200);

  SECTION("refuses a write whose condition does not hold") {
    CHECK(
        fixture.Fetch("PUT", object, {{"if-none-match", "*"}}, "two")->status ==
        412);
    CHECK(fixture.Fetch("PUT", object, {{"if-match", "7"}}, "two")->status ==
          412);
    CHECK(fixture.Json("GET", object)["value"] == "one");
    CHECK(fixture.Fetch("PUT", object, {{"if-match", "1"}}, "two")->status ==
          200);
    CHECK(fixture.Json("GET", object)["value"] == "two");
  }
  SECTION("can drop the response to a write that took effect") {
    fixture.Fetch("POST", options.fault_listen + "/fault/lost_answers?p=1");
    auto result = fixture.Fetch("PUT", object, {{"if-match", "1"}}, "two");
    REQUIRE_FALSE(result);
    CHECK(result.error().request_sent);
    CHECK(fixture.Json("GET", object)["version"] == 2);
  }
  SECTION(
      "answers a watch with later events, and with 410 when they have been "
      "trimmed") {
    auto watched = std::async(std::launch::async, [&] {
      return fixture.Fetch(
          "GET", options.listen + "/v1/watch/k?after=1&timeout_ms=60000");
    });
    fixture.Fetch("PUT", object, {{"if-match", "1"}}, "two");
    auto result = watched.get();
    REQUIRE(result);
    CHECK(ParseJson(result->body)["events"][0]["value"] == "two");
    for (int i = 0; i < 5; ++i) fixture.Fetch("PUT", object, {}, "more");
    CHECK(
        fixture.Fetch("GET", options.listen + "/v1/watch/k?after=1")->status ==
        410);
  }
}

// Guards against a service stand-in that hides duplicate executions.
TEST_CASE("The service stand-in counts the executions of each key") {
  Fixture fixture;
  ServiceOptions options;
  options.name = "s";
  options.listen = FreeAddress();
  auto service = PlainService::Start(fixture.context, options);
  REQUIRE(service);
  fixture.Run();
  for (int i = 1; i <= 2; ++i) {
    auto result = fixture.Fetch("POST", options.listen + "/do",
                                {{"idempotency-key", "k"}}, "body");
    REQUIRE(result);
    CHECK(ParseJson(result->body)["count"] == i);
  }
  CHECK(fixture.Json("GET",
                     options.listen + "/executions")["executions"]["k"] == 2);
}

/** Signals the arrival of the first data. */
struct FirstDataListener : HttpClient::Listener {
  std::promise<void> first;
  std::atomic<bool> seen{false};
  void OnHeaders(int, const HttpHeaders&) override {}
  bool OnData(std::string_view) override {
    if (!seen.exchange(true)) first.set_value();
    return true;
  }
  void OnEnd(std::optional<ClientFailure>) override {}
};

// Guards against an engine stand-in that runs a duplicate request instead of
// attaching it to the stream, or that drops a stream when its reader
// disconnects.
TEST_CASE("The engine stand-in") {
  Fixture fixture;
  EngineOptions options;
  options.name = "e";
  options.listen = FreeAddress();
  options.time_scale = 10;
  options.fresh_requests = 1;
  options.unclaimed_window_ms = 60'000;
  auto engine = Engine::Start(fixture.context, options, nullptr);
  REQUIRE(engine);
  fixture.Run();
  const std::string url = options.listen + "/v1/completions";
  const auto body = [](const std::string& id, int tokens, bool stream) {
    return nlohmann::json{{"prompt", "p"},
                          {"stream_id", id},
                          {"max_tokens", tokens},
                          {"stream", stream}}
        .dump();
  };
  const auto state = [&] {
    std::promise<nlohmann::json> promise;
    asio::post(fixture.context, [&] { promise.set_value((*engine)->State()); });
    return promise.get_future().get();
  };

  SECTION("attaches a duplicate stream id after the first reader disconnects") {
    auto reader = std::make_shared<FirstDataListener>();
    ClientRequest request;
    request.method = "POST";
    request.url = "http://" + url;
    request.body = body("r#1", 200, true);
    auto call = fixture.client->Start(request, reader);
    REQUIRE(reader->first.get_future().wait_for(kWait) ==
            std::future_status::ready);
    call->Cancel();
    auto answer = fixture.Json("POST", url, body("r#1", 200, false));
    CHECK(answer["choices"][0]["text"] == AnswerText(AnswerSeed("p"), 200));
    CHECK(state()["runs"]["r"] == 1);
    CHECK(state()["kv_used"] == 0);
  }
  SECTION(
      "crashes if too many requests reach a fresh engine, and restarts with a "
      "new boot number") {
    auto first = std::async(std::launch::async, [&] {
      return fixture.Fetch("POST", url, {}, body("a#1", 100'000, false));
    });
    while (state()["running"] == 0) std::this_thread::yield();
    const auto boot = state()["boot"];
    CHECK_FALSE(fixture.Fetch("POST", url, {}, body("b#1", 5, false)));
    CHECK_FALSE(first.get());
    CHECK(state()["overruns"] == 1);
    while (state()["down"] == true) std::this_thread::yield();
    CHECK(state()["boot"] != boot);
    CHECK(fixture.Fetch("POST", url, {}, body("b#1", 5, false)));
  }
}

}  // namespace
}  // namespace zr
