#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <thread>

#include "zr_peer/zr_peer.h"

namespace zr {
namespace {

// Far above any expected duration, so that the tests pass on slow machines.
constexpr std::chrono::seconds kTimeout{60};

std::string FreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

class EventRecorder : public PeerLinks::Listener {
 public:
  void OnPeerUp(const VmId& vm, Incarnation) override {
    Add("up " + vm.value());
  }
  void OnPeerDown(const VmId& vm) override { Add("down " + vm.value()); }
  void OnPeerMessage(const VmId& vm, std::string_view payload) override {
    Add(vm.value() + ": " + std::string(payload));
  }
  void OnLinksRefused(const char* reason, uint64_t) override {
    Add(std::string("refused: ") + reason);
  }
  bool WaitFor(const std::string& event, size_t count = 1) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTimeout, [&] {
      return static_cast<size_t>(
                 std::count(events_.begin(), events_.end(), event)) >= count;
    });
  }
  size_t Count() {
    std::lock_guard lock(mutex_);
    return events_.size();
  }

 private:
  void Add(std::string event) {
    std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    changed_.notify_all();
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
};

struct Fixture {
  ~Fixture() {
    context.stop();
    for (auto& thread : threads) thread.join();
  }
  std::shared_ptr<PeerLinks> Start(const std::string& vm,
                                   const std::string& address,
                                   const std::string& key,
                                   std::shared_ptr<EventRecorder> recorder,
                                   PeerOptions options = {}) {
    options.self = VmId(vm);
    options.incarnation = Incarnation(++incarnation);
    options.listen_address = address;
    options.key = key;
    options.redial_period = Duration::Milliseconds(20);
    started.push_back(*PeerLinks::Start(context, options, recorder));
    return started.back();
  }
  void Run() {
    for (int i = 0; i < 3; ++i) threads.emplace_back([this] { context.run(); });
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  uint64_t incarnation = 0;
  std::vector<std::shared_ptr<PeerLinks>> started;  // outlives the threads
  std::vector<std::thread> threads;
};

// Guards against VMs that fail to agree on one link when both dial at once.
TEST_CASE("Two VMs that dial each other") {
  Fixture fixture;
  const std::string a = FreeAddress();
  const std::string b = FreeAddress();
  auto recorder_a = std::make_shared<EventRecorder>();
  auto recorder_b = std::make_shared<EventRecorder>();
  auto links_a =
      fixture.Start("vm-a", a, "a shared key of the test", recorder_a);
  auto links_b =
      fixture.Start("vm-b", b, "a shared key of the test", recorder_b);
  links_a->SetTargets({a, b});
  links_b->SetTargets({a, b});
  fixture.Run();
  REQUIRE(recorder_a->WaitFor("up vm-b"));
  REQUIRE(recorder_b->WaitFor("up vm-a"));
  SECTION("exchange messages in order") {
    // Messages may be lost while a duplicate link is closed, so they are sent
    // until one arrives.
    bool seen = false;
    for (int i = 0; i < 1000 && !seen; ++i) {
      links_a->Send(VmId("vm-b"), "probe");
      seen = recorder_b->Count() > 1;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    REQUIRE(recorder_b->WaitFor("vm-a: probe"));
    CHECK(links_a->rejected() == 0);
    CHECK(links_b->rejected() == 0);
  }
  SECTION("detect that the peer has stopped") {
    links_b->Stop();
    REQUIRE(recorder_a->WaitFor("down vm-b"));
  }
}

// Guards against a process without the key that changes the state of a VM.
TEST_CASE("A peer with a wrong key is refused") {
  Fixture fixture;
  const std::string a = FreeAddress();
  const std::string b = FreeAddress();
  auto recorder_a = std::make_shared<EventRecorder>();
  auto recorder_b = std::make_shared<EventRecorder>();
  auto links_a =
      fixture.Start("vm-a", a, "the right key, long enough", recorder_a);
  auto links_b =
      fixture.Start("vm-b", b, "a wrong key, long enough", recorder_b);
  links_b->SetTargets({a});
  fixture.Run();
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (links_a->rejected() == 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(links_a->rejected() > 0);
  CHECK(recorder_a->Count() == 0);
  CHECK_FALSE(links_a->Send(VmId("vm-b"), "x"));
}

/** A client without the key at the port of a VM's links. */
class Stranger {
 public:
  explicit Stranger(const std::string& address) : socket_(context_) {
    const size_t colon = address.rfind(':');
    socket_.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
  }
  void Send(const std::string& text) {
    asio::error_code ignored;  // the VM may have closed the link
    asio::write(socket_, asio::buffer(text), ignored);
  }
  void Upgrade() {
    Send(
        "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  }
  /** Reads until the VM closes the connection. */
  void WaitForEnd() {
    std::string received;
    asio::error_code end;
    asio::read(socket_, asio::dynamic_buffer(received), end);
  }

 private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_;
};

// Guards against clients without the key that fill the memory and the
// descriptors of a VM before they prove who they are.
TEST_CASE("Links without a proof of the key are bounded") {
  Fixture fixture;
  const std::string a = FreeAddress();
  const std::string b = FreeAddress();
  const std::string key = "a shared key of the test";
  auto recorder = std::make_shared<EventRecorder>();
  auto recorder_b = std::make_shared<EventRecorder>();
  PeerOptions options;
  options.max_unproved_links = 2;
  SECTION("in bytes of the head of the upgrade") {
    auto links = fixture.Start("vm-a", a, key, recorder, options);
    fixture.Run();
    Stranger stranger(a);
    stranger.Send("GET /peer HTTP/1.1\r\n" + std::string(2000, 'x'));
    stranger.WaitForEnd();
    CHECK(recorder->WaitFor("refused: failed"));
    CHECK(links->unproved() == 0);
  }
  SECTION("in bytes of frames") {
    auto links = fixture.Start("vm-a", a, key, recorder, options);
    fixture.Run();
    Stranger stranger(a);
    stranger.Upgrade();
    // A message of 1 MiB, the largest between VMs, without its end.
    stranger.Send(std::string("\x82\xff\0\0\0\0\0\x10\0\0\0\0\0\0", 14) +
                  std::string(2000, 'x'));
    stranger.WaitForEnd();
    CHECK(recorder->WaitFor("refused: failed"));
  }
  SECTION("in their number: the oldest one gives way") {
    auto links = fixture.Start("vm-a", a, key, recorder, options);
    fixture.Run();
    Stranger oldest(a);
    oldest.Upgrade();
    Stranger second(a);
    Stranger third(a);
    oldest.WaitForEnd();
    CHECK(recorder->WaitFor("refused: displaced"));
    CHECK(links->unproved() <= 2);
  }
  SECTION("in time") {
    options.proof_timeout = Duration::Milliseconds(50);
    auto links = fixture.Start("vm-a", a, key, recorder, options);
    fixture.Run();
    Stranger stranger(a);
    stranger.Upgrade();
    stranger.WaitForEnd();
    CHECK(recorder->WaitFor("refused: overdue"));
  }
  SECTION("a VM is linked beside them, and its messages may be large") {
    auto links = fixture.Start("vm-a", a, key, recorder, options);
    fixture.Run();
    std::vector<std::unique_ptr<Stranger>> strangers;
    for (int i = 0; i < 5; ++i) {
      strangers.push_back(std::make_unique<Stranger>(a));
      strangers.back()->Upgrade();
    }
    auto links_b = fixture.Start("vm-b", b, key, recorder_b);
    links_b->SetTargets({a});
    REQUIRE(recorder_b->WaitFor("up vm-a"));
    REQUIRE(recorder->WaitFor("up vm-b"));
    const std::string large(1 << 20, 'y');
    REQUIRE(links_b->Send(VmId("vm-a"), large));
    REQUIRE(links->Send(VmId("vm-b"), large));
    CHECK(recorder->WaitFor("vm-b: " + large));
    CHECK(recorder_b->WaitFor("vm-a: " + large));
  }
}

// Guards against frames that are replayed, reordered or altered in transit.
TEST_CASE("Sealed frames open once and in order") {
  FrameAuthenticator a("key", VmId("a"), Incarnation(1));
  FrameAuthenticator b("key", VmId("b"), Incarnation(2));
  REQUIRE(a.OnHandshakeFrame(b.MakeHello()));
  REQUIRE(b.OnHandshakeFrame(a.MakeHello()));
  REQUIRE(a.OnHandshakeFrame(b.MakeProof()));
  REQUIRE(b.OnHandshakeFrame(a.MakeProof()));
  const std::string first = a.Seal("one");
  std::string second = a.Seal("two");
  SECTION("in order") {
    REQUIRE(b.Open(first) == "one");
    REQUIRE(b.Open(second) == "two");
  }
  SECTION("not reordered") { REQUIRE_FALSE(b.Open(second)); }
  SECTION("not replayed") {
    REQUIRE(b.Open(first));
    REQUIRE_FALSE(b.Open(first));
  }
  SECTION("not altered") {
    second.back() = 'x';
    REQUIRE(b.Open(first));
    REQUIRE_FALSE(b.Open(second));
  }
}

}  // namespace
}  // namespace zr
