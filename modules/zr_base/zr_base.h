#pragma once

/**
 * zr_base: value types and small utilities that all other modules use.
 *
 * Dependencies: the standard library, tl::expected and xxHash.
 * Threads: value types are immutable or externally synchronised; Invariants is
 * thread-safe.
 */

#include "zr_base/assert.h"
#include "zr_base/error.h"
#include "zr_base/hash.h"
#include "zr_base/ids.h"
#include "zr_base/invariants.h"
#include "zr_base/log_level.h"
#include "zr_base/memory_account.h"
#include "zr_base/random.h"
#include "zr_base/socket_shares.h"
#include "zr_base/time.h"
#include "zr_base/token_bucket.h"
#include "zr_base/token_count.h"
