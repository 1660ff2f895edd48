#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** A range of lengths, drawn log-uniformly, with its share among others. */
struct LengthRange {
  double share = 1;
  int64_t low = 1;
  int64_t high = 1;
};

struct LoadTeam {
  std::string name;
  std::string key;
  double share = 1;
};

/** A class of calls. */
struct LoadClass {
  std::string name;
  double share = 1;
  double weight = 1;
  bool is_service = false;
  bool once = false;  // carries an idempotency key and must not run twice
  std::string path;   // of a service call
  std::string team;   // empty for any
  std::string request_class;  // x-zr-class; empty sends none
  std::vector<LengthRange> prompt_tokens;
  std::vector<LengthRange> answer_tokens;
  Duration deadline = Duration::Seconds(30);
  int64_t shared_prefixes =
      0;  // number of prompt prefixes shared by the class's calls
  int64_t prefix_tokens = 0;  // length of a shared prefix
};

/** Rate from a point in time on. */
struct LoadRate {
  Duration from;
  double per_second = 0;
};

/** How a run is scored. */
enum class LoadScore {
  kInTime,    // share of requests answered in time
  kWeighted,  // completed work by class weight; a doubled operation counts as a
              // failure
};

/**
 * What the load tool sends, read from an INI file:
 *
 *   [load]         seconds, model, rates ("0:20, 10:40": from second 10 on
 * 40/s), score [team NAME]    key, share [class NAME]   kind (model|service),
 * share, weight, team, request_class, deadline_ms, prompt_tokens and
 * answer_tokens ("0.98:1000-100000, 0.02:100000-1000000"), path, once,
 * shared_prefixes, prefix_tokens
 */
struct LoadScenario {
  Duration length = Duration::Seconds(10);
  std::string model;
  LoadScore score = LoadScore::kInTime;
  std::vector<LoadRate> rates;
  std::vector<LoadTeam> teams;
  std::vector<LoadClass> classes;

  /** Reads a scenario; an error names its line. */
  static Result<LoadScenario> Parse(std::string_view text,
                                    const std::string& file);

  /** Arrivals a second at a time of the run. */
  double RateAt(Duration time) const;
};

}  // namespace zr
