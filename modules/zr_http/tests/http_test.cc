#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "zr_http/zr_http.h"

namespace zr {
namespace {

// Far above any expected duration, so that tests do not fail on a slow machine.
constexpr std::chrono::seconds kTestTimeout{60};

/** Finds a free loopback port by binding to port 0. */
uint16_t FreePort() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

struct Fixture {
  explicit Fixture(HttpHandler handler) {
    HttpServerOptions options;
    options.address = "127.0.0.1:" + std::to_string(FreePort());
    options.max_body_bytes = 1000;
    options.max_header_bytes = 2000;
    address = options.address;
    server =
        std::move(*HttpServer::Start(context, options, std::move(handler)));
    client = *HttpClient::Create(context);
    for (int i = 0; i < 3; ++i) threads.emplace_back([this] { context.run(); });
  }
  ~Fixture() {
    context.stop();
    for (auto& thread : threads) thread.join();
  }
  tl::expected<ClientResponse, ClientFailure> Fetch(ClientRequest request) {
    std::promise<tl::expected<ClientResponse, ClientFailure>> promise;
    request.url = "http://" + address + request.url;
    client->Fetch(std::move(request), 1 << 20, [&promise](auto result) {
      promise.set_value(std::move(result));
    });
    auto future = promise.get_future();
    REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::string address;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<HttpClient> client;
  std::vector<std::thread> threads;
};

ClientRequest Post(std::string path, std::string body) {
  ClientRequest request;
  request.method = "POST";
  request.url = std::move(path);
  request.body = std::move(body);
  return request;
}

// Guards against a body or header above its limit that reaches the handlers.
TEST_CASE("A request is answered") {
  Fixture fixture([](HttpRequest request, HttpResponsePtr response) {
    response->Send(200, {{"x-method", request.method}}, request.body);
  });
  SECTION("with its body and headers") {
    auto result = fixture.Fetch(Post("/echo", "hello"));
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(result->body == "hello");
    CHECK(result->headers["x-method"] == "POST");
  }
  SECTION("with 413 when its body is too large") {
    auto result = fixture.Fetch(Post("/echo", std::string(1500, 'x')));
    REQUIRE(result);
    CHECK(result->status == 413);
    CHECK(result->body.find("not-run") != std::string::npos);
  }
  SECTION("with 431 when its headers are too large") {
    ClientRequest request = Post("/echo", "");
    request.headers["x-long"] = std::string(2500, 'x');
    auto result = fixture.Fetch(request);
    REQUIRE(result);
    CHECK(result->status == 431);
  }
}

// Guards against a truncated stream that looks complete to its reader.
TEST_CASE("A chunked response") {
  std::promise<void> closed;
  std::promise<void> closed_late;
  Fixture fixture(
      [&closed, &closed_late](HttpRequest request, HttpResponsePtr response) {
        response->Begin(200, {});
        response->Write("part", nullptr);
        if (request.path == "/whole") response->End();
        if (request.path == "/broken") response->Abort();
        if (request.path == "/open") {
          response->OnClosed([response, &closed, &closed_late]() mutable {
            auto late = std::exchange(response, nullptr);
            closed.set_value();
            // A function that is set after the close must be called too.
            late->OnClosed([&closed_late] { closed_late.set_value(); });
          });
        }
      });
  SECTION("that ends is complete") {
    auto result = fixture.Fetch(Post("/whole", ""));
    REQUIRE(result);
    CHECK(result->body == "part");
  }
  SECTION("that is aborted is a failure after sending") {
    auto result = fixture.Fetch(Post("/broken", ""));
    REQUIRE_FALSE(result);
    CHECK(result.error().request_sent);
  }
  SECTION("notifies the server when the client disconnects") {
    struct DataListener : HttpClient::Listener {
      std::promise<void> data;
      std::atomic<bool> data_seen{false};
      void OnHeaders(int, const HttpHeaders&) override {}
      bool OnData(std::string_view) override {
        if (!data_seen.exchange(true)) data.set_value();
        return true;
      }
      void OnEnd(std::optional<ClientFailure>) override {}
    };
    auto listener = std::make_shared<DataListener>();
    ClientRequest request = Post("http://" + fixture.address + "/open", "");
    auto call = fixture.client->Start(request, listener);
    REQUIRE(listener->data.get_future().wait_for(kTestTimeout) ==
            std::future_status::ready);
    call->Cancel();
    REQUIRE(closed.get_future().wait_for(kTestTimeout) ==
            std::future_status::ready);
    REQUIRE(closed_late.get_future().wait_for(kTestTimeout) ==
            std::future_status::ready);
  }
}

// Guards against "not run" for a call whose bytes may have reached the server.
TEST_CASE("A refused connection counts as not sent") {
  Fixture fixture([](HttpRequest, HttpResponsePtr response) {
    response->Send(200, {}, "");
  });
  ClientRequest request = Post("", "x");
  fixture.address = "127.0.0.1:" + std::to_string(FreePort());
  auto result = fixture.Fetch(request);
  REQUIRE_FALSE(result);
  CHECK_FALSE(result.error().request_sent);
}

}  // namespace
}  // namespace zr
