#pragma once

/**
 * zr_config: the daemon's settings and the environment document.
 *
 * Dependencies: zr_base, inih.
 * Threads: all types are plain values.
 */

#include "zr_config/address.h"
#include "zr_config/policies.h"
#include "zr_config/problem.h"
#include "zr_config/settings.h"
