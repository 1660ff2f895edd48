#pragma once

#include <functional>
#include <optional>

#include "zr_gateway/zr_gateway.h"
#include "zr_gateway_host/gateway_state.h"

namespace zr {

/**
 * Shares the limits that endpoints name in their answers with the linked VMs,
 * and applies them to the placement of this VM and of its dispatcher. VMs to
 * which most others keep links pass on what they are told.
 */
class LimitExchange {
 public:
  using Sender = std::function<void(const Message&)>;

  /** @param dispatch_tracker  of this VM's dispatcher; must outlive this */
  LimitExchange(GatewayState& state, EndpointTracker& dispatch_tracker)
      : state_(state), dispatch_tracker_(dispatch_tracker) {}

  /** An endpoint answered.
   * @param limit  requests per second, if the answer names a limit */
  void OnAnswer(TimePoint now, const EndpointId& endpoint,
                std::optional<double> limit);
  /** An endpoint's answer says that it leaves, or wants no requests for a time
   * (0 if it does not). */
  void OnNotice(TimePoint now, const EndpointId& endpoint, bool leaving,
                Duration pause);
  /** Changes that another VM has observed or passes on. */
  void OnReport(TimePoint now, const VmId& vm, const LimitReport& report);
  /** For a VM that has just been linked. */
  LimitReport Snapshot(TimePoint now) const {
    return {limits_.Snapshot(now), notices_.Snapshot(now)};
  }
  /** @param forwards  this VM passes on what it is told
   *  @param linked  number of linked VMs
   *  @param send_to_all  sends to each of them */
  void Exchange(TimePoint now, bool forwards, size_t linked,
                const Sender& send_to_all);

 private:
  /** Repeated, because a limit may be known before its endpoint is listed. */
  void ApplyAll(TimePoint now);
  void LogChanges(TimePoint now, const VmId& from,
                  const std::vector<LimitObservation>& changes);
  void Publish(TimePoint now, std::vector<LimitObservation> observations);
  /** @returns what was not known here */
  std::vector<EndpointNotice> MergeNotices(
      TimePoint now, const VmId& from, const std::vector<EndpointNotice>& seen);
  void PublishNotices(TimePoint now, const std::vector<EndpointNotice>& news);

  GatewayState& state_;
  EndpointTracker& dispatch_tracker_;
  EndpointLimits limits_;
  EndpointNotices notices_;
  LimitReport outbox_;  // ages as of outbox_time_
  TimePoint outbox_time_;
  BroadcastPace pace_;
  bool forwards_ = false;
};

}  // namespace zr
