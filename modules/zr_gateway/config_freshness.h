#pragma once

#include <optional>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Tracks when this VM last verified that it knows the newest configuration. A
 * read shows the state at its start, so the time of verification is the start
 * of the last call that the store answered. Times must come from a clock that
 * advances while the VM is suspended.
 */
class ConfigFreshness {
 public:
  /**
   * @param key_bound  age from which keys are no longer accepted
   * @param config_bound  age from which a newer configuration may be in force
   */
  ConfigFreshness(Duration key_bound, Duration config_bound)
      : key_bound_(key_bound), config_bound_(config_bound) {}

  /** A linearizable read or watch that started at that time was answered
   * completely. */
  void OnVerified(TimePoint call_started) {
    if (!verified_ || call_started > *verified_) verified_ = call_started;
  }

  /** Keys of the known configuration may be accepted. */
  bool Fresh(TimePoint now) const { return Age(now) < key_bound_; }

  /** What the known configuration lacks does not exist. */
  bool Current(TimePoint now) const { return Age(now) < config_bound_; }

  /** Time since the verification; Duration::Max() before the first one. */
  Duration Age(TimePoint now) const {
    return verified_ ? now - *verified_ : Duration::Max();
  }

  void SetBounds(Duration key_bound, Duration config_bound) {
    key_bound_ = key_bound;
    config_bound_ = config_bound;
  }

 private:
  Duration key_bound_;
  Duration config_bound_;
  std::optional<TimePoint> verified_;
};

}  // namespace zr
