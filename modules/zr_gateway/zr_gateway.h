#pragma once

/**
 * zr_gateway: routing of requests that are forwarded unchanged. Selects the
 * route and service by the configuration, chooses endpoints by their load and
 * health, decides on retries after failures, and checks whether the
 * configuration is fresh enough to be used.
 *
 * Dependencies: zr_base, zr_wire (messages between VMs).
 * Threads: none; a core module. Not synchronised.
 */

#include "zr_gateway/attempt_rules.h"
#include "zr_gateway/body_budget.h"
#include "zr_gateway/broadcast_pace.h"
#include "zr_gateway/buffer_budget.h"
#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/config_document.h"
#include "zr_gateway/config_freshness.h"
#include "zr_gateway/config_versions.h"
#include "zr_gateway/duty_rank.h"
#include "zr_gateway/endpoint_directory.h"
#include "zr_gateway/endpoint_limits.h"
#include "zr_gateway/endpoint_notices.h"
#include "zr_gateway/endpoint_pace.h"
#include "zr_gateway/endpoint_paths.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/evacuation_register.h"
#include "zr_gateway/event_splitter.h"
#include "zr_gateway/evidence_limits.h"
#include "zr_gateway/fair_shares.h"
#include "zr_gateway/gateway_config.h"
#include "zr_gateway/gateway_types.h"
#include "zr_gateway/lateness.h"
#include "zr_gateway/member_records.h"
#include "zr_gateway/placement_policy.h"
#include "zr_gateway/placement_report.h"
#include "zr_gateway/pool_dispatcher.h"
#include "zr_gateway/pool_queue.h"
#include "zr_gateway/prefill_admission.h"
#include "zr_gateway/reader_budget.h"
#include "zr_gateway/refusal_memory.h"
#include "zr_gateway/reservation_set.h"
#include "zr_gateway/slowness_estimate.h"
#include "zr_gateway/startup_hold.h"
#include "zr_gateway/store_cursor.h"
#include "zr_gateway/store_mirror.h"
#include "zr_gateway/store_outage.h"
