#include <algorithm>
#include <catch2/catch.hpp>

#include "zr_gateway/tests/queued_load.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) { return TimePoint::FromMicroseconds(ms * 1000); }

QueuedCall Call(const std::string& name, const std::string& team,
                int64_t arrived_ms) {
  QueuedCall call;
  call.key = {VmId("vm"), RequestId(name), 1};
  call.request.team = TeamId(team);
  call.request.domain = DomainId("d");
  call.received = call.arrived = At(arrived_ms);
  call.objective_at = At(arrived_ms + 250);
  call.latest_first_token = At(arrived_ms + 1700);
  call.deadline = At(arrived_ms + 10'000);
  call.shortest_first_token = Duration::Milliseconds(75);
  call.cost_ms = 190;
  call.value = 20'000;
  return call;
}

std::string NextName(PoolQueue& queue, int64_t now_ms) {
  const QueuedCall* next = queue.Next(At(now_ms), {});
  return next == nullptr ? "" : next->key.request.value();
}

// Guards against a large team, a domain or early repeats that take the turns of
// others, and against requests that never get a turn.
TEST_CASE("A pool's queue serves in the order of the design page") {
  PoolQueue queue;
  QueuedCall other = Call("other", "large", 1000);
  queue.OnGranted(At(1000), other, Duration());
  queue.Push(Call("large", "large", 1000));

  SECTION("the team with the least usage goes first") {
    queue.Push(Call("small", "small", 1001));
    REQUIRE(NextName(queue, 1010) == "small");
  }
  SECTION("then the domain with the least usage") {
    QueuedCall elsewhere = Call("elsewhere", "large", 1001);
    elsewhere.request.domain = DomainId("e");
    queue.Push(elsewhere);
    REQUIRE(NextName(queue, 1010) == "elsewhere");
  }
  SECTION("but a late request goes after those that can be in time") {
    QueuedCall late = Call("late", "small", 1000);
    late.objective_at = At(1050);
    queue.Push(late);
    REQUIRE(NextName(queue, 1010) == "large");
  }
  SECTION("an early repeat goes after all first attempts, also late ones") {
    QueuedCall repeat = Call("repeat", "small", 1001);
    repeat.repeat = RepeatKind::kEarlyRepeat;
    queue.Push(repeat);
    REQUIRE(NextName(queue, 1010) == "large");
    REQUIRE(NextName(queue, 1300) == "large");
  }
  SECTION("an instructed repeat gets every eighth turn of its team") {
    QueuedCall repeat = Call("repeat", "large", 1001);
    repeat.repeat = RepeatKind::kInstructedRepeat;
    repeat.objective_at = At(900);
    queue.Push(repeat);
    for (int turn = 1; turn < PoolQueue::kRepeatTurn - 1; ++turn) {
      REQUIRE(NextName(queue, 1010) == "large");
      queue.OnGranted(At(1010), other, Duration());
    }
    REQUIRE(NextName(queue, 1010) == "repeat");
  }
  SECTION("the longest-waiting request gets a turn in each bound") {
    const int64_t due = 1000 + PoolQueue::kStarvationBound.milliseconds();
    queue.Push(Call("small", "small", due));
    REQUIRE(NextName(queue, due - 1) == "small");
    REQUIRE(NextName(queue, due) == "large");
    const QueuedCall large = *queue.Find(Call("large", "", 0).key);
    queue.OnGranted(At(due), large, Duration());
    queue.Push(Call("old", "large", 900));
    REQUIRE(NextName(queue, due + 10) == "small");
  }
}

// Guards against usage that lasts for minutes, and against errors when the
// reference time of scaled usage moves.
TEST_CASE("Usage of a team counts half after its half-life") {
  FairShares shares;
  shares.Charge(At(0), TeamId("a"), DomainId("d"), 1000);
  REQUIRE(shares.TeamMilliseconds(At(5000), TeamId("a")) == Approx(500));
  shares.Charge(At(70'000), TeamId("b"), DomainId("d"), 1);
  REQUIRE(shares.TeamMilliseconds(At(70'000), TeamId("a")) ==
          Approx(1000.0 / 16384));
  REQUIRE(shares.OfTeam(TeamId("a")).scaled_ms <
          shares.OfTeam(TeamId("b")).scaled_ms);
}

// Guards against callers that return at once, and against one refusal that
// counts for two later requests.
TEST_CASE("A repeat is known by the refusal before it") {
  RefusalMemory memory;
  memory.OnRefused(At(0), Fingerprint(7), At(1000), At(-100));
  REQUIRE(memory.OnArrival(At(500), Fingerprint(8)) == RepeatInfo{});
  REQUIRE(memory.OnArrival(At(500), Fingerprint(7)).kind ==
          RepeatKind::kEarlyRepeat);
  const RepeatInfo repeat = memory.OnArrival(At(1000), Fingerprint(7));
  REQUIRE(repeat.kind == RepeatKind::kInstructedRepeat);
  REQUIRE(repeat.objective_at == At(-100));
  REQUIRE(memory.OnArrival(At(1001), Fingerprint(7)) == RepeatInfo{});
  memory.OnRefused(At(0), Fingerprint(0), At(1000), At(0));
  REQUIRE(memory.size() == 0);
}

/** A dispatcher of one engine with two slots. */
struct SmallPool {
  SmallPool() : dispatcher(placement, 1) {
    GatewayConfigParts parts;
    ServicePolicy service;
    service.name = PoolId("pool");
    service.engine = WaveSimulation::Engine();
    service.engine->slots = 2;
    parts.services = {service};
    Route route;
    route.path_prefix = "/";
    route.services = {{service.name, 1}};
    route.latency_objective = Duration::Milliseconds(250);
    parts.routes = {route};
    parts.teams = {{TeamId("a"), {"1"}, {}}, {TeamId("b"), {"2"}, {}}};
    config = *GatewayConfig::Create(parts);
    ListedEndpoint endpoint;
    endpoint.id = EndpointId("e");
    endpoint.service = service.name;
    endpoint.address = "127.0.0.1:1";
    endpoint.slots = 2;
    dispatcher.tracker().Upsert(At(0), endpoint, 0);
  }

  static DispatchRequest Request(const std::string& name) {
    DispatchRequest request;
    request.request = RequestId(name);
    request.call_number = AttemptNumber(1);
    request.pool = PoolId("pool");
    request.prompt = TokenCount(4960);
    request.max_answer = TokenCount(1488);
    request.objective = Duration::Milliseconds(250);
    request.max_gap = Duration::Milliseconds(250);
    request.time_left = Duration::Seconds(10);
    request.team = TeamId("a");
    request.fingerprint = Fingerprint(Hash64(name));
    request.reads_grants = true;
    return request;
  }
  DispatchReply Ask(int64_t ms, const std::string& name,
                    const std::string& vm = "vm") {
    return dispatcher.OnDispatchRequest(At(ms), VmId(vm), *config,
                                        Request(name));
  }
  void End(int64_t ms, const std::string& name, CallResult result,
           const std::string& vm = "vm") {
    dispatcher.OnProgress(At(ms), VmId(vm),
                          {RequestId(name), AttemptNumber(1), PoolId("pool"),
                           CallStage::kEnded, result});
  }
  /** Names of the requests that were granted after a wait, since the last. */
  std::vector<std::string> Granted() {
    std::vector<std::string> names;
    for (const QueueEvent& event : dispatcher.TakeEvents()) {
      if (event.push && !event.reply.endpoint.empty()) {
        names.push_back(event.reply.request.value());
      }
    }
    return names;
  }
  size_t queued() const { return dispatcher.QueueOf(PoolId("pool"))->size(); }

  PlacementPolicy placement;
  PoolDispatcher dispatcher;
  GatewayConfigPtr config;
};

using Names = std::vector<std::string>;

// Guards against grants or slots that are lost when a VM, a link, a caller or
// the dispatcher goes while requests wait.
TEST_CASE("Requests wait for a slot, whatever fails meanwhile") {
  SmallPool pool;
  REQUIRE(!pool.Ask(0, "first").endpoint.empty());
  REQUIRE(!pool.Ask(0, "second", "vm2").endpoint.empty());
  const DispatchReply waits = pool.Ask(1, "third");
  REQUIRE(waits.queued);
  REQUIRE(waits.endpoint.empty());
  REQUIRE(pool.Ask(2, "fourth", "vm2").queued);
  pool.dispatcher.Tick(At(40));
  REQUIRE(pool.Granted().empty());

  SECTION("an answer that ends makes room for one") {
    pool.End(60, "first", CallResult::kAnswered);
    REQUIRE(pool.Granted() == Names{"third"});
    REQUIRE(pool.queued() == 1);
  }
  SECTION("a grant that is returned, as its caller has left, goes on") {
    pool.End(60, "first", CallResult::kAnswered);
    pool.End(62, "third", CallResult::kAborted);
    REQUIRE(pool.Granted() == Names{"third", "fourth"});
  }
  SECTION("a caller that leaves the queue gets no grant") {
    pool.End(50, "third", CallResult::kAborted);
    pool.End(60, "first", CallResult::kAnswered);
    REQUIRE(pool.Granted() == Names{"fourth"});
  }
  SECTION("a VM that goes frees its slots and leaves the queue") {
    pool.dispatcher.OnVmDown(At(50), VmId("vm2"));
    REQUIRE(pool.Granted() == Names{"third"});
    REQUIRE(pool.queued() == 0);
  }
  SECTION("the next dispatcher knows the age of a request that is moved") {
    SmallPool next;
    next.dispatcher.OnInFlightCalls(
        At(100), VmId("vm"),
        {PoolId("pool"),
         {{RequestId("first"), AttemptNumber(1), EndpointId("e")},
          {RequestId("second"), AttemptNumber(1), EndpointId("e")}},
         {}});
    DispatchRequest moved = SmallPool::Request("third");
    moved.waited = Duration::Milliseconds(1650);
    moved.objective = Duration();
    const DispatchReply reply = next.dispatcher.OnDispatchRequest(
        At(100), VmId("vm"), *next.config, moved);
    REQUIRE(reply.deadline_unreachable);  // its caller waits 1.7 s
    REQUIRE(reply.retry_after > Duration());
  }
  SECTION("a second dispatcher serves its own queue") {
    SmallPool second;
    REQUIRE(!second.Ask(50, "fifth").endpoint.empty());
    REQUIRE(!second.Ask(50, "sixth").endpoint.empty());
    REQUIRE(second.Ask(50, "seventh").queued);
    second.End(60, "third", CallResult::kAborted);  // of the other queue
    second.End(60, "fifth", CallResult::kAnswered);
    REQUIRE(second.Granted() == Names{"seventh"});
  }
  SECTION("VMs that read no grants are answered at once") {
    DispatchRequest old = SmallPool::Request("old");
    old.reads_grants = false;
    REQUIRE(!pool.dispatcher
                 .OnDispatchRequest(At(50), VmId("vm"), *pool.config, old)
                 .endpoint.empty());
  }
  SECTION("what can't be answered within its caller's wait is refused") {
    pool.dispatcher.Tick(At(1800));
    std::vector<QueueEvent> events = pool.dispatcher.TakeEvents();
    std::erase_if(events, [](const QueueEvent& event) {
      return event.kind != QueueEvent::Kind::kRefused;
    });
    REQUIRE(events.size() == 2);
    for (const QueueEvent& event : events) {
      REQUIRE(event.push);
      REQUIRE(event.reply.deadline_unreachable);
      // A third of the 8.2 s that are left.
      REQUIRE(event.reply.retry_after <= Duration::Milliseconds(2734));
    }
    REQUIRE(pool.queued() == 0);
  }
}

// Guards against requests that wait in vain, and against callers that are
// refused together and come back together.
TEST_CASE("In a long overload requests are refused on arrival, spread") {
  SmallPool pool;
  int64_t now = 0;
  std::vector<Duration> retry_after;
  for (int n = 0; n < 400; ++n, now += 10) {
    const DispatchReply reply = pool.Ask(now, std::to_string(n));
    if (!reply.queued && reply.endpoint.empty()) {
      retry_after.push_back(reply.retry_after);
    }
    if (n % 20 == 0) pool.dispatcher.Tick(At(now));
  }
  REQUIRE(retry_after.size() > 100);
  const auto [least, most] =
      std::minmax_element(retry_after.begin(), retry_after.end());
  REQUIRE(*least >= Duration::Milliseconds(300));
  REQUIRE(*most <= Duration::Milliseconds(3334));
  REQUIRE(*most - *least > Duration::Milliseconds(300));
}

}  // namespace
}  // namespace zr
