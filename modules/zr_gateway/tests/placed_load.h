#pragma once

#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zr_gateway/tests/simulated_engines.h"

namespace zr {

/** Profile of a typical production engine. */
inline EngineProfile ExampleEngine() {
  EngineProfile engine;
  engine.slots = 16;
  engine.kv_capacity = TokenCount(450'000);
  engine.stride = 46;
  engine.chunk = TokenCount(2048);
  engine.step_ms = 0.925;
  engine.sequence_ms = 0.00483;
  engine.context_ms_per_1k = 0.00254;
  engine.prefill_tokens_per_ms = 256;
  engine.pairs_ms_per_million = 0.0917;
  engine.hop_ms = 0.1;
  return engine;
}

inline ListedEndpoint ExampleEndpoint(int index) {
  ListedEndpoint endpoint;
  endpoint.id = EndpointId("e" + std::to_string(index));
  endpoint.service = ServiceName("pool");
  endpoint.address = "127.0.0.1:" + std::to_string(index + 1);
  endpoint.domain = DomainId("a");
  endpoint.slots = 16;
  return endpoint;
}

/** Whether each VM or one dispatcher chooses the endpoints. */
enum class DispatchMode { kEachVm, kDispatcher };

/** The first engines are slower by a factor from 2 s to 12 s. */
struct SlowEngines {
  size_t count = 0;
  double factor = 1;
};

/** Results of a simulated load. */
struct LoadResult {
  int short_offered = 0;
  int short_in_time = 0;
  int long_offered = 0;
  int long_in_time = 0;
  double value_in_time = 0;  // total value of the answers in time
};

/**
 * Simulates 20 s of arrivals in virtual time with 16 engines and 13 VMs: first
 * mostly long prompts, then mostly short ones, then long ones again.
 */
inline LoadResult SimulateLoad(uint64_t seed, DispatchMode mode,
                               const SlowEngines& slow = {},
                               PaceMode pace = PaceMode::kFixed) {
  constexpr size_t kEngines = 16;
  constexpr size_t kVms = 13;
  constexpr Duration kLength = Duration::Seconds(20);
  const EngineProfile profile = ExampleEngine();
  SimulatedEngines engines(profile, kEngines);
  PlacementPolicy dispatched;
  PlacementPolicy local{PlacementPolicy::Options{.pack = false}};
  Random random(seed);
  std::vector<EndpointTracker> trackers(mode == DispatchMode::kEachVm ? kVms
                                                                      : 1);
  for (EndpointTracker& tracker : trackers) {
    tracker.SetPace(pace);
    for (size_t i = 0; i < kEngines; ++i) {
      tracker.Upsert(TimePoint(), ExampleEndpoint(static_cast<int>(i)), 0);
    }
  }
  LoadResult result;
  int number = 0;

  const auto arrive = [&](TimePoint now, bool is_long) {
    const double spread = std::exp(0.5 * (random.Unit() + random.Unit() - 1));
    CallRequirements requirements;
    requirements.shape = {
        TokenCount(static_cast<int64_t>((is_long ? 210'000 : 4'960) * spread)),
        TokenCount(1'600)};
    requirements.objective = Duration::Milliseconds(is_long ? 3000 : 300);
    requirements.max_gap = Duration::Milliseconds(is_long ? 800 : 200);
    requirements.time_left = Duration::Seconds(15);
    EndpointTracker& tracker = trackers[random.Below(trackers.size())];
    const PlacementPolicy& placement =
        mode == DispatchMode::kEachVm ? local : dispatched;
    auto plan = placement.Choose(now, tracker, ServiceName("pool"), &profile,
                                 requirements, random.Next());
    ++(is_long ? result.long_offered : result.short_offered);
    if (!plan) return;

    CallLoad load;
    load.key = {VmId("vm"), RequestId(std::to_string(++number)), 1};
    load.prefill_ms = plan->prefill_ms;
    load.kv_tokens = requirements.shape.prompt + requirements.shape.max_answer;
    load.max_gap = requirements.max_gap;
    load.value = RequestValue(requirements.shape);
    load.expires = now + requirements.time_left;
    if (plan->starts_at_once) {
      load.forecast_ms = plan->expected_first_token.seconds() * 1000;
    }
    load.split = !plan->helpers.empty();
    const auto index = [](const PlacedEndpoint& placed) {
      return static_cast<size_t>(std::stoi(placed.endpoint.value().substr(1)));
    };
    tracker.OnStart(now, plan->primary.endpoint, load);
    load.takes_slot = false;
    load.kv_tokens = TokenCount(0);
    std::vector<size_t> helpers;
    for (const PlacedEndpoint& helper : plan->helpers) {
      tracker.OnStart(now, helper.endpoint, load);
      helpers.push_back(index(helper));
    }

    auto job = std::make_shared<SimulatedEngines::Job>();
    job->events_left = is_long ? 17 : 35;
    job->context_tokens =
        static_cast<double>(requirements.shape.prompt.value());
    auto last = std::make_shared<TimePoint>(now);
    auto in_time = std::make_shared<bool>(true);
    auto first = std::make_shared<bool>(true);
    const CallKey key = load.key;
    job->on_event = [&tracker, plan = *plan, key, requirements, now, last,
                     in_time, first](TimePoint at) {
      const Duration bound =
          *first ? requirements.objective : requirements.max_gap;
      if (at - (*first ? now : *last) > bound) *in_time = false;
      if (*first) {
        std::vector<EndpointId> readers = {plan.primary.endpoint};
        for (const auto& helper : plan.helpers) {
          readers.push_back(helper.endpoint);
        }
        tracker.OnFirstEvent(at, readers, key, at - now);
        tracker.OnPrefillDone(at, plan.primary.endpoint, key);
        for (const auto& helper : plan.helpers) {
          tracker.OnEnd(at, helper.endpoint, key);
        }
      }
      *first = false;
      *last = at;
    };
    const double value = load.value;
    job->on_end = [&tracker, &result, plan = *plan, key, in_time, is_long,
                   value](TimePoint at) {
      tracker.OnCallResult(at, plan.primary.endpoint, CallResult::kAnswered);
      tracker.OnEnd(at, plan.primary.endpoint, key);
      if (!*in_time) return;
      ++(is_long ? result.long_in_time : result.short_in_time);
      result.value_in_time += value;
    };
    engines.Start(now, index(plan->primary), job, helpers, plan->prefill_ms);
  };

  const auto rate = [](TimePoint now, bool is_long) {
    const bool long_phase =
        (now.microseconds() / Duration::Seconds(7).microseconds()) % 2 == 0;
    if (is_long) return long_phase ? 2.6 : 0.1;
    return long_phase ? 14.0 : 80.0;
  };
  const TimePoint end = TimePoint() + kLength;
  const auto gap = [&](TimePoint now, bool is_long) {
    return Duration::Microseconds(static_cast<int64_t>(
        -1e6 * std::log(1 - random.Unit()) / rate(now, is_long)));
  };
  TimePoint next_short = TimePoint() + gap(TimePoint(), false);
  TimePoint next_long = TimePoint() + gap(TimePoint(), true);
  TimePoint next_update;
  for (;;) {
    const TimePoint next =
        std::min({next_short, next_long, engines.NextEvent()});
    if (next == TimePoint::Max()) break;
    for (; next_update < next;
         next_update = next_update + Duration::Milliseconds(40)) {
      for (EndpointTracker& tracker : trackers) {
        tracker.UpdatePace(next_update);
      }
      const bool is_slow = next_update.microseconds() >= 2'000'000 &&
                           next_update.microseconds() < 12'000'000;
      for (size_t i = 0; i < slow.count; ++i) {
        engines.SetSlowness(i, is_slow ? slow.factor : 1);
      }
    }
    engines.Advance(next);
    if (next == next_short) {
      arrive(next, false);
      next_short = next + gap(next, false);
      if (next_short > end) next_short = TimePoint::Max();
    }
    if (next == next_long) {
      arrive(next, true);
      next_long = next + gap(next, true);
      if (next_long > end) next_long = TimePoint::Max();
    }
  }
  return result;
}

}  // namespace zr
