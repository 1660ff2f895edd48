#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "zr_admission/zr_admission.h"
#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"

namespace zr {

/**
 * Runs the EndpointOwner of one endpoint on a strand: polls the endpoint's
 * reports, executes the owner's actions and publishes its summary.
 */
class EndpointHost : public std::enable_shared_from_this<EndpointHost> {
 public:
  /** Receives the suspects of a failure of the endpoint. */
  using SuspectsCallback = std::function<void(const std::vector<Suspect>&)>;

  static Result<std::shared_ptr<EndpointHost>> Create(
      NodeContext& context, OwnerOptions options, SuspectsCallback on_suspects);
  EndpointHost(const EndpointHost&) = delete;
  EndpointHost& operator=(const EndpointHost&) = delete;

  void Start();
  void Stop();

  //============================================================================
  // Events; thread-safe

  /** Passes a message about this endpoint to its owner. */
  void Deliver(const VmId& from, Message message);
  void OnVmDown(const VmId& vm);
  void OnSelfPaused();
  void OnPolicy(OwnerPolicies policies, bool drained);

  //============================================================================
  // Queries; thread-safe

  const EndpointInfo& endpoint() const { return endpoint_; }
  OwnerSnapshot Snapshot() const;
  std::optional<EngineLoad> LastLoad() const;
  std::optional<GrantedStream> FindStream(const RequestId& request) const;
  GrantNumber last_grant() const;

 private:
  EndpointHost(NodeContext& context, EndpointInfo endpoint,
               std::unique_ptr<EndpointOwner> owner,
               SuspectsCallback on_suspects);

  /** Passes an event to the owner on the strand and executes the resulting
   * actions. */
  void Post(std::function<OwnerActions(TimePoint, EndpointOwner&)> event);
  void Perform(const OwnerActions& actions);
  void ScheduleWakeup();
  void PollLoad();
  void PollCacheEvents();
  void FetchStreams();
  void CancelStream(const CancelEngineStream& cancel);
  void PublishSummary();
  /** Calls the endpoint and passes the body of the response to a function on
   * the strand; nullopt unless the status is 200. */
  void Fetch(const std::string& method, const std::string& path,
             std::function<void(std::optional<std::string>)> on_body);
  void RunAfter(Duration delay, void (EndpointHost::*function)());

  NodeContext& context_;
  const EndpointInfo endpoint_;
  SuspectsCallback on_suspects_;
  Strand strand_;
  asio::steady_timer wakeup_;
  std::unique_ptr<EndpointOwner> owner_;
  int failed_polls_ = 0;
  bool stopped_ = false;
  std::optional<EndpointSummary> published_;
  TimePoint published_at_;

  mutable std::mutex mutex_;  // guards the state below, copied for queries
  OwnerSnapshot snapshot_;
  std::optional<EngineLoad> last_load_;
  std::map<RequestId, GrantedStream> streams_;
  GrantNumber last_grant_;
};

}  // namespace zr
