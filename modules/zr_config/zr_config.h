#pragma once

/**
 * zr_config: the daemon's settings and the environment document.
 *
 * Dependencies: zr_base, inih, OpenSSL (digests only).
 * Threads: all types are plain values.
 */

#include "zr_config/address.h"
#include "zr_config/diff.h"
#include "zr_config/digest.h"
#include "zr_config/drain_edit.h"
#include "zr_config/environment.h"
#include "zr_config/policies.h"
#include "zr_config/problem.h"
#include "zr_config/settings.h"
