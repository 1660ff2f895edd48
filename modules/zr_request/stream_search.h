#pragma once

#include <optional>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Looks for a request's stream: first at the locator of the request id, then,
 * unless that one is certain, at all VMs, whose grant lists as owners name the
 * request. Carries out LocateStream.
 */
class StreamSearch {
 public:
  struct Options {
    Duration again = Duration::Milliseconds(
        500);  // the locator is asked again, then passed over
    Duration all =
        Duration::Milliseconds(700);  // bound on the answers of all VMs
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
  /** The stream, if one was found; with the grants that all owners named. */
  const std::optional<StreamLocation>& found() const { return found_; }
  /** With nothing found: every VM answered. */
  bool certain() const { return certain_; }

 private:
  std::vector<OutgoingMessage> AskLocator(TimePoint now);
  std::vector<OutgoingMessage> AskAll(TimePoint now);
  void Merge(const StreamLocation& location);
  void End(bool certain);

  StreamLookup query_;
  std::vector<VmId> live_;  // the locator is chosen among these
  Options options_;
  VmId locator_;
  int locator_asks_ = 0;
  bool asking_all_ = false;
  bool incomplete_ = false;
  std::set<VmId> waiting_;
  TimePoint timer_;
  std::optional<StreamLocation> found_;
  bool ended_ = false;
  bool certain_ = false;
};

}  // namespace zr
