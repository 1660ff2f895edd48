#pragma once

/**
 * zr_telemetry: structured logs (Boost.Log) and metrics (Boost.Accumulators),
 * exported as Prometheus text.
 *
 * Dependencies: zr_base.
 * Threads: every function may be called from any thread.
 */

#include "zr_telemetry/decision_log.h"
#include "zr_telemetry/log.h"
#include "zr_telemetry/metrics.h"
