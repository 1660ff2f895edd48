#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Endpoints that leave or have asked for a pause, as seen in their answers by
 * several VMs. Handles an endpoint that leaves or is overloaded while the store
 * can't say so.
 */
class EndpointNotices {
 public:
  /** Adds what this or another VM has seen.
   * @returns what was not known and has to be told to others */
  std::vector<EndpointNotice> Merge(TimePoint now,
                                    const std::vector<EndpointNotice>& seen);
  /** Tells a tracker of the endpoints that it knows. */
  void ApplyTo(EndpointTracker& tracker) const;
  /** Drops endpoints that are gone, and pauses that are over. A VM that has
   * just started is told notices before it knows any endpoint, so those of
   * unknown endpoints are kept for a while. */
  template <typename IsKnown>
  void Forget(TimePoint now, const IsKnown& is_known) {
    std::erase_if(known_, [&](const auto& item) {
      const bool over = !item.second.leaving && item.second.paused_until <= now;
      return over || (!is_known(item.first) &&
                      now - item.second.learned > kUnknownRetention);
    });
  }
  /** All notices, for a VM that has just been linked. */
  std::vector<EndpointNotice> Snapshot(TimePoint now) const;

 private:
  static constexpr Duration kUnknownRetention = Duration::Seconds(60);
  // The pause of an endpoint that names a longer one is asked for again after
  // this time, so that a wrong value does not take it out of service for good.
  static constexpr Duration kMaxPause = Duration::Seconds(30);
  // Pauses that end at most this much later than known are not told again.
  static constexpr Duration kPauseStep = Duration::Milliseconds(200);

  struct Known {
    BootNumber boot;
    bool leaving = false;
    TimePoint paused_until;
    TimePoint learned;
  };

  std::map<EndpointId, Known> known_;
};

}  // namespace zr
