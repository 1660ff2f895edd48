#pragma once

/**
 * zr_placement: elects the VM that sends orders to engines, and plans these
 * orders.
 *
 * Dependencies: zr_base, zr_config.
 * Threading: the classes need external synchronisation.
 */

#include "zr_placement/order_planner.h"
#include "zr_placement/placement_lease.h"
