#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** Fields of a line, written in order of insertion. */
using LogFields = nlohmann::ordered_json;

/**
 * Writes one JSON line per decision to a file descriptor. Each event name has a
 * rate limit; lines above it are dropped and counted, and the count is written
 * with the next line of that name. Writing never blocks: if the descriptor
 * accepts no data, the line is dropped.
 */
class DecisionLog {
 public:
  struct Options {
    int descriptor = 1;            // standard output
    double lines_per_second = 60;  // per event name
    double burst = 240;            // lines at once, per event name
  };

  /** @param vm  name of the VM, written in every line */
  DecisionLog(std::string vm, Options options);
  explicit DecisionLog(std::string vm)
      : DecisionLog(std::move(vm), Options{}) {}

  /**
   * Writes a line.
   *
   * @param event   name of the decision or event, for example "placed"
   * @param fields  a JSON object: the inputs of the decision, with their ages
   *                or versions
   */
  void Write(TimePoint now, std::string_view event, const LogFields& fields);

  /** Lines dropped since the start: above the rate limit, or not written. */
  uint64_t dropped() const { return dropped_; }

 private:
  struct EventLimit {
    TokenBucket budget;
    uint64_t left_out = 0;
  };

  std::string vm_;
  Options options_;
  std::map<std::string, EventLimit, std::less<>> event_limits_;
  uint64_t dropped_ = 0;
};

}  // namespace zr
