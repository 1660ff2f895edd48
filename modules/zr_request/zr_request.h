#pragma once

/**
 * zr_request: the state machine of a retryable request at its ingress VM, and
 * the state that requests share: streams by request id, retry budgets,
 * suspects.
 *
 * Core module without I/O: takes events and the time, returns typed actions.
 * Dependencies: zr_base, zr_wire, zr_config.
 * Threads: not thread-safe; the daemon calls each object from one strand.
 */

#include "zr_request/crash_attribution.h"
#include "zr_request/prompt_cost.h"
#include "zr_request/request_actions.h"
#include "zr_request/request_machine.h"
#include "zr_request/request_options.h"
#include "zr_request/retry_budget.h"
#include "zr_request/stream_directory.h"
#include "zr_request/stream_search.h"
#include "zr_request/suspect_leases.h"
#include "zr_request/suspect_table.h"
