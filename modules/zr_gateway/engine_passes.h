#pragma once

#include <vector>

#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** Forecast of an engine's passes, in milliseconds. */
struct PassForecast {
  double rest_ms = 0;  // until the current pass ends; 0 if the engine is idle
  /** Length of the next pass, with all prompts that wait for it. */
  double next_ms = 0;
  double prefill_ms = 0;  // of the prompts in the next pass
  int streams = 0;        // decoded in the next pass
  TimePoint began;        // of the current pass
  friend auto operator<=>(const PassForecast&, const PassForecast&) = default;
};

/**
 * Forecasts the passes of an engine from the calls that are tracked there.
 *
 * An engine decodes one event of each stream in a pass and prefills the prompts
 * that have arrived before the pass began. A prompt that arrives during a pass
 * waits for its end, and then makes the next pass longer for all streams. So
 * the prompts that arrive during one long pass add up in the next one, although
 * each of them would fit on its own.
 *
 * A pass with unsplit prompts ends when one of them is reported as prefilled;
 * segments of other engines' prompts are assumed to end as forecast, as only
 * the last segment of a prompt is reported.
 */
PassForecast ForecastPasses(TimePoint now, const EndpointState& state,
                            const EngineProfile& profile);

}  // namespace zr
