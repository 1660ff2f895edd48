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
 *
 * A store that is restored from an older copy has entries as they were. Those
 * that are older than what is known, by the endpoint's own count of its writes,
 * are not applied: a leaving endpoint does not become ready again, and one that
 * is gone returns only if it writes its entry again or keeps it from expiring.
 */
class EndpointDirectory {
 public:
  /** Time after which the entry of an endpoint that is gone has expired in a
   * restored store. */
  static constexpr Duration kReturnDelay = Duration::Milliseconds(6000);

  explicit EndpointDirectory(EndpointTracker& tracker) : tracker_(tracker) {}

  /** Takes a complete list of entries. */
  void OnList(TimePoint now, const std::vector<DirectoryEntry>& entries);
  void OnEntry(TimePoint now, const DirectoryEntry& entry);
  void OnRemoved(TimePoint now, const EndpointId& id);
  /** The store became unreachable or reachable. */
  void OnStoreReachable(TimePoint now, bool reachable);
  /** The store has come back from an older copy. */
  void OnStoreRestored(TimePoint now);
  /** Removes missing entries after the grace period. */
  void Tick(TimePoint now);

  size_t missing() const { return missing_.size(); }

 private:
  /** An endpoint that was removed. */
  struct Departure {
    ListedEndpoint last;  // as last listed
    uint64_t era = 0;     // of the removal
  };

  // Departures that are remembered; beyond that, all are forgotten.
  static constexpr size_t kMaxDepartures = 4096;

  bool InGracePeriod(TimePoint now) const;
  /** The present incarnation has written its entry again since. */
  bool IsOutdated(const ListedEndpoint& endpoint) const;
  /** The incarnation was removed, or another followed it, in an earlier era. */
  bool HasDeparted(const ListedEndpoint& endpoint) const;
  void Remove(const EndpointId& id);

  EndpointTracker& tracker_;
  bool reachable_ = true;
  TimePoint reachable_since_ = TimePoint::FromMicroseconds(-1'000'000'000);
  std::map<EndpointId, TimePoint> missing_;  // with the time of removal
  uint64_t era_ = 0;  // counts the returns of the store from a copy
  TimePoint restored_at_;
  std::map<EndpointId, Departure> departures_;
  /** Entries of incarnations that had departed before the store was restored.
   * Applied after kReturnDelay if they are still there. */
  std::map<EndpointId, DirectoryEntry> held_;
};

}  // namespace zr
