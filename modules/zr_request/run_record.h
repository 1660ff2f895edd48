#pragma once

#include <set>

#include "zr_base/zr_base.h"

namespace zr {

/** Keeps what is known of a call's runs, so that "not run" is said only when it
 * is true. */
class RunRecord {
 public:
  /** The attempt is about to be sent to an endpoint. */
  void Sent(AttemptNumber attempt) { open_.insert(attempt); }
  /** The endpoint said that it did not run the attempt, or no byte of it was
   * sent. */
  void NotRun(AttemptNumber attempt) { open_.erase(attempt); }
  /** A run that this VM did not start may exist. */
  void SetUnknown() { unknown_ = true; }
  /** The whole answer is known. */
  void Completed() { completed_ = true; }

  RunState state() const {
    if (completed_) return RunState::kRan;
    return unknown_ || !open_.empty() ? RunState::kMayHaveRun
                                      : RunState::kNotRun;
  }

 private:
  std::set<AttemptNumber> open_;
  bool unknown_ = false;
  bool completed_ = false;
};

}  // namespace zr
