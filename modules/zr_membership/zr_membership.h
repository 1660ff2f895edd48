#pragma once

/**
 * zr_membership: which entry VMs are live, which VM owns what, and which
 * configuration version is in force.
 *
 * Dependencies: zr_base, zr_wire, zr_config.
 * Threads: the classes are externally synchronised; ClusterView is immutable
 * once published and may be read from any thread.
 */

#include "zr_membership/cluster_view.h"
#include "zr_membership/config_tracker.h"
#include "zr_membership/drain_rules.h"
#include "zr_membership/in_force_report.h"
#include "zr_membership/membership.h"
#include "zr_membership/ownership.h"
#include "zr_membership/peer_planner.h"
#include "zr_membership/summary_table.h"
