#pragma once

/**
 * zr_records: at-most-once records of non-repeatable calls, their retention,
 * and the budget of calls to the object API.
 *
 * Dependencies: zr_base, nlohmann::json (record codec).
 * Threads: the classes are externally synchronised; the codec is reentrant.
 */

#include "zr_records/operation_machine.h"
#include "zr_records/operation_record.h"
#include "zr_records/record_codec.h"
#include "zr_records/retention_sweeper.h"
#include "zr_records/store_budget.h"
