#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "zr_gateway/tests/simulated_engines.h"
#include "zr_gateway/zr_gateway.h"

namespace zr {

/** Results of SimulateWave(). */
struct WaveResult {
  struct Team {
    int callers = 0;
    int in_time = 0;
  };
  int callers = 0;
  int in_time = 0;  // first token and pauses, from the caller's first attempt
  int late = 0;     // answered late, or with a longer pause
  int refused = 0;  // attempts
  int unanswered = 0;
  int over_slots = 0;  // grants at an engine that had no free slot
  std::map<TeamId, Team> teams;
  std::map<int64_t, Team> sizes;  // by length of the prompt
  double busy_slots = 0;          // share while requests waited, mean
  std::vector<Duration> retry_after;
  Duration longest_refusal_wait;
};

/** Load of SimulateWave(). */
struct WaveLoad {
  uint64_t seed = 1;
  bool fair_queue = true;
  double base_rate = 216;    // callers a second, in three domains
  double wave_factor = 3.5;  // of one of the domains
  size_t engines = 54;
  double medium_rate = 0;  // callers with prompts of 45,000 tokens a second
  double long_rate = 0;    // the same, 190,000 tokens
};

/**
 * Simulates, in virtual time, engines behind one dispatcher, and callers of
 * five teams (two large ones with 40 in 100 of the callers each) for 14 s, of
 * which one domain's callers come more often in 8 s. A refused caller repeats
 * once after its Retry-After. Messages take no time.
 */
class WaveSimulation {
 public:
  explicit WaveSimulation(const WaveLoad& load)
      : load_(load),
        profile_(Engine()),
        engines_(profile_, load.engines),
        dispatcher_(placement_, load.seed),
        random_(load.seed) {
    dispatcher_.SetFairQueue(load.fair_queue);
    GatewayConfigParts parts;
    ServicePolicy service;
    service.name = PoolId("pool");
    service.engine = profile_;
    parts.services = {service};
    Route route;
    route.name = "r";
    route.path_prefix = "/";
    route.services = {{service.name, 1}};
    route.latency_objective = Short().objective;
    parts.routes = {route};
    parts.teams = {{TeamId("a"), {"1"}, {}}, {TeamId("b"), {"2"}, {}}};
    config_ = *GatewayConfig::Create(parts);
    for (size_t i = 0; i < load.engines; ++i) {
      ListedEndpoint endpoint;
      endpoint.id = EndpointId("e" + std::to_string(i));
      endpoint.service = PoolId("pool");
      endpoint.address = "127.0.0.1:" + std::to_string(i + 1);
      endpoint.slots = profile_.slots;
      dispatcher_.tracker().Upsert(TimePoint(), endpoint, 0);
    }
  }

