#pragma once

#include <optional>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Decides whether a request waits at a VM that has just started and can't serve
 * yet. Answers the load after many VMs were lost at once: their callers come
 * back together, with the only retry that they have, while the VMs still read
 * configuration and endpoints, which takes some hundred milliseconds.
 */
class StartupHold {
 public:
  // Time after its start in which a VM should serve. Later it is not known
  // whether it will, so requests are rejected at once.
  static constexpr Duration kPatience = Duration::Seconds(3);
  // Of the caller's time limit; the rest is left for the answer.
  static constexpr int64_t kTimeoutDivisor = 3;
  // The same if the caller names no limit.
  static constexpr Duration kDefaultWait = Duration::Seconds(1);

  explicit StartupHold(TimePoint started) : started_(started) {}

  /** The VM has what it needs to serve. */
  void OnServing() { serving_ = true; }

  /** @param timeout  longest wait of the caller */
  bool Holds(TimePoint now, TimePoint arrived,
             std::optional<Duration> timeout) const {
    if (serving_ || now >= started_ + kPatience) return false;
    return now <
           arrived + (timeout ? *timeout / kTimeoutDivisor : kDefaultWait);
  }

 private:
  TimePoint started_;
  bool serving_ = false;  // since its start, at least once
};

}  // namespace zr
