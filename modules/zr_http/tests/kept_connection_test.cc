#include <sys/socket.h>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <list>
#include <string>
#include <thread>

#include "zr_http/zr_http.h"

namespace zr {
namespace {

// Far above any expected duration, so that tests do not fail on a slow machine.
constexpr std::chrono::seconds kTestTimeout{60};

/** Answers requests without a body with the number of their connection; the
 * path says what else becomes of the connection. */
class KeepAliveServer {
 public:
  KeepAliveServer()
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    thread_ = std::thread([this] { Accept(); });
  }
  ~KeepAliveServer() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (Connection& connection : connections_) {
      ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
      connection.thread.join();
    }
  }
  KeepAliveServer(const KeepAliveServer&) = delete;
  KeepAliveServer& operator=(const KeepAliveServer&) = delete;

  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port()) + path;
  }
  int connections() const { return accepted_; }
  /** Lets the answers to "/held" go. */
  void Release() { held_.set_value(); }

 private:
  struct Connection {
    asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Accept() {
    while (true) {
      asio::error_code error;
      asio::ip::tcp::socket socket = acceptor_.accept(error);
      if (error) return;
      Connection& connection =
          connections_.emplace_back(Connection{std::move(socket), {}});
      connection.thread =
          std::thread([this, &connection, number = ++accepted_] {
            Serve(connection.socket, number);
          });
    }
  }

  void Serve(asio::ip::tcp::socket& socket, int number) {
    asio::error_code error;
    std::string bytes;
    while (true) {
      const size_t head = asio::read_until(socket, asio::dynamic_buffer(bytes),
                                           "\r\n\r\n", error);
      if (error) return;
      const std::string line = bytes.substr(0, bytes.find('\r'));
      bytes.erase(0, head);
      if (line.find("/interim") != std::string::npos) {
        asio::write(socket, asio::buffer("HTTP/1.1 102 Processing\r\n\r\n", 27),
                    error);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
      if (line.find("/slow") != std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(350));
      }
      if (line.find("/late") != std::string::npos) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
      }
      if (line.find("/reset") != std::string::npos) {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        return;
      }
      if (line.find("/held") != std::string::npos) release_.wait();
      const std::string body = std::to_string(number);
      asio::write(socket,
                  asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body),
                  error);
    }
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> accepted_{0};
  std::promise<void> held_;
  std::shared_future<void> release_{held_.get_future()};
  std::list<Connection> connections_;
  std::thread thread_;
};

using Reply = tl::expected<ClientResponse, ClientFailure>;

struct Caller {
  Caller() : thread([this] { RunHandlers(context, [](const char*) {}); }) {}
  ~Caller() {
    context.stop();
    thread.join();
  }
  std::future<Reply> Begin(ClientRequest request) {
    auto promise = std::make_shared<std::promise<Reply>>();
    client->Fetch(std::move(request), 1 << 20, [promise](auto result) {
      promise->set_value(std::move(result));
    });
    return promise->get_future();
  }
  Reply Fetch(ClientRequest request) {
    auto future = Begin(std::move(request));
    REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::shared_ptr<HttpClient> client = *HttpClient::Create(context);
  std::thread thread;
};

ClientRequest NoResend(std::string url) {
  ClientRequest request;
  request.method = "POST";
  request.url = std::move(url);
  request.no_resend = true;
  return request;
}

// Guards against a dropped idle connection that is taken for a crash.
TEST_CASE("A lost kept connection is told from a crash of its server") {
  KeepAliveServer server;
  Caller caller;
  REQUIRE(caller.Fetch(NoResend(server.Url("/")))->body == "1");

  SECTION("lost before any byte of an answer") {
    const Reply reply = caller.Fetch(NoResend(server.Url("/reset")));
    REQUIRE_FALSE(reply);
    CHECK(reply.error().request_sent);
    CHECK(reply.error().idle_connection_dropped);
    SECTION("makes no further connection") { CHECK(server.connections() == 1); }
    SECTION("does not keep the server from being called") {
      CHECK(caller.Fetch(NoResend(server.Url("/")))->body == "2");
    }
  }

  SECTION("lost while its body is sent") {
    ClientRequest request = NoResend(server.Url("/reset"));
    request.body = std::string(size_t{16} << 20, 'x');
    const Reply reply = caller.Fetch(request);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().idle_connection_dropped);
  }

  SECTION("lost after a delay that lost packets explain") {
    const Reply reply = caller.Fetch(NoResend(server.Url("/slow/reset")));
    REQUIRE_FALSE(reply);
    CHECK(reply.error().idle_connection_dropped);
  }

  SECTION("lost later, it was not dropped while it was idle") {
    const auto* path = GENERATE("/interim/reset", "/late/reset");
    const Reply reply = caller.Fetch(NoResend(server.Url(path)));
    REQUIRE_FALSE(reply);
    CHECK(reply.error().request_sent);
    CHECK_FALSE(reply.error().idle_connection_dropped);
  }

  SECTION("and a new one may be used instead") {
    ClientRequest request = NoResend(server.Url("/"));
    request.new_connection = true;
    REQUIRE(caller.Fetch(request)->body == "2");
    SECTION("which is kept") {
      CHECK(caller.Fetch(NoResend(server.Url("/"))));
      CHECK(server.connections() == 2);
    }
    SECTION("and closed if it is the call's own") {
      request.fresh_connection = true;
      REQUIRE(caller.Fetch(request)->body == "3");
      CHECK(caller.Fetch(NoResend(server.Url("/")))->body != "3");
      CHECK(server.connections() == 3);
    }
  }
}

// Guards against connections that are closed because another one was lost.
TEST_CASE("A lost kept connection does not close the other ones") {
  KeepAliveServer server;
  Caller caller;
  auto held = caller.Begin(NoResend(server.Url("/held")));
  while (server.connections() == 0) std::this_thread::yield();
  REQUIRE(caller.Fetch(NoResend(server.Url("/")))->body == "2");
  server.Release();
  REQUIRE(held.get()->body == "1");
  REQUIRE_FALSE(caller.Fetch(NoResend(server.Url("/reset"))));
  REQUIRE(caller.Fetch(NoResend(server.Url("/"))));
  CHECK(server.connections() == 2);
}

}  // namespace
}  // namespace zr
