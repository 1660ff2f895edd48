#pragma once

#include <vector>

#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** Forecast of an engine's passes, in milliseconds. */
struct PassForecast {
  double rest_ms = 0;  // until the current pass ends; 0 if nothing is decoded
  /** Decoding in the next pass. */
  double decode_ms = 0;
  /** Prefill that precedes a segment of another engine's prompt. */
  double segments_ms = 0;
  /** Prefill that precedes a further prompt of the engine's own. */
  double prefill_ms = 0;
  int streams = 0;  // decoded in the next pass
  TimePoint began;  // of the current pass
  friend auto operator<=>(const PassForecast&, const PassForecast&) = default;
};

/**
 * Forecasts the passes of an engine from the calls that are tracked there.
 *
 * An engine that decodes prefills the prompts that have arrived before a pass
 * began. A prompt that arrives during a pass waits for its end, and then makes
 * the next pass longer for all streams. So the prompts that arrive during one
 * long pass add up in the next one, although each of them would fit on its own.
 *
 * An engine that decodes nothing prefills in small chunks, segments of other
 * engines' prompts first.
 */
PassForecast ForecastPasses(TimePoint now, const EndpointState& state,
                            const EngineProfile& profile);

}  // namespace zr
