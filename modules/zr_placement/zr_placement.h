#pragma once

/**
 * zr_placement: which VM gives orders to engines, and which orders it gives.
 *
 * Dependencies: zr_base, zr_config.
 * Threads: the classes are externally synchronised.
 */

#include "zr_placement/order_planner.h"
#include "zr_placement/placement_lease.h"
