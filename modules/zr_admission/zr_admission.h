#pragma once

/**
 * zr_admission: admission of requests to endpoints.
 *
 * EndpointOwner keeps the state of one endpoint at the VM that owns it.
 * EndpointSelector picks endpoints at the ingress. GatherCoordinator reserves
 * several endpoints for one prompt. TeamLimiter splits team limits among VMs.
 *
 * Dependencies: zr_base, zr_wire, zr_config.
 * Thread safety: none; callers must serialise access to an object. Time is
 * passed in and must not decrease for an object.
 */

#include "zr_admission/endpoint_owner.h"
#include "zr_admission/endpoint_selector.h"
#include "zr_admission/engine_reports.h"
#include "zr_admission/gather_coordinator.h"
#include "zr_admission/long_prompt_share.h"
#include "zr_admission/owner_types.h"
#include "zr_admission/team_limiter.h"
