#pragma once

/**
 * zr_daemon: the entry daemon, composed of the core modules and the adapters.
 *
 * Dependencies: all other modules.
 * Threads: a pool of threads runs one io_context. Each state machine (control
 * plane, endpoint owner, request) runs on a strand of its own. Tables that map
 * ids to them are protected by mutexes, which are taken in the order cluster
 * state, endpoint table, request table, and never while calling out.
 */

#include "zr_daemon/node.h"
