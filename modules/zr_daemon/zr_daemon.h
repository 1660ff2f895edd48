#pragma once

/**
 * zr_daemon: the entry daemon, composed of the core modules and the adapters.
 *
 * Dependencies: all other modules.
 * Threads: a pool of threads runs one io_context. Each state machine (control
 * plane, endpoint owner, request) runs on a strand of its own. Mutexes protect
 * the tables that map ids to state machines. They are locked in the order
 * cluster state, endpoint table, request table, and never held while calling
 * other components.
 */

#include "zr_daemon/node.h"
