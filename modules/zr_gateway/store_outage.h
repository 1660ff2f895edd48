#pragma once

#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Lets one kind of objects try to reach a store that doesn't answer this VM,
 * while the others wait for its success. In a fleet of hundreds of VMs, all
 * kinds of all VMs would otherwise call the store again and again.
 */
class StoreOutage {
 public:
  /** A call was not answered, or refused. */
  void OnFailure(TimePoint now, const std::string& kind) {
    last_failure_ = now;
    if (++failures_ >= kMinFailures && prober_.empty()) prober_ = kind;
  }
  /**
   * The store was reachable at a time, by an answer or by what another VM says
   * of it, which may be older than the last failure.
   *
   * @returns whether an outage has ended, so that the other kinds go on
   */
  bool OnSuccess(TimePoint evidence) {
    if (evidence < last_failure_) return false;
    failures_ = 0;
    const bool ended = !prober_.empty();
    prober_.clear();
    return ended;
  }
  /** Another kind tries to reach the store. */
  bool HasToWait(const std::string& kind) const {
    return !prober_.empty() && prober_ != kind;
  }

 private:
  // A single answer may be lost while the store works.
  static constexpr int kMinFailures = 3;

  int failures_ = 0;  // since the last success, of all kinds
  TimePoint last_failure_;
  std::string prober_;
};

}  // namespace zr