  static EngineProfile Engine() {
    EngineProfile engine;
    engine.slots = 12;
    engine.kv_capacity = TokenCount(232'000);
    engine.stride = 48;
    engine.chunk = TokenCount(2048);
    engine.step_ms = 1.02;
    engine.sequence_ms = 0.0053;
    engine.context_ms_per_1k = 0.0028;
    engine.prefill_tokens_per_ms = 206;
    engine.pairs_ms_per_million = 0.138;
    return engine;
  }

  WaveResult Run() {
    for (int i = 0; i < 3; ++i) ScheduleArrival(TimePoint(), i, Short());
    ScheduleArrival(TimePoint(), 1, Medium());
    ScheduleArrival(TimePoint(), 2, Long());
    At(TimePoint() + kTick, [this](TimePoint now) { Tick(now); });
    while (true) {
      const TimePoint timer =
          timers_.empty() ? TimePoint::Max() : timers_.top().at;
      const TimePoint next = std::min(timer, engines_.NextEvent());
      if (next == TimePoint::Max()) break;
      engines_.Advance(next);
      while (!timers_.empty() && timers_.top().at <= next) {
        const auto run = timers_.top().run;
        timers_.pop();
        run(next);
      }
    }
    if (samples_ > 0) result_.busy_slots /= samples_;
    return result_;
  }

 private:
  static constexpr Duration kTick = Duration::Milliseconds(40);
  static constexpr Duration kEnd = Duration::Seconds(14);
  struct Kind {
    int64_t prompt = 0;
    int events = 0;
    Duration objective;
    Duration gap;
    Duration limit;
    double rate = 0;  // of callers of one domain
    double wave_factor = 1;
  };
  Kind Short() const {
    return {4960,
            31,
            Duration::Milliseconds(250),
            Duration::Milliseconds(250),
            Duration::Seconds(10),
            load_.base_rate / 3,
            load_.wave_factor};
  }
  Kind Medium() const {
    return {45'000,
            18,
            Duration::Milliseconds(1500),
            Duration::Milliseconds(600),
            Duration::Seconds(10),
            load_.medium_rate,
            1};
  }
  Kind Long() const {
    return {190'000,
            15,
            Duration::Milliseconds(6000),
            Duration::Milliseconds(1000),
            Duration::Seconds(15),
            load_.long_rate,
            1};
  }
  static constexpr Duration kLimit = Duration::Seconds(15);

  struct Timer {
    TimePoint at;
    uint64_t number;
    std::function<void(TimePoint)> run;
    friend bool operator<(const Timer& a, const Timer& b) {
      return std::pair(b.at, b.number) < std::pair(a.at, a.number);
    }
  };
  struct Caller {
    Kind kind;
    TimePoint first_attempt;
    uint64_t fingerprint = 0;
    TeamId team;
    DomainId domain;
    int attempts = 0;
    TimePoint last_attempt;
    bool answered = false;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  void At(TimePoint at, std::function<void(TimePoint)> run) {
    timers_.push({at, ++timer_count_, std::move(run)});
  }

  void ScheduleArrival(TimePoint now, int domain, const Kind& kind) {
    if (kind.rate <= 0) return;
    const bool in_wave = domain == 0 && now > TimePoint() + kWaveBegin &&
                         now < TimePoint() + kWaveBegin + kWaveLength;
    const double rate = kind.rate * (in_wave ? kind.wave_factor : 1);
    const TimePoint at = now + Duration::Microseconds(static_cast<int64_t>(
                                   -1e6 * std::log(1 - random_.Unit()) / rate));
    if (at > TimePoint() + kEnd) return;
    At(at, [this, domain, kind](TimePoint when) {
      auto caller = std::make_shared<Caller>();
      caller->kind = kind;
      ++result_.sizes[kind.prompt].callers;
      caller->first_attempt = when;
      caller->fingerprint = ++caller_count_;
      const double pick = random_.Unit();
      const int team = pick < 0.4   ? 0
                       : pick < 0.8 ? 1
                                    : 2 + (pick > 0.87) + (pick > 0.94);
      caller->team = TeamId("t" + std::to_string(team));
      caller->domain = DomainId("d" + std::to_string(domain));
      ++result_.callers;
      ++result_.teams[caller->team].callers;
      Ask(when, caller);
      ScheduleArrival(when, domain, kind);
    });
  }

  void Ask(TimePoint now, const CallerPtr& caller) {
    ++caller->attempts;
    caller->last_attempt = now;
    DispatchRequest request;
    request.request = RequestId(std::to_string(caller->fingerprint) + "-" +
                                std::to_string(caller->attempts));
    request.call_number = AttemptNumber(1);
    request.pool = PoolId("pool");
    request.prompt = TokenCount(caller->kind.prompt);
    request.max_answer = TokenCount(48 * caller->kind.events);
    request.objective = caller->kind.objective;
    request.max_gap = caller->kind.gap;
    request.time_left = caller->kind.limit - (now - caller->first_attempt);
    request.team = caller->team;
    request.domain = caller->domain;
    request.fingerprint = Fingerprint(caller->fingerprint);
    request.reads_grants = true;
    waiting_[request.request] = caller;
    const DispatchReply reply =
        dispatcher_.OnDispatchRequest(now, VmId("vm"), *config_, request);
    if (!reply.queued) OnReply(now, reply);
    Deliver(now);
  }

  void Deliver(TimePoint now) {
    for (const QueueEvent& event : dispatcher_.TakeEvents()) {
      if (event.push) OnReply(now, event.reply);
    }
  }

  void OnReply(TimePoint now, const DispatchReply& reply) {
    const CallerPtr caller = waiting_.at(reply.request);
    waiting_.erase(reply.request);
    if (!reply.endpoint.empty()) return StartCall(now, caller, reply);
    ++result_.refused;
    result_.retry_after.push_back(reply.retry_after);
    result_.longest_refusal_wait =
        std::max(result_.longest_refusal_wait, now - caller->last_attempt);
    if (caller->attempts > 1) {
      ++result_.unanswered;
      return;
    }
    At(now + reply.retry_after,
       [this, caller](TimePoint when) { Ask(when, caller); });
  }

  void StartCall(TimePoint now, const CallerPtr& caller,
                 const DispatchReply& reply) {
    const auto engine =
        static_cast<size_t>(std::stoi(reply.endpoint.value().substr(1)));
    if (++calls_at_[engine] > profile_.slots) ++result_.over_slots;
    auto job = std::make_shared<SimulatedEngines::Job>();
    job->events_left = caller->kind.events;
    job->context_tokens = static_cast<double>(caller->kind.prompt);
    auto last = std::make_shared<TimePoint>();
    auto in_time = std::make_shared<bool>(true);
    const CallProgress progress{reply.request, reply.call_number,
                                PoolId("pool"), CallStage::kPrefillDone,
                                CallResult::kAnswered};
    job->on_event = [this, caller, last, in_time, progress](TimePoint at) {
      if (*last == TimePoint()) {
        *in_time = at - caller->first_attempt <= caller->kind.objective;
        *last = at;
        dispatcher_.OnProgress(at, VmId("vm"), progress);
        return Later(at);
      }
      if (at - *last > caller->kind.gap) *in_time = false;
      *last = at;
    };
    job->on_end = [this, caller, in_time, progress, engine](TimePoint at) {
      --calls_at_[engine];
      ++(*in_time ? result_.in_time : result_.late);
      if (*in_time) {
        ++result_.teams[caller->team].in_time;
        ++result_.sizes[caller->kind.prompt].in_time;
      }
      CallProgress ended = progress;
      ended.stage = CallStage::kEnded;
      dispatcher_.OnProgress(at, VmId("vm"), ended);
      Later(at);
    };
    std::vector<size_t> helpers;
    for (const EndpointId& helper : reply.helpers) {
      helpers.push_back(
          static_cast<size_t>(std::stoi(helper.value().substr(1))));
    }
    engines_.Start(now, engine, job, helpers, reply.prefill_us / 1000.0);
  }

  /** Replies start jobs, which can't be done while a pass ends. */
  void Later(TimePoint now) {
    At(now, [this](TimePoint when) { Deliver(when); });
  }

  void Tick(TimePoint now) {
    dispatcher_.Tick(now);
    Deliver(now);
    const PoolQueue* queue = dispatcher_.QueueOf(PoolId("pool"));
    if (queue != nullptr && !queue->empty()) {
      int busy = 0;
      for (const auto& [engine, calls] : calls_at_) busy += calls;
      result_.busy_slots +=
          busy / (static_cast<double>(load_.engines) * profile_.slots);
      ++samples_;
    }
    if (now < TimePoint() + kEnd + kLimit) {
      At(now + kTick, [this](TimePoint when) { Tick(when); });
    }
  }

  static constexpr Duration kWaveBegin = Duration::Seconds(3);
  static constexpr Duration kWaveLength = Duration::Seconds(8);

  WaveLoad load_;
  EngineProfile profile_;
  SimulatedEngines engines_;
  PlacementPolicy placement_;
  PoolDispatcher dispatcher_;
  Random random_;
  GatewayConfigPtr config_;
  std::priority_queue<Timer> timers_;
  uint64_t timer_count_ = 0;
  uint64_t caller_count_ = 0;
  std::map<RequestId, CallerPtr> waiting_;
  std::map<size_t, int> calls_at_;
  WaveResult result_;
  int samples_ = 0;
};

inline WaveResult SimulateWave(const WaveLoad& load) {
  return WaveSimulation(load).Run();
}

}  // namespace zr
