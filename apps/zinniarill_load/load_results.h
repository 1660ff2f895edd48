#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "zinniarill_load/load_histogram.h"
#include "zinniarill_load/load_scenario.h"

namespace zr {

/** How a call has ended for its caller. */
enum class CallOutcome {
  kOk,           // the complete answer in time
  kLate,         // the complete answer after the deadline
  kNotRun,       // refused, "not run"
  kMayHaveRun,   // refused or failed, "may have run"
  kRan,          // failed, "ran"
  kBroken,       // the connection ended without an answer or a status
  kExpired,      // no end within the deadline and the caller's patience
  kWrongAnswer,  // an answer that is not that of the request
};
constexpr int kCallOutcomes = 8;

/** Short stable name, for example "not_run". */
const char* ToString(CallOutcome outcome);

/** One ended call. */
struct CallRecord {
  size_t class_index = 0;
  Duration intended;  // since the start of the run
  int64_t prompt_tokens = 0;
  CallOutcome outcome = CallOutcome::kBroken;
  std::optional<Duration> first_token;  // since the intended send time
  Duration total;                       // since the intended send time
  int attempts = 1;
  int64_t answer_tokens = 0;
  std::string request_id;
  std::string detail;  // message of a failure
};

/** Statistics of one class. */
struct ClassResults {
  double weight = 1;
  std::map<std::string, int64_t> outcomes;
  std::map<std::string, LoadHistogram>
      first_token;  // by prompt-length bucket, and "all"
  LoadHistogram between_tokens;
  LoadHistogram total;  // of complete answers
  int64_t answer_tokens = 0;
  int64_t reattached = 0;
};

/** Calls by the second of their intended send time. */
struct SecondResults {
  int64_t sent = 0;
  int64_t ok = 0;
  int64_t late = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  LoadHistogram first_token;
};

/** What the stand-ins say after the run. */
struct StandinReport {
  bool asked = false;
  int64_t operations = 0;          // distinct keys executed
  int64_t doubled_operations = 0;  // keys executed more than once
  int64_t false_not_run = 0;       // calls told "not run" that were executed
  int64_t repeated_runs = 0;       // model requests that ran more than once
  int64_t overruns = 0;            // fresh engines overrun
  int64_t crashes = 0;             // of engines
};

/** Statistics of a run; parts recorded by several threads are merged. */
class LoadResults {
 public:
  explicit LoadResults(const LoadScenario& scenario);

  void Record(const CallRecord& call);
  void AddTokenGap(size_t class_index, Duration gap);
  void Merge(const LoadResults& other);
  /** Calls refused as "not run" after a single attempt, and completed ones, by
   * id. */
  const std::vector<std::string>& not_run_ids() const { return not_run_ids_; }

  /** Share of calls answered in time, or weighted work of them less doubled
   * operations. */
  double Score(const StandinReport& report) const;
  /** Sum of class weights of calls answered in time. */
  double CompletedWork() const;

  nlohmann::json ToJson(const StandinReport& report) const;
  /** The table for people. */
  std::string ToTable(const StandinReport& report) const;

 private:
  const LoadScenario* scenario_;
  std::map<std::string, ClassResults> classes_;
  std::map<int64_t, SecondResults> seconds_;
  std::map<std::string, int64_t> messages_;  // failures by message
  std::vector<std::string> not_run_ids_;
};

}  // namespace zr
