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

// Guards against clients without the key that take the descriptors of a VM.
TEST_CASE("Connections that ask for no tunnel give way to others") {
  asio::io_context io;
  asio::io_context blocking;
  tcp::acceptor endpoint(blocking, {asio::ip::address_v4::loopback(), 0});
  tcp::acceptor free_port(blocking, {asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint address = free_port.local_endpoint();
  free_port.close();
  OneEndpoint listener(Text(endpoint.local_endpoint()));
  auto server = TunnelServer::Start(
      io, Text(address), {.max_begun = 2, .max_tunnels = 1}, listener);
  REQUIRE(server);
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 5; ++i) {
    idle.emplace_back(blocking).connect(address);
  }
  io.run_for(kRunTime);
  CHECK((*server)->active() == 2);
  CHECK(listener.displaced == 3);

  const std::array<char, 10> request = {4, 1, 0, 0, 0, 0, 0, 0, 'u', 0};
  std::array<char, 8> reply{};
  tcp::socket caller(blocking);
  caller.connect(address);
  asio::write(caller, asio::buffer(request));
  io.run_for(kRunTime);
  asio::read(caller, asio::buffer(reply));
  CHECK(reply[1] == 0x5A);

  SECTION("a tunnel stays") {
    for (int i = 0; i < 5; ++i) {
      idle.emplace_back(blocking).connect(address);
    }
    io.run_for(kRunTime);
    tcp::socket worker = endpoint.accept();
    asio::write(worker, asio::buffer("answer", 6));
    io.run_for(kRunTime);
    std::array<char, 6> received{};
    asio::read(caller, asio::buffer(received));
    CHECK(std::string(received.data(), received.size()) == "answer");
  }
  SECTION("tunnels above their own limit are refused") {
    tcp::socket second(blocking);
    second.connect(address);
    asio::write(second, asio::buffer(request));
    io.run_for(kRunTime);
    asio::read(second, asio::buffer(reply));
    CHECK(reply[1] == 0x5B);
    CHECK(listener.too_many == 1);
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
