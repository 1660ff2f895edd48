#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniarill_load/load_scenario.h"

namespace zr {

/** One call of a run, fixed before the run starts. */
struct PlannedCall {
  Duration at;  // intended send time since the start of the run
  size_t class_index = 0;
  size_t team_index = 0;
  uint64_t balancer =
      0;  // random number from which the balancer picks a target
  int64_t prompt_tokens = 0;
  int64_t answer_tokens = 0;
  std::string prompt;  // text of model calls
  std::string
      request_id;  // also the idempotency key of calls that must run once
};

/**
 * Arrivals of a scenario: a Poisson process whose rate follows the scenario.
 * The same seed and run name give the same plan.
 *
 * @param run  name that makes request ids differ between runs
 */
std::vector<PlannedCall> MakePlan(const LoadScenario& scenario, uint64_t seed,
                                  const std::string& run);

}  // namespace zr
