#include "zr_gateway/engine_passes.h"

#include <algorithm>
#include <utility>

#include "zr_gateway/placement_policy.h"

namespace zr {
namespace {

// Rest assumed for a pass that takes longer than forecast.
constexpr double kOverdueMs = 10;
// Passes of an engine without a report that are simulated. Streams end within
// fewer passes, and the rest of a later pass is known no better.
constexpr int kMaxPasses = 64;

double Milliseconds(Duration duration) { return duration.seconds() * 1000; }

}  // namespace

PassForecast ForecastPasses(TimePoint now, const EndpointState& state,
                            const EngineProfile& profile) {
  int streams = 0;
  double context = 0;
  std::vector<const CallLoad*> waiting;
  for (const CallLoad& call : state.calls) {
    if (call.prefill_ms > 0) {
      waiting.push_back(&call);
    } else if (call.takes_slot) {
      ++streams;
      context += static_cast<double>(call.kv_tokens.value());
    }
  }
  std::sort(
      waiting.begin(), waiting.end(), [](const CallLoad* a, const CallLoad* b) {
        return std::pair(a->placed, a->key) < std::pair(b->placed, b->key);
      });

  PassForecast forecast;
  TimePoint begin = state.pass_began;
  auto next = waiting.begin();
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    // An idle engine begins with the first prompt that arrives.
    const bool idle = streams == 0;
    if (idle) {
      if (next == waiting.end()) break;
      begin = std::max(begin, (*next)->placed);
    }
    double prefill_ms = 0;
    bool reported = false;  // its end will be
    int joining = 0;
    double joining_context = 0;
    // A prompt that is placed when the end of a pass is reported arrives after
    // the next one has begun.
    const auto is_read = [&](const CallLoad* call) {
      return idle ? call->placed <= begin : call->placed < begin;
    };
    for (; next != waiting.end() && is_read(*next); ++next) {
      prefill_ms += (*next)->prefill_ms;
      if (!(*next)->takes_slot) continue;
      reported = true;
      ++joining;
      joining_context += static_cast<double>((*next)->kv_tokens.value());
    }
    const double length_ms =
        state.slowness *
        (PassMilliseconds(profile, streams,
                          streams > 0 ? context / streams : 0) +
         prefill_ms);
    if (length_ms <= 0) break;
    const double elapsed_ms = Milliseconds(now - begin);
    forecast.began = begin;
    streams += joining;
    context += joining_context;
    const bool ended = elapsed_ms >= length_ms;
    if (!ended || reported) {
      forecast.rest_ms =
          ended ? kOverdueMs : std::min(length_ms - elapsed_ms, length_ms);
      break;
    }
    begin =
        begin + Duration::Microseconds(static_cast<int64_t>(1000 * length_ms));
  }
  for (; next != waiting.end(); ++next) {
    forecast.prefill_ms += (*next)->prefill_ms;
  }
  forecast.streams = streams;
  forecast.prefill_ms *= state.slowness;
  forecast.next_ms =
      forecast.prefill_ms +
      state.slowness * PassMilliseconds(profile, streams,
                                        streams > 0 ? context / streams : 0);
  return forecast;
}

}  // namespace zr
