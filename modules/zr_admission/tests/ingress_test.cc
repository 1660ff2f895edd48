#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <set>

#include "owner_fixture.h"

namespace zr {
namespace {

SelectionCandidate MakeCandidate(int index, const char* domain = "sala") {
  SelectionCandidate candidate;
  EndpointSummary& summary = candidate.summary;
  summary.endpoint = EndpointId("e" + std::to_string(index));
  summary.pool = PoolId("reader");
  summary.domain = DomainId(domain);
  summary.accepts_new = true;
  summary.kv_capacity = TokenCount(100'000);
  summary.prefill_tokens_per_second = 10'000;
  candidate.round_trip = Duration::Milliseconds(1);
  return candidate;
}

SelectionQuery MakeQuery(int64_t prompt) {
  SelectionQuery query;
  query.pool = PoolId("reader");
  query.prompt = TokenCount(prompt);
  query.long_prompt = prompt > 32'768;
  return query;
}

// Guards against long prompts spread over all endpoints, against ingresses that
// all pick the same endpoint, and against ineligible endpoints.
TEST_CASE("Endpoint selection") {
  std::vector<SelectionCandidate> candidates;
  candidates.reserve(6);
  for (int i = 0; i < 6; ++i) candidates.push_back(MakeCandidate(i));
  const std::vector<EndpointId> order =
      ScoredRule::LongPromptOrder(candidates, PoolId("reader"));

  SECTION("separates long prompts from short ones") {
    const std::set<EndpointId> for_long(order.begin(), order.begin() + 2);
    for (uint64_t seed = 0; seed < 50; ++seed) {
      EndpointSelector selector(seed);
      SelectionQuery query = MakeQuery(60'000);
      query.long_prompt_endpoints = 2;
      for (const EndpointId& choice : selector.Choose(candidates, query)) {
        REQUIRE(for_long.contains(choice));
      }
      query = MakeQuery(1'000);
      query.long_prompt_endpoints = 2;
      for (const EndpointId& choice : selector.Choose(candidates, query)) {
        REQUIRE_FALSE(for_long.contains(choice));
      }
    }
    SECTION("but lets short prompts overflow if the other endpoints are busy") {
      for (SelectionCandidate& candidate : candidates) {
        if (!for_long.contains(candidate.summary.endpoint)) {
          candidate.summary.wait_short = Duration::Seconds(2);
        }
      }
      EndpointSelector selector(1);
      SelectionQuery query = MakeQuery(1'000);
      query.long_prompt_endpoints = 2;
      REQUIRE(for_long.contains(selector.Choose(candidates, query)[0]));
    }
  }
  SECTION("spreads ingresses over equal endpoints") {
    std::map<EndpointId, int> first;
    for (uint64_t seed = 0; seed < 180; ++seed) {
      EndpointSelector selector(seed);
      ++first[selector.Choose(candidates, MakeQuery(1'000))[0]];
    }
    REQUIRE(first.size() == 6);
    for (const auto& [endpoint, count] : first) REQUIRE(count < 60);
  }
  SECTION("prefers an endpoint with the cached prefix unless it is busy") {
    SelectionQuery query = MakeQuery(20'000);
    query.prefixes = {PrefixHash(1), PrefixHash(2)};
    candidates[3].summary.prefixes = {PrefixHash(2)};
    EndpointSelector selector(1);
    REQUIRE(selector.Choose(candidates, query)[0] == EndpointId("e3"));
    candidates[3].summary.wait_short = Duration::Seconds(5);
    REQUIRE(selector.Choose(candidates, query)[0] != EndpointId("e3"));
  }
  SECTION("excludes endpoints that were tried, don't accept or are too small") {
    SelectionQuery query = MakeQuery(90'000);
    query.excluded = {EndpointId("e0")};
    candidates[1].summary.accepts_new = false;
    candidates[2].summary.kv_capacity = TokenCount(80'000);
    candidates[3].summary.pool = PoolId("other");
    EndpointSelector selector(1);
    for (int i = 0; i < 20; ++i) {
      const Selection choice = selector.Choose(candidates, query);
      REQUIRE(std::set<EndpointId>(choice.begin(), choice.end()) ==
              std::set<EndpointId>{EndpointId("e4"), EndpointId("e5")});
    }
  }
  SECTION("avoids a failure domain only if another one has an endpoint") {
    candidates = {MakeCandidate(0, "sala"), MakeCandidate(1, "arboga")};
    SelectionQuery query = MakeQuery(100);
    query.avoided_domains = {DomainId("sala")};
    EndpointSelector selector(1);
    REQUIRE(selector.Choose(candidates, query) == Selection{EndpointId("e1")});
    query.excluded = {EndpointId("e1")};
    REQUIRE(selector.Choose(candidates, query) == Selection{EndpointId("e0")});
  }
  SECTION("by the baseline picks the less loaded of two random endpoints") {
    for (int i = 0; i < 6; ++i) {
      candidates[static_cast<size_t>(i)].load.emplace().running = i;
    }
    std::set<EndpointId> seen;
    BaselineSelector selector(1);
    for (int i = 0; i < 100; ++i) {
      const Selection choice = selector.Choose(candidates, MakeQuery(1'000));
      REQUIRE(choice.size() == 2);
      REQUIRE(choice[0] < choice[1]);
      seen.insert(choice[0]);
    }
    REQUIRE(seen.size() == 5);
  }
}

// Guards against a number of endpoints for long prompts that flaps or includes
// all endpoints.
TEST_CASE("The endpoints for long prompts follow the offered load") {
  LongPromptShare share(VmId("vm1"));
  const PoolId pool("reader");
  TimePoint now = AtMs(1'000);
  REQUIRE(share.LongPromptEndpoints(now, pool, 10) == 0);
  share.OnPeerDemand(VmId("vm2"), {PoolDemand{pool, 700, 300}});
  REQUIRE(share.LongPromptEndpoints(now, pool, 10) == 3);
  for (const int64_t rate : {290, 310, 305, 295}) {
    share.OnPeerDemand(VmId("vm2"), {PoolDemand{pool, 1'000 - rate, rate}});
    REQUIRE(share.LongPromptEndpoints(now, pool, 10) == 3);
  }
  share.OnPeerDemand(VmId("vm2"), {PoolDemand{pool, 0, 1'000}});
  REQUIRE(share.LongPromptEndpoints(now, pool, 10) == 9);
  REQUIRE(share.LongPromptEndpoints(now, pool, 1) == 1);
  share.OnVmDown(VmId("vm2"));
  share.OnOffered(now, pool, TokenCount(100'000), true);
  share.OnOffered(now, pool, TokenCount(100'000), false);
  REQUIRE(share.ShareOf(now, pool) == Approx(0.5));
}

/** A coordinator of three owners; the tests write the owners' replies. */
struct GatherFixture {
  std::vector<GatherCandidate> candidates;
  std::unique_ptr<GatherCoordinator> coordinator;
  GatherCoordinator::Messages last;

  GatherFixture() {
    PoolPolicy policy;
    policy.pool = PoolId("reader");
    coordinator = std::make_unique<GatherCoordinator>(VmId("c"), policy, 1);
    for (int i = 3; i > 0; --i) {
      candidates.push_back(GatherCandidate{
          EndpointId("e" + std::to_string(i)), VmId("o" + std::to_string(i)),
          TokenCount(100'000 + i), TokenCount(100'000), true});
    }
    coordinator->OnCandidates(candidates);
  }

  void Submit(TimePoint now, const char* id = "g",
              int64_t time_left_ms = 120'000) {
    AdmissionRequest request;
    request.request = RequestId(id);
    request.attempt = AttemptNumber(1);
    request.prompt = TokenCount(200'000);
    request.max_answer = TokenCount(100);
    request.time_left = Duration::Milliseconds(time_left_ms);
    request.queue_if_busy = true;
    last = coordinator->OnRequest(now, VmId("vm1"), request);
  }

  /** Answers the reservation request among the last messages.
   * @returns its endpoint */
  EndpointId Reply(TimePoint now, bool reserved, uint64_t number) {
    const auto [to, reserve] = Only<GatherReserve>();
    GatherReply reply{reserve.request, reserve.attempt,     reserve.endpoint,
                      reserved,        GrantNumber(number), Duration(),
                      Incarnation(9)};
    last = coordinator->OnReply(now, to, reply);
    return reserve.endpoint;
  }

  template <typename T>
  std::vector<std::pair<VmId, T>> All() const {
    std::vector<std::pair<VmId, T>> found;
    for (const OutgoingMessage& message : last) {
      if (const T* typed = std::get_if<T>(&message.message)) {
        found.emplace_back(message.to, *typed);
      }
    }
    return found;
  }
  template <typename T>
  std::pair<VmId, T> Only() const {
    const auto all = All<T>();
    REQUIRE(all.size() == 1);
    return all[0];
  }
};

// Guards against gathers that deadlock or keep reservations they don't use.
TEST_CASE("A gather") {
  GatherFixture f;
  f.Submit(AtMs(0));
  REQUIRE(f.Reply(AtMs(1), true, 11) == EndpointId("e1"));

  SECTION("reserves in ascending order and grants all members together") {
    REQUIRE(f.Reply(AtMs(2), true, 12) == EndpointId("e2"));
    REQUIRE(f.Reply(AtMs(3), true, 13) == EndpointId("e3"));
    const auto [to, grant] = f.Only<Grant>();
    REQUIRE(to == VmId("vm1"));
    REQUIRE(grant.endpoint == EndpointId("e1"));
    REQUIRE(grant.number == GrantNumber(11));
    REQUIRE(grant.members.size() == 2);
    REQUIRE(grant.members[1].owner == VmId("o3"));
    TokenCount sum = grant.kv_tokens;
    for (const GatherMember& member : grant.members) sum += member.kv_tokens;
    REQUIRE(sum == TokenCount(200'100));
    SECTION("and resends a lost grant with the remaining start time") {
      f.Submit(AtMs(503));
      REQUIRE(f.Only<Grant>().second.start_within ==
              Duration::Milliseconds(500));
      f.Submit(AtMs(1'100));
      REQUIRE(f.All<Grant>().empty());
    }
  }
  SECTION("releases all members if one is refused, and retries") {
    f.Reply(AtMs(2), false, 0);
    REQUIRE(f.Only<GatherRelease>().second.number == GrantNumber(11));
    const TimePoint retry = f.coordinator->NextWakeup();
    REQUIRE(retry > AtMs(2));
    f.last = f.coordinator->OnTick(retry);
    REQUIRE(f.Only<GatherReserve>().second.endpoint == EndpointId("e1"));
  }
  SECTION("releases a member whose reply is missing or late") {
    f.last = f.coordinator->OnTick(AtMs(800));
    REQUIRE(f.All<GatherRelease>().size() == 2);
    f.last = f.coordinator->OnReply(
        AtMs(810), VmId("o2"),
        GatherReply{RequestId("g"), AttemptNumber(1), EndpointId("e2"), true,
                    GrantNumber(12), Duration(), Incarnation(9)});
    REQUIRE(f.Only<GatherRelease>().second.number == GrantNumber(12));
  }
  SECTION("runs alone in its pool") {
    f.Submit(AtMs(2), "h");
    REQUIRE(f.last.empty());
    f.last = f.coordinator->OnCancel(
        AtMs(3), VmId("vm1"),
        CancelAdmission{RequestId("g"), AttemptNumber(1), EndpointId()});
    REQUIRE(f.All<GatherRelease>().size() == 2);
    REQUIRE(f.Only<GatherReserve>().second.request == RequestId("h"));
  }
  SECTION("starts again if the owner of a reserved member fails") {
    f.last = f.coordinator->OnVmDown(AtMs(5), VmId("o1"));
    REQUIRE(f.All<GatherRelease>().size() == 2);
    REQUIRE(f.All<GatherReserve>().empty());
  }
  SECTION("is refused once its deadline can't be met") {
    f.Reply(AtMs(2), false, 0);
    TimePoint now = AtMs(2);
    bool refused = false;
    while (!refused && now < AtMs(120'000)) {
      now = f.coordinator->NextWakeup();
      f.last = f.coordinator->OnTick(now);
      refused = !f.All<Refusal>().empty();
      if (!f.All<GatherReserve>().empty()) f.Reply(now, false, 0);
    }
    REQUIRE(refused);
    REQUIRE(f.Only<Refusal>().second.reason == RefusalReason::kDeadline);
    REQUIRE(f.coordinator->pending() == 0);
    // The gather needs 25 s of prefill and 2 s of decode before its deadline.
    REQUIRE(now >= AtMs(92'000));
    REQUIRE(now <= AtMs(94'000));
  }
}

// Guards against teams that exceed their limits, and against VMs that can't
// admit a team's first requests.
TEST_CASE("Team limits are split among VMs") {
  const char* seed_text = std::getenv("ZR_SEED");
  const uint64_t seed =
      seed_text != nullptr ? std::strtoull(seed_text, nullptr, 10) : 1;
  INFO("ZR_SEED=" << seed);
  Random random(seed);
  const TeamId team("t");
  auto teams = std::make_shared<TeamPolicies>();
  (*teams)[team].tokens_per_second = 10'000;
  (*teams)[team].kv_limit = TokenCount(1'000'000);
  std::vector<TeamLimiter> limiters;
  limiters.reserve(5);
  for (int i = 0; i < 5; ++i) {
    limiters.emplace_back(VmId("vm" + std::to_string(i)), teams);
  }
  TimePoint now = AtMs(1'000);
  auto heartbeat = [&] {
    for (size_t i = 0; i < limiters.size(); ++i) {
      const auto demand = limiters[i].PublishDemand(now);
      for (size_t j = 0; j < limiters.size(); ++j) {
        if (i != j) {
          limiters[j].OnPeerDemand(VmId("vm" + std::to_string(i)), demand);
        }
      }
    }
  };
  heartbeat();
  SECTION("so that the shares add up to the limit and the rate is used") {
    double admitted = 0;
    TokenCount most_held;
    std::vector<std::pair<size_t, TokenCount>> held;
    TokenCount holding;
    for (int step = 0; step < 4'000; ++step) {
      now = now + Duration::Milliseconds(10);
      // Two of the five VMs get nearly all of the load.
      const size_t vm = random.Chance(0.95) ? random.Below(2) : random.Below(5);
      const TokenCount tokens(static_cast<int64_t>(100 + random.Below(500)));
      const TokenCount kv(static_cast<int64_t>(1'000 + random.Below(20'000)));
      if (limiters[vm].TryAdmit(now, team, tokens, kv).allowed) {
        admitted += static_cast<double>(tokens.value());
        held.emplace_back(vm, kv);
        holding += kv;
      }
      if (held.size() > 60 || (!held.empty() && random.Chance(0.3))) {
        limiters[held.front().first].OnFinished(now, team, held.front().second,
                                                TokenCount(0));
        holding -= held.front().second;
        held.erase(held.begin());
      }
      most_held = std::max(most_held, holding);
      if (step % 25 == 0) heartbeat();
      if (step % 25 == 1) {
        double rates = 0;
        TokenCount kvs;
        for (const TeamLimiter& limiter : limiters) {
          rates += limiter.RateShare(team);
          kvs += limiter.KvShare(team);
        }
        REQUIRE(rates <= 10'000.001);
        REQUIRE(kvs <= TokenCount(1'000'000));
      }
    }
    // 40 s at the limit and a burst of 2 s.
    REQUIRE(admitted <= 10'000 * 43);
    REQUIRE(admitted >= 10'000 * 30);
    REQUIRE(most_held <= TokenCount(1'000'000));
  }
  SECTION("so that a VM without previous demand can admit requests") {
    for (int i = 0; i < 50; ++i) {
      limiters[0].TryAdmit(now, team, TokenCount(5'000), TokenCount(1));
    }
    heartbeat();
    REQUIRE(limiters[4].RateShare(team) > 0);
    REQUIRE(limiters[4]
                .TryAdmit(now, team, TokenCount(50), TokenCount(100))
                .allowed);
  }
  SECTION(
      "so that a request larger than the current share is allowed after its "
      "demand is known") {
    REQUIRE_FALSE(limiters[2]
                      .TryAdmit(now, team, TokenCount(100), TokenCount(800'000))
                      .allowed);
    heartbeat();
    REQUIRE(limiters[2]
                .TryAdmit(now, team, TokenCount(100), TokenCount(800'000))
                .allowed);
  }
  SECTION("and a prompt longer than the burst leaves a debt") {
    REQUIRE(limiters[0]
                .TryAdmit(now, team, TokenCount(20'000), TokenCount(1))
                .allowed);
    const LimitDecision next =
        limiters[0].TryAdmit(now, team, TokenCount(100), TokenCount(1));
    REQUIRE_FALSE(next.allowed);
    REQUIRE(next.retry_after > Duration::Seconds(5));
  }
}

}  // namespace
}  // namespace zr
