#pragma once

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "zr_gateway/zr_gateway.h"

namespace zr {

/** What endpoints go through, and what is asked of them. */
struct PaceScenario {
  int endpoints = 1;
  int dispatchers = 1;  // each with all endpoints and half of the callers
  int warm_up_ms = 3000;
  double cold_rate = 36;
  double slow_factor = 1;  // of the first endpoint's answers
  int down_from_ms = 0;    // the first endpoint fails all calls
  int down_until_ms = 0;
  int flap_ms = 0;           // it is down and up for so long in turn
  int claimed_load = 0;      // reported by the first endpoint
  int lost_every = 0;        // the end of one call in so many is lost
  int jitter_ms = 0;         // added to answers, up to this
  double offered_per_s = 0;  // 0: callers always wait
  int length_ms = 7000;
};

/** Results of a scenario; of the first endpoint where it names one. */
struct PaceResult {
  int answered = 0;
  int late = 0;
  int rejected = 0;
  int failed = 0;
  int most_cold_starts = 0;  // at one endpoint within any second
  int full_rate_ms = 0;  // from the start, or the return, to 90/100 of the rate
  int idle_ms = 0;       // of all endpoints that are up, beyond one call's gap
  int first_answer_ms = 0;  // of the first endpoint, like full_rate_ms
  double least_share = 0;   // of the answers, relative to an equal share
  double slowness = 1;      // of the first endpoint, at the end
  friend auto operator<=>(const PaceResult&, const PaceResult&) = default;
};

inline ListedEndpoint PacedEndpoint(int index) {
  ListedEndpoint endpoint;
  endpoint.id = EndpointId("e" + std::to_string(index));
  endpoint.service = ServiceName("plain");
  endpoint.address = "127.0.0.1:" + std::to_string(index + 1);
  endpoint.slots = 12;
  endpoint.boot_ms = 1;
  return endpoint;
}

/** Plays a scenario in virtual time, in steps of a millisecond. */
inline PaceResult RunScenario(const PaceScenario& scenario, PaceMode pace) {
  constexpr int kAnswerMs = 100;
  constexpr int kColdFactor = 2;
  constexpr int kSlots = 12;
  constexpr int kMaxHeld = 24;  // further calls are rejected
  constexpr int kWindowMs = 500;
  constexpr int kIdleGapMs = 70;  // between two calls at the cold share
  constexpr int kExpiryMs = 5000;
  struct Held {
    CallKey key;
    int dispatcher;
    int placed;
    int ends;
  };
  struct Fake {
    std::vector<Held> held;
    std::deque<int> starts;
    std::deque<int> answers;
    int total = 0;
    int busy_at = 0;
  };
  const ServiceName service = PacedEndpoint(0).service;
  const auto at = [](int ms) {
    return TimePoint() + Duration::Milliseconds(1 + ms);
  };
  PlacementPolicy policy;
  Random random(7);
  std::vector<EndpointTracker> trackers;
  trackers.reserve(scenario.dispatchers);
  for (int i = 0; i < scenario.dispatchers; ++i) {
    trackers.emplace_back(
        EndpointTracker::Options{.cold_share = 0.5, .pace = pace});
  }
  std::vector<Fake> fakes(scenario.endpoints);
  PaceResult result;
  int numbers = 0;
  double waiting = 0;
  const auto is_down = [&](int ms) {
    if (ms < scenario.down_from_ms || ms >= scenario.down_until_ms) {
      return false;
    }
    return scenario.flap_ms == 0 ||
           (ms - scenario.down_from_ms) / scenario.flap_ms % 2 == 0;
  };
  const auto end = [&](int ms, size_t index, const Held& call,
                       CallResult outcome) {
    EndpointTracker& tracker = trackers[call.dispatcher];
    const EndpointId id = PacedEndpoint(static_cast<int>(index)).id;
    const bool lost = scenario.lost_every > 0 &&
                      call.key.call_number % scenario.lost_every == 0;
    if (lost) return;
    const auto elapsed = Duration::Milliseconds(ms - call.placed);
    if (outcome == CallResult::kAnswered) {
      tracker.OnFirstEvent(at(ms), {id}, call.key, elapsed);
      tracker.OnPrefillDone(at(ms), id, call.key);
    }
    tracker.OnCallResult(at(ms), id, outcome);
    tracker.OnEnd(at(ms), id, call.key);
  };
  const auto place = [&](int ms, int dispatcher) {
    EndpointTracker& tracker = trackers[dispatcher];
    const auto plan =
        policy.Choose(at(ms), tracker, service, nullptr, {}, random.Next());
    if (!plan) return false;
    const EndpointId& id = plan->primary.endpoint;
    const size_t index = std::stoul(id.value().substr(1));
    Fake& fake = fakes[index];
    CallLoad load;
    load.key = {VmId("vm"), RequestId(std::to_string(++numbers)), numbers};
    load.prefill_ms = 1;
    load.forecast_ms = kAnswerMs * tracker.Find(id)->slowness;
    load.expires = at(ms + kExpiryMs);
    tracker.OnStart(at(ms), id, load);
    fake.starts.push_back(ms);
    Held call{load.key, dispatcher, ms, ms};
    const auto held = static_cast<int>(fake.held.size());
    if (index == 0 && is_down(ms)) {
      ++result.failed;
      end(ms, index, call, CallResult::kConnectionBroken);
    } else if (held >= kMaxHeld) {
      ++result.rejected;
      end(ms, index, call, CallResult::kRejected);
    } else {
      double factor = ms < scenario.warm_up_ms ? kColdFactor : 1;
      if (index == 0) factor *= scenario.slow_factor;
      // Calls beyond the slots wait for those before them.
      const int rounds = 1 + held / kSlots;
      call.ends = ms + static_cast<int>(kAnswerMs * factor * rounds);
      if (scenario.jitter_ms > 0) {
        call.ends += static_cast<int>(random.Below(scenario.jitter_ms));
      }
      fake.held.push_back(call);
    }
    return true;
  };
  const int from = scenario.down_until_ms > 0 ? scenario.down_until_ms : 0;
  result.full_rate_ms = result.first_answer_ms = scenario.length_ms;
  for (int ms = 0; ms < scenario.length_ms; ++ms) {
    for (size_t i = 0; i < fakes.size(); ++i) {
      Fake& fake = fakes[i];
      std::vector<Held> ended;
      std::erase_if(fake.held, [&](const Held& call) {
        if (call.ends > ms) return false;
        ended.push_back(call);
        return true;
      });
      for (const Held& call : ended) {
        if (i == 0 && scenario.claimed_load > 0) {
          trackers[call.dispatcher].OnLoad(at(ms), PacedEndpoint(0).id,
                                           {scenario.claimed_load, 0, kSlots});
        }
        end(ms, i, call, CallResult::kAnswered);
        ++result.answered;
        ++fake.total;
        if (i == 0 && call.placed >= from) {
          result.first_answer_ms = std::min(result.first_answer_ms, ms - from);
        }
        result.late += ms - call.placed > 2.5 * kAnswerMs ? 1 : 0;
        fake.answers.push_back(ms);
      }
    }
    for (EndpointTracker& tracker : trackers) {
      for (int i = 0; i < scenario.endpoints && ms % 500 == 0; ++i) {
        ListedEndpoint listed = PacedEndpoint(i);
        listed.cold_left =
            Duration::Milliseconds(std::max(0, scenario.warm_up_ms - ms));
        tracker.Upsert(at(ms), listed, scenario.cold_rate);
      }
      if (ms % 40 == 0) {
        tracker.Expire(at(ms));
        tracker.UpdatePace(at(ms));
      }
    }
    if (scenario.offered_per_s > 0) {
      waiting += scenario.offered_per_s / 1000;
    } else {
      waiting = 40;  // callers at most that try in one millisecond
    }
    for (int i = 0; waiting >= 1; ++i, --waiting) {
      if (!place(ms, i % scenario.dispatchers)) break;
    }
    for (size_t i = 0; i < fakes.size(); ++i) {
      Fake& fake = fakes[i];
      while (!fake.starts.empty() && fake.starts.front() <= ms - 1000) {
        fake.starts.pop_front();
      }
      while (!fake.answers.empty() && fake.answers.front() <= ms - kWindowMs) {
        fake.answers.pop_front();
      }
      if (ms < scenario.warm_up_ms) {
        result.most_cold_starts = std::max(
            result.most_cold_starts, static_cast<int>(fake.starts.size()));
      }
      if (!fake.held.empty() || (i == 0 && is_down(ms))) {
        fake.busy_at = ms;
      } else if (waiting >= 1 && ms - fake.busy_at > kIdleGapMs) {
        ++result.idle_ms;
      }
    }
    const double rate = kSlots * 1000.0 / kAnswerMs;
    const bool full = static_cast<double>(fakes[0].answers.size()) >=
                      0.9 * rate * kWindowMs / 1000;
    if (full && ms > from + kAnswerMs) {
      result.full_rate_ms = std::min(result.full_rate_ms, ms - from);
    }
  }
  result.slowness = trackers[0].Find(PacedEndpoint(0).id)->slowness;
  for (const Fake& fake : fakes) {
    const double share = static_cast<double>(fake.total) *
                         static_cast<double>(fakes.size()) /
                         std::max(1, result.answered);
    result.least_share =
        &fake == &fakes[0] ? share : std::min(share, result.least_share);
  }
  return result;
}

}  // namespace zr
