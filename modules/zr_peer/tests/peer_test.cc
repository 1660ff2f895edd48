#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
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
                                   std::shared_ptr<EventRecorder> recorder) {
    PeerOptions options;
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
