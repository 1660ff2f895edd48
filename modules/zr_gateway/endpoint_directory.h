#pragma once

#include <map>
#include <vector>

#include "zr_gateway/endpoint_tracker.h"

namespace zr {

/** An entry of the platform's list of endpoints, with the request rate that a
 * cold endpoint of its service can handle. */
struct DirectoryEntry {
  ListedEndpoint endpoint;
  double cold_rate_per_s = 0;
  friend auto operator<=>(const DirectoryEntry&,
                          const DirectoryEntry&) = default;
};

/**
 * Applies the platform's list of endpoints to an EndpointTracker. Entries that
 * disappear from the list are removed at once, except around an outage of the
 * store: entries of live endpoints may expire during the outage and are
 * written again shortly after it. Entries still missing then are removed.
 */
class EndpointDirectory {
 public:
  /** Time after an outage within which live endpoints write their entries
   * again. */
  static constexpr Duration kRemovalGrace = Duration::Milliseconds(2300);

  explicit EndpointDirectory(EndpointTracker& tracker) : tracker_(tracker) {}

  /** Takes a complete list of entries. */
  void OnList(TimePoint now, const std::vector<DirectoryEntry>& entries);
  void OnEntry(TimePoint now, const DirectoryEntry& entry);
  void OnRemoved(TimePoint now, const EndpointId& id);
  /** The store became unreachable or reachable. */
  void OnStoreReachable(TimePoint now, bool reachable);
  /** Removes missing entries after the grace period. */
  void Tick(TimePoint now);

  size_t missing() const { return missing_.size(); }

 private:
  bool InGracePeriod(TimePoint now) const;

  EndpointTracker& tracker_;
  bool reachable_ = true;
  TimePoint reachable_since_ = TimePoint::FromMicroseconds(-1'000'000'000);
  std::map<EndpointId, TimePoint> missing_;  // with the time of removal
};

}  // namespace zr
