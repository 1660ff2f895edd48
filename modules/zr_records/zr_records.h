#pragma once

/**
 * zr_records: at-most-once execution of non-repeatable calls, retention of
 * their records, and rate limits for calls to the object API.
 *
 * Dependencies: zr_base, nlohmann::json (record codec).
 * Threading: the classes need external synchronisation; the codec is
 * reentrant.
 */

#include "zr_records/operation_machine.h"
#include "zr_records/operation_record.h"
#include "zr_records/record_codec.h"
#include "zr_records/retention_sweeper.h"
#include "zr_records/store_budget.h"
