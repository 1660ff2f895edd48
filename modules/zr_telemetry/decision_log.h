#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** Fields of a line, in the order in which they are written. */
using LogFields = nlohmann::ordered_json;

/**
 * Writes one JSON line a decision to a file descriptor. The volume is bounded
 * for each event name; lines beyond the bound are counted and the count is
 * written with the next line of that name. A descriptor that takes no data
 * loses lines and blocks nothing.
 */
class DecisionLog {
 public:
  struct Options {
    int descriptor = 1;            // standard output
    double lines_per_second = 60;  // of one event name
    double burst = 240;            // lines of one event name at once
  };

  /** @param vm  name that every line carries */
  DecisionLog(std::string vm, Options options);
  explicit DecisionLog(std::string vm)
      : DecisionLog(std::move(vm), Options{}) {}

  /**
   * Writes a line.
   *
   * @param event   name of the decision or event, for example "placed"
   * @param fields  a JSON object: what decided it, with ages or versions
   */
  void Write(TimePoint now, std::string_view event, const LogFields& fields);

  /** Lines left out since the start: over the bound, or not taken. */
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
