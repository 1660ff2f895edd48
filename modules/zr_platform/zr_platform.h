#pragma once

/**
 * zr_platform: client of the platform's object API.
 *
 * Dependencies: zr_base, zr_http, zr_records (call budget).
 * Threads: ObjectStore may be called from any thread; callbacks run on the
 * HTTP client's strand.
 */

#include "zr_platform/object_format.h"
#include "zr_platform/object_store.h"
