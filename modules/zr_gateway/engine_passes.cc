#include "zr_gateway/engine_passes.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "zr_gateway/placement_policy.h"

namespace zr {
namespace {

// Time from a placement until the call is at its engine, and from the first
// event until its report is here.
constexpr Duration kTransit = Duration::Milliseconds(4);
// Bound on the simulated steps of one forecast.
constexpr int kMaxSteps = 256;

/** Prefill that is not reported as done. */
struct PendingPrefill {
  TimePoint arrives;
  double left_ms;
  bool is_segment;
  double context;
};

/** Simulates an engine from the last known end of a pass. */
class PassSimulation {
 public:
  PassSimulation(const EndpointState& state, const EngineProfile& profile)
      : profile_(profile), slowness_(state.slowness), time_(state.pass_began) {
    for (const CallLoad& call : state.calls) {
      const auto context = static_cast<double>(call.kv_tokens.value());
      if (call.prefill_ms > 0) {
        pending_.push_back({call.placed + kTransit, slowness_ * call.prefill_ms,
                            !call.takes_slot, context});
      } else if (call.takes_slot) {
        ++streams_;
        context_ += context;
      }
    }
    // The order in which the engine takes them.
    std::stable_sort(pending_.begin(), pending_.end(),
                     [](const PendingPrefill& a, const PendingPrefill& b) {
                       return std::tuple(!a.is_segment, a.arrives) <
                              std::tuple(!b.is_segment, b.arrives);
                     });
  }

  PassForecast Run(TimePoint now) {
    double rest_ms = 0;
    for (int step = 0; step < kMaxSteps && time_ < now; ++step) {
      if (streams_ == 0) {
        if (!PrefillOnly(now)) break;
        continue;
      }
      const double length_ms = DecodeMs() + ArrivedMs();
      const TimePoint end = time_ + Duration::Microseconds(
                                        static_cast<int64_t>(1000 * length_ms));
      const bool ended = end <= now;
      FinishArrived();
      if (ended) {
        time_ = end;
        continue;
      }
      rest_ms = (end - now).seconds() * 1000;
      break;
    }
    return Forecast(rest_ms);
  }

 private:
  double DecodeMs() const {
    return slowness_ * PassMilliseconds(profile_, streams_,
                                        streams_ > 0 ? context_ / streams_ : 0);
  }
  double ArrivedMs() const {
    double sum = 0;
    for (const PendingPrefill& prefill : pending_) {
      if (prefill.arrives <= time_) sum += prefill.left_ms;
    }
    return sum;
  }
  void FinishArrived() {
    for (PendingPrefill& prefill : pending_) {
      if (prefill.arrives <= time_) Finish(prefill);
    }
  }
  void Finish(PendingPrefill& prefill) {
    if (prefill.left_ms <= 0) return;
    prefill.left_ms = 0;
    if (prefill.is_segment) return;
    ++streams_;
    context_ += prefill.context;
  }
  /** Prefills until something arrives or a prompt becomes a stream.
   * @returns false if nothing is left */
  bool PrefillOnly(TimePoint now) {
    TimePoint until = now;
    PendingPrefill* first = nullptr;
    for (PendingPrefill& prefill : pending_) {
      if (prefill.left_ms <= 0) continue;
      if (prefill.arrives > time_) {
        until = std::min(until, prefill.arrives);
      } else if (first == nullptr) {
        first = &prefill;
      }
    }
    if (first == nullptr) {
      time_ = until;
      return until < now;
    }
    const double available_ms = (until - time_).seconds() * 1000;
    if (first->left_ms > available_ms) {
      first->left_ms -= available_ms;
      time_ = until;
    } else {
      time_ = time_ + Duration::Microseconds(
                          static_cast<int64_t>(1000 * first->left_ms));
      Finish(*first);
    }
    return true;
  }
  PassForecast Forecast(double rest_ms) const {
    PassForecast forecast;
    forecast.rest_ms = rest_ms;
    forecast.began = time_;
    forecast.streams = streams_;
    forecast.decode_ms = DecodeMs();
    for (const PendingPrefill& prefill : pending_) {
      forecast.prefill_ms += prefill.left_ms;
      // A pass that decodes prefills everything that waits for it.
      if (prefill.is_segment || streams_ > 0) {
        forecast.segments_ms += prefill.left_ms;
      }
    }
    return forecast;
  }

  const EngineProfile& profile_;
  double slowness_;
  TimePoint time_;
  int streams_ = 0;
  double context_ = 0;  // tokens of all streams
  std::vector<PendingPrefill> pending_;
};

}  // namespace

PassForecast ForecastPasses(TimePoint now, const EndpointState& state,
                            const EngineProfile& profile) {
  return PassSimulation(state, profile).Run(now);
}

}  // namespace zr
