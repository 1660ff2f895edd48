#pragma once

#include <map>
#include <optional>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * The limits that endpoints in need set on the requests of all VMs together,
 * as seen by several VMs. An endpoint names its limit in each answer for as
 * long as it holds, so the newest observation of any VM counts.
 */
class EndpointLimits {
 public:
  /** What others have to know after a Merge(). */
  struct News {
    std::vector<LimitObservation> reported;       // changed a limit known here
    std::vector<LimitObservation> contradicting;  // seen here later
  };

  /** Adds observations of this or another VM. */
  News Merge(TimePoint now, const std::vector<LimitObservation>& observations);
  /** Drops endpoints that are gone. A VM that has just started is told limits
   * before it knows any endpoint, so those of unknown endpoints are kept for a
   * while. */
  template <typename IsKnown>
  void Forget(TimePoint now, const IsKnown& is_known) {
    std::erase_if(limits_, [&](const auto& item) {
      return !is_known(item.first) &&
             now - item.second.learned > kUnknownRetention;
    });
  }

  /** Requests per second of all VMs; nothing if the endpoint names no limit. */
  std::optional<double> LimitOf(const EndpointId& endpoint,
                                BootNumber boot) const;
  /** Sets the limits of the endpoints that a tracker knows. */
  void ApplyTo(TimePoint now, EndpointTracker& tracker) const;
  /** All limits, for a VM that has just been linked. */
  std::vector<LimitObservation> Snapshot(TimePoint now) const;
  /** Number of endpoints that name a limit. */
  size_t CountLimited() const;

 private:
  static constexpr Duration kUnknownRetention = Duration::Seconds(60);

  struct Known {
    BootNumber boot;
    std::optional<uint64_t> per_1000_s;
    TimePoint observed;
    TimePoint learned;  // by this VM
  };

  static LimitObservation ToObservation(TimePoint now,
                                        const EndpointId& endpoint,
                                        const Known& known);

  std::map<EndpointId, Known> limits_;
};

}  // namespace zr
