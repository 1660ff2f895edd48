#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
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
    for (int i = 0; i < 3; ++i) {
      threads.emplace_back(
          [this] { RunHandlers(context, [](const char*) {}); });
    }
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

/** Seconds after which keep-alive probes end the process's connections to a
 * port; one entry a connection. */
std::vector<int> ProbeTimeouts(uint16_t port) {
  constexpr int kMaxDescriptors = 256;
  std::vector<int> timeouts;
  for (int fd = 3; fd < kMaxDescriptors; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        ntohs(peer.sin_port) != port) {
      continue;
    }
    const auto option = [fd](int name) {
      int value = 0;
      socklen_t length = sizeof(value);
      getsockopt(fd, IPPROTO_TCP, name, &value, &length);
      return value;
    };
    timeouts.push_back(option(TCP_KEEPIDLE) +
                       option(TCP_KEEPINTVL) * option(TCP_KEEPCNT));
  }
  return timeouts;
}

// Guards against memory that stays reserved for a call to an engine that has
// vanished: it must be free four seconds after the engine's end.
TEST_CASE("A connection to a peer that has vanished fails within seconds") {
  Fixture fixture([](HttpRequest, HttpResponsePtr response) {
    response->Send(200, {}, "kept open");
  });
  REQUIRE(fixture.Fetch(Post("/x", "")));
  const auto port =
      std::stoi(fixture.address.substr(fixture.address.find(':') + 1));
  const std::vector<int> timeouts = ProbeTimeouts(static_cast<uint16_t>(port));
  REQUIRE_FALSE(timeouts.empty());
  for (const int seconds : timeouts) CHECK(seconds < 4);
}

