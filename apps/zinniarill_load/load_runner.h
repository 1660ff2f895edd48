#pragma once

#include <string>
#include <vector>

#include "zinniarill_load/load_results.h"
#include "zinniarill_load/load_scenario.h"
#include "zinniarill_load/load_targets.h"

namespace zr {

struct LoadOptions {
  std::vector<LoadTarget> targets;
  uint64_t seed = 1;
  std::string run;       // name of the run, part of each request id
  int threads = 1;       // calls are spread over threads
  int max_attempts = 1;  // of one call, see LoadCallContext
  std::vector<std::string> services;  // service stand-ins, asked for executions
  std::vector<std::string>
      fault_ports;  // engine fault ports, asked for their state
};

/** Runs a scenario: arrivals do not wait for answers. Blocks until every call
 * has ended. */
LoadResults RunLoad(const LoadScenario& scenario, const LoadOptions& options);

/** Asks the stand-ins what they have executed for this run. Blocks. */
StandinReport AskStandins(const LoadOptions& options,
                          const LoadResults& results);

}  // namespace zr
