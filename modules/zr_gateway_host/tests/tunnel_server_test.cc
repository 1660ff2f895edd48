#include "zr_gateway_host/tunnel_server.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace zr {
namespace {

using asio::ip::tcp;

// Longer than a tunnel's connection may take.
constexpr std::chrono::milliseconds kBusy{300};
constexpr std::chrono::milliseconds kRunTime{100};
// Far above any expected duration, so that the tests pass on slow machines.
constexpr std::chrono::seconds kTimeout{60};
// Codes of SOCKS 4.
constexpr uint8_t kGranted = 0x5A;
constexpr uint8_t kFailed = 0x5B;

std::string Text(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

class OneEndpoint : public TunnelServer::Listener {
 public:
  explicit OneEndpoint(std::string address) : address_(std::move(address)) {}
  std::optional<std::string> OnTunnelRequest(const std::string&) override {
    requested = true;
    return address_;
  }
  void OnTunnelConnected(const std::string&, bool) override {}
  void OnTooManyTunnels(const std::string&) override { ++too_many; }
  void OnTunnelDisplaced() override { ++displaced; }
  bool requested = false;
  int too_many = 0;
  int displaced = 0;

 private:
  std::string address_;
};

// Guards against a refusal within the bytes of a tunnel of a busy VM.
TEST_CASE("A tunnel that is established late is not refused afterwards") {
  asio::io_context io;
  asio::io_context blocking;
  tcp::acceptor endpoint(blocking, {asio::ip::address_v4::loopback(), 0});
  tcp::acceptor free_port(blocking, {asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint address = free_port.local_endpoint();
  free_port.close();
  OneEndpoint listener(Text(endpoint.local_endpoint()));
  auto server = TunnelServer::Start(io, Text(address), {}, listener);
  REQUIRE(server);
  tcp::socket caller(blocking);
  caller.connect(address);
  const std::array<char, 10> request = {4, 1, 0, 0, 0, 0, 0, 0, 'u', 0};
  asio::write(caller, asio::buffer(request));
  while (!listener.requested) REQUIRE(io.run_one() == 1);
  // The connection and its time-out are both due when the VM goes on.
  std::this_thread::sleep_for(kBusy);
  io.run_for(kRunTime);
  tcp::socket worker = endpoint.accept();
  asio::write(worker, asio::buffer("answer", 6));
  io.run_for(kRunTime);
  REQUIRE((*server)->active() == 1);
  std::array<char, 14> received{};
  asio::read(caller, asio::buffer(received));
  CHECK(std::string(received.data() + 8, 6) == "answer");
}

/** A tunnel server with callers that ask it on the same thread. */
class TunnelFixture {
 public:
  explicit TunnelFixture(const TunnelServer::Limits& limits)
      : endpoint(blocking_, {asio::ip::address_v4::loopback(), 0}),
        listener(Text(endpoint.local_endpoint())) {
    tcp::acceptor free_port(blocking_, {asio::ip::address_v4::loopback(), 0});
    address_ = free_port.local_endpoint();
    free_port.close();
    server =
        std::move(*TunnelServer::Start(io_, Text(address_), limits, listener));
  }

  tcp::socket Connect() {
    tcp::socket caller(blocking_);
    caller.connect(address_);
    return caller;
  }
  /** @returns the code of the server's reply to a request for a tunnel */
  uint8_t Ask(tcp::socket& caller) {
    const std::array<char, 10> request = {4, 1, 0, 0, 0, 0, 0, 0, 'u', 0};
    std::array<uint8_t, 8> reply{};
    asio::write(caller, asio::buffer(request));
    RunUntil([&] { return caller.available() >= reply.size(); });
    asio::read(caller, asio::buffer(reply));
    return reply[1];
  }
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) REQUIRE(io_.run_one_for(kTimeout) == 1);
  }

 private:
  asio::io_context io_;
  asio::io_context blocking_;
  tcp::endpoint address_;

 public:
  tcp::acceptor endpoint;
  OneEndpoint listener;
  std::unique_ptr<TunnelServer> server;
};

// Guards against clients without the key that take the descriptors of a VM.
TEST_CASE("Connections that ask for no tunnel give way to others") {
  TunnelFixture fixture({.max_begun = 2, .max_tunnels = 1});
  std::vector<tcp::socket> idle;
  idle.reserve(10);
  for (int i = 0; i < 5; ++i) idle.push_back(fixture.Connect());
  fixture.RunUntil([&] { return fixture.listener.displaced == 3; });
  CHECK(fixture.server->active() == 2);
  tcp::socket caller = fixture.Connect();
  REQUIRE(fixture.Ask(caller) == kGranted);

  SECTION("a tunnel stays") {
    for (int i = 0; i < 5; ++i) idle.push_back(fixture.Connect());
    fixture.RunUntil([&] { return fixture.listener.displaced >= 6; });
    tcp::socket worker = fixture.endpoint.accept();
    asio::write(worker, asio::buffer("answer", 6));
    std::array<char, 6> received{};
    fixture.RunUntil([&] { return caller.available() >= received.size(); });
    asio::read(caller, asio::buffer(received));
    CHECK(std::string(received.data(), received.size()) == "answer");
  }
  SECTION("tunnels above their own limit are refused") {
    tcp::socket second = fixture.Connect();
    CHECK(fixture.Ask(second) == kFailed);
    CHECK(fixture.listener.too_many == 1);
  }
}

// Guards against a part of an answer that is taken for the whole: a write to
// the endpoint takes the error of its reset, so a read sees the end of its
// bytes.
TEST_CASE("A reset of an endpoint during an upload resets its caller") {
  asio::io_context io;
  asio::io_context blocking;
  tcp::acceptor endpoint(blocking, {asio::ip::address_v4::loopback(), 0});
  tcp::acceptor free_port(blocking, {asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint address = free_port.local_endpoint();
  free_port.close();
  OneEndpoint listener(Text(endpoint.local_endpoint()));
  auto server = TunnelServer::Start(io, Text(address), {}, listener);
  REQUIRE(server);
  tcp::socket caller(blocking);
  caller.connect(address);
  const std::array<char, 10> request = {4, 1, 0, 0, 0, 0, 0, 0, 'u', 0};
  asio::write(caller, asio::buffer(request));
  while (!listener.requested) REQUIRE(io.run_one() == 1);
  io.run_for(kRunTime);
  tcp::socket worker = endpoint.accept();
  asio::write(worker, asio::buffer("part", 4));
  io.run_for(kRunTime);
  std::array<char, 12> received{};
  asio::read(caller, asio::buffer(received));

  const bool reset = GENERATE(true, false);
  INFO("reset: " << reset);
  asio::write(caller, asio::buffer("upload", 6));
  if (reset) {
    worker.set_option(asio::socket_base::linger(true, 0));
    worker.close();
  } else {
    worker.shutdown(tcp::socket::shutdown_send);
  }
  io.run_for(kRunTime);
  asio::error_code error;
  asio::read(caller, asio::buffer(received), error);
  CHECK(error == (reset ? asio::error_code(asio::error::connection_reset)
                        : asio::error_code(asio::error::eof)));
}

}  // namespace
}  // namespace zr
