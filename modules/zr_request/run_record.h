#pragma once

#include <set>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Tracks whether a call may have run, so that "not run" is reported only when
 * it is certain.
 */
class RunRecord {
 public:
  /** The attempt is about to be sent to an endpoint. */
  void OnSent(AttemptNumber attempt) { unresolved_.insert(attempt); }
  /**
   * The endpoint reported that it did not run the attempt, or no byte of it was
   * sent.
   */
  void OnNotRun(AttemptNumber attempt) { unresolved_.erase(attempt); }
  /** A run that this VM did not start may exist. */
  void SetMayHaveRun() { may_have_run_ = true; }
  /** The complete answer was received. */
  void OnCompleted() { completed_ = true; }

  RunState state() const {
    if (completed_) return RunState::kRan;
    return may_have_run_ || !unresolved_.empty() ? RunState::kMayHaveRun
                                                 : RunState::kNotRun;
  }

 private:
  std::set<AttemptNumber> unresolved_;
  bool may_have_run_ = false;
  bool completed_ = false;
};

}  // namespace zr
