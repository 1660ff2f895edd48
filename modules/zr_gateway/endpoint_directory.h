#pragma once

#include <map>
#include <vector>

#include "zr_gateway/endpoint_board.h"

namespace zr {

/** An entry of the list, with the rate that its service's cold ones bear. */
struct DirectoryEntry {
  ListedEndpoint endpoint;
  double cold_rate_per_s = 0;
  friend auto operator<=>(const DirectoryEntry&,
                          const DirectoryEntry&) = default;
};

/**
 * Applies what the platform's list of endpoints says to the board. Entries
 * that vanish are removed at once, except around an outage of the store: it
 * may have let entries of live endpoints lapse, which are written again
 * shortly after its return. Those still missing then are gone.
 */
class EndpointDirectory {
 public:
  /** Entries of live endpoints are back within this after an outage. */
  static constexpr Duration kReturnPeriod = Duration::Milliseconds(2300);

  explicit EndpointDirectory(EndpointBoard& board) : board_(board) {}

  /** A complete list of entries. */
  void OnList(TimePoint now, const std::vector<DirectoryEntry>& entries);
  void OnEntry(TimePoint now, const DirectoryEntry& entry);
  void OnRemoved(TimePoint now, const EndpointId& id);
  /** The store stopped answering, or answers again. */
  void OnReachable(TimePoint now, bool reachable);
  /** Removes entries whose time to return has passed. */
  void Tick(TimePoint now);

  size_t missing() const { return missing_.size(); }

 private:
  bool InGracePeriod(TimePoint now) const;

  EndpointBoard& board_;
  bool reachable_ = true;
  TimePoint reachable_since_ = TimePoint::FromMicroseconds(-1'000'000'000);
  std::map<EndpointId, TimePoint> missing_;  // removed at that time
};

}  // namespace zr
