#pragma once

#include <cstddef>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Bounds the messages with which a VM tells all others the same. What comes up
 * while it has to wait travels in one message, so that a burst of news costs a
 * VM with hundreds of links no more than its links can carry.
 */
class BroadcastPace {
 public:
  static constexpr int64_t kMessagesPerS = 1000;

  /** @returns whether a message may be sent to that many VMs now */
  bool TryBegin(TimePoint now, size_t recipients) {
    if (now < next_) return false;
    next_ = now + Duration::Seconds(1) * static_cast<int64_t>(recipients) /
                      kMessagesPerS;
    return true;
  }

 private:
  TimePoint next_;
};

}  // namespace zr
