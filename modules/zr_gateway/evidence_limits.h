#pragma once

#include <algorithm>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * How old a VM's evidence of the store's state may grow, for a kind of objects
 * whose changes must be obeyed within a bound after the store confirmed them.
 * The age of evidence is the time since the start of the call to the store that
 * provided it, on whichever VM.
 *
 * A watch that is waiting proves nothing yet, so the evidence of a VM that
 * watches is between one and two waits old; that of a VM that queries it is
 * older by up to a query period and a round trip.
 */
class EvidenceLimits {
 public:
  // Time between two queries to a VM that watches on behalf of others.
  static constexpr Duration kQueryPeriod = Duration::Milliseconds(400);

  static constexpr EvidenceLimits ForBound(Duration bound) {
    return EvidenceLimits(std::max(kMinAge, bound - kOwnCall));
  }

  /** Age at which a VM stops waiting for others and calls the store. */
  constexpr Duration max_age() const { return max_age_; }

  /** Longest wait of a watch on behalf of others. While such watches are
   * answered, the evidence of the VMs that query stays below max_age(). */
  constexpr Duration shared_wait() const {
    const Duration wait = (max_age_ - kQueryPeriod - kDelay) / 2;
    return std::clamp(wait, kMinWait, kMaxWait);
  }

  friend constexpr auto operator<=>(const EvidenceLimits&,
                                    const EvidenceLimits&) = default;

 private:
  constexpr explicit EvidenceLimits(Duration max_age) : max_age_(max_age) {}

  // Reserved for a call of a busy VM to the store, on a new connection.
  static constexpr Duration kOwnCall = Duration::Milliseconds(600);
  static constexpr Duration kMinAge = Duration::Milliseconds(200);
  // Round trips to the other VM and to the store, and the resolution of timers.
  static constexpr Duration kDelay = Duration::Milliseconds(150);
  // Bounds the calls to the store.
  static constexpr Duration kMinWait = Duration::Milliseconds(200);
  // A silent connection must be noticed although the bound is long.
  static constexpr Duration kMaxWait = Duration::Milliseconds(2000);

  Duration max_age_;
};

}  // namespace zr