// Guards against an exit that drops what a slow reader has not taken yet.
TEST_CASE("A response is unsent until its last byte was written") {
  constexpr size_t kLarge = size_t{64} << 20;
  Fixture fixture([](HttpRequest request, HttpResponsePtr response) {
    response->Send(200, {}, std::string(std::stoul(request.body), 'x'));
  });
  asio::io_context context;
  asio::ip::tcp::socket caller(context);
  const auto colon = fixture.address.find(':');
  caller.connect(
      {asio::ip::make_address(fixture.address.substr(0, colon)),
       static_cast<uint16_t>(std::stoi(fixture.address.substr(colon + 1)))});
  const std::string size = std::to_string(kLarge);
  asio::write(caller,
              asio::buffer("POST / HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: " +
                           std::to_string(size.size()) + "\r\n\r\n" + size));
  const auto reaches = [&fixture](size_t count) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (fixture.server->unsent_responses() != count) {
      if (std::chrono::steady_clock::now() > end) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
  };
  std::string start(1024, '\0');
  asio::read(caller, asio::buffer(start));
  REQUIRE(reaches(1));
  SECTION("by the caller's reading") {
    std::string rest(kLarge, '\0');
    asio::error_code error;
    asio::read(caller, asio::buffer(rest),
               asio::transfer_exactly(kLarge - start.size()), error);
    REQUIRE(reaches(0));
  }
  SECTION("or its connection has failed") {
    caller.close();
    REQUIRE(reaches(0));
  }
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

// Guards against a large answer that is given up because it takes long.
TEST_CASE("An answer may take longer than a pause within it") {
  constexpr std::chrono::milliseconds kPieceDelay{100};
  constexpr int kPieces = 20;
  std::vector<std::thread> writers;
  Fixture fixture([&](HttpRequest request, HttpResponsePtr response) {
    if (request.path == "/mute") {
      // Kept open without an answer.
      return response->OnClosed([response] {});
    }
    response->Begin(200, {});
    response->Write("x", nullptr);
    if (request.path == "/stalled") return response->OnClosed([response] {});
    writers.emplace_back([=] {
      for (int i = 1; i < kPieces; ++i) {
        std::this_thread::sleep_for(kPieceDelay);
        response->Write("x", nullptr);
      }
      response->End();
    });
  });
  const auto fetch = [&fixture](const char* path) {
    ClientRequest request = Post(path, "");
    request.answer_timeout = Duration::Milliseconds(1500);
    request.pause_timeout = Duration::Milliseconds(1500);
    return fixture.Fetch(request);
  };
  SECTION("while bytes arrive") {
    auto result = fetch("/slow");
    for (std::thread& writer : writers) writer.join();
    REQUIRE(result);
    CHECK(result->body == std::string(kPieces, 'x'));
  }
  SECTION("but not if they stop") {
    auto result = fetch("/stalled");
    REQUIRE_FALSE(result);
    CHECK(result.error().error.code == ErrorCode::kUnknownOutcome);
  }
  SECTION("or never begin") {
    auto result = fetch("/mute");
    REQUIRE_FALSE(result);
    CHECK(result.error().request_sent);
  }
}

// Guards against "not run" for a call whose bytes may have reached the server.
/** Throws at one of its calls; `ended` receives the failure of the call. */
class ThrowingListener final : public HttpClient::Listener {
 public:
  enum class At { kHeaders, kData, kEnd };
  ThrowingListener(At at, std::promise<std::optional<ClientFailure>>& ended)
      : at_(at), ended_(ended) {}

  void OnHeaders(int, const HttpHeaders&) override { Throw(At::kHeaders); }
  bool OnData(std::string_view) override {
    Throw(At::kData);
    return true;
  }
  void OnEnd(std::optional<ClientFailure> failure) override {
    ended_.set_value(std::move(failure));
    Throw(At::kEnd);
  }

 private:
  void Throw(At at) const {
    if (at == at_) throw std::runtime_error("thrown by a listener");
  }

  const At at_;
  std::promise<std::optional<ClientFailure>>& ended_;
};

// Guards against answers whose many short header lines use up the memory.
TEST_CASE("An answer with too many header lines is rejected") {
  size_t lines = 0;
  Fixture fixture(
      [&lines](const HttpRequest&, std::shared_ptr<HttpResponse> response) {
        HttpHeaders headers;
        for (size_t i = 0; i < lines; ++i) {
          headers["x-" + std::to_string(i)] = "y";
        }
        response->Send(200, headers, "");
      });
  SECTION("but many are allowed") {
    lines = 400;
    REQUIRE(fixture.Fetch(Post("/", "")).has_value());
  }
  SECTION("far below the limit on their bytes") {
    lines = 600;
    const auto result = fixture.Fetch(Post("/", ""));
    REQUIRE_FALSE(result);
    REQUIRE(result.error().error.code == ErrorCode::kTooLarge);
  }
}

TEST_CASE("An exception does not end the process") {
  using At = ThrowingListener::At;
  Fixture fixture([](const HttpRequest&, const HttpResponsePtr& response) {
    response->Send(200, {}, "answer");
  });
  const auto call = [&](At at) {
    std::promise<std::optional<ClientFailure>> ended;
    ClientRequest request;
    request.url = "http://" + fixture.address + "/";
    fixture.client->Start(std::move(request),
                          std::make_shared<ThrowingListener>(at, ended));
    auto future = ended.get_future();
    REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  };

  SECTION("if a listener throws, whose call fails") {
    const auto failure = call(GENERATE(At::kHeaders, At::kData));
    REQUIRE(failure);
    CHECK(failure->request_sent);
    CHECK(failure->error.message.find("thrown by a listener") !=
          std::string::npos);
  }
  SECTION("if a listener throws after its call") {
    CHECK_FALSE(call(At::kEnd));
  }
  SECTION("if a handler throws") {
    asio::post(fixture.context,
               [] { throw std::runtime_error("in a handler"); });
  }
  const auto next = fixture.Fetch(Post("/", ""));
  REQUIRE(next);
  CHECK(next->body == "answer");
}

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
