#pragma once

#include <optional>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Searches for a request's stream: first at the locator of the request id,
 * then, unless its answer is certain, at all VMs, which know the request as
 * owners of its grants. Implements LocateStream.
 */
class StreamSearch {
 public:
  struct Options {
    Duration locator_timeout = Duration::Milliseconds(
        500);  // the locator is queried again, then skipped
    Duration broadcast_timeout =
        Duration::Milliseconds(700);  // for the answers of all VMs
  };

  /** @param live  the live VMs, this one included; messages to it are looped
   * back */
  StreamSearch(StreamLookup query, std::vector<VmId> live)
      : StreamSearch(std::move(query), std::move(live), Options{}) {}
  StreamSearch(StreamLookup query, std::vector<VmId> live, Options options);

  std::vector<OutgoingMessage> Start(TimePoint now);
  std::vector<OutgoingMessage> OnLocation(TimePoint now, const VmId& from,
                                          const StreamLocation& location);
  std::vector<OutgoingMessage> OnVmUnreachable(TimePoint now, const VmId& vm);
  std::vector<OutgoingMessage> Tick(TimePoint now);
  /** When Tick() is due; TimePoint::Max() when the search has ended. */
  TimePoint NextWakeup() const { return ended_ ? TimePoint::Max() : timer_; }

  bool ended() const { return ended_; }
  /** The stream, if one was found, with the grants reported by all owners. */
  const std::optional<StreamLocation>& found() const { return found_; }
  /** If nothing was found: whether it is certain that no run exists. */
  bool certain() const { return certain_; }

 private:
  std::vector<OutgoingMessage> QueryLocator(TimePoint now);
  std::vector<OutgoingMessage> QueryAll(TimePoint now);
  void Merge(const StreamLocation& location);
  void EndSearch(bool certain);

  StreamLookup query_;
  std::vector<VmId> live_;  // the locator is chosen among these
  Options options_;
  VmId locator_;
  int locator_queries_ = 0;
  bool querying_all_ = false;
  bool incomplete_ = false;
  std::set<VmId> pending_;
  TimePoint timer_;
  std::optional<StreamLocation> found_;
  bool ended_ = false;
  bool certain_ = false;
};

}  // namespace zr
