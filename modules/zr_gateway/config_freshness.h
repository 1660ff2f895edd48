#pragma once

#include <optional>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * How old the evidence is that this VM knows the newest configuration. A read
 * proves the state at its start, so evidence dates from the start of the last
 * call that the store answered. Times must come from a clock that counts
 * suspensions of the VM.
 */
class ConfigFreshness {
 public:
  /** @param bound  oldest evidence on which a key may still be honoured */
  explicit ConfigFreshness(Duration bound) : bound_(bound) {}

  /** A linearizable read or watch that began then was answered in full. */
  void OnEvidence(TimePoint call_started) {
    if (!verified_at_ || call_started > *verified_at_)
      verified_at_ = call_started;
  }

  /** A key that the known configuration holds is still valid. */
  bool Fresh(TimePoint now) const {
    return verified_at_ && now - *verified_at_ < bound_;
  }

  /** Age of the evidence; Duration::Max() before the first. */
  Duration Age(TimePoint now) const {
    return verified_at_ ? now - *verified_at_ : Duration::Max();
  }

  void SetBound(Duration bound) { bound_ = bound; }

 private:
  Duration bound_;
  std::optional<TimePoint> verified_at_;
};

}  // namespace zr
