#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_peer/zr_peer.h"

namespace zr {

/**
 * Membership, configuration and the endpoint registry of this VM. Publishes a
 * ClusterSnapshot after each change. All state is used on one strand.
 */
class ControlPlane : public std::enable_shared_from_this<ControlPlane> {
 public:
  /** Hears of changes, on the control strand. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnSnapshot(
        const std::shared_ptr<const ClusterSnapshot>& snapshot) = 0;
    virtual void OnVmDown(const VmId& vm, Incarnation incarnation) = 0;
    virtual void OnSelfPaused() = 0;
  };

  static Result<std::shared_ptr<ControlPlane>> Create(
      NodeContext& context, std::shared_ptr<PeerLinks> links,
      Listener& listener);
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  //============================================================================
  // Use

  void Start();
  /** Announces leaving; the snapshot is published as stopping. */
  void BeginStop();
  /** Ends all timers. */
  void Stop();

  /** Messages from authenticated peers; any thread. */
  void OnHeartbeat(const VmId& from, Heartbeat heartbeat);
  void OnDigest(const VmId& from, MembershipDigest digest);
  /** A message could not be sent for want of a link; keeps one to the VM for a
   * while. */
  void RequestLink(const VmId& vm);
  void OnConfigOffer(const VmId& from, ConfigOffer offer);
  void OnConfigFetch(const VmId& from, ConfigFetch fetch);
  /** A document that this VM wrote itself. */
  void OnDocumentWritten(ConfigOffer offer);

  /** Demand of this VM for its heartbeats; set before Start(). */
  std::function<void(LocalState&)> fill_demand;
  /** Demand that another VM tells; set before Start(). */
  std::function<void(const Heartbeat&)> on_peer_demand;

 private:
  ControlPlane(NodeContext& context, std::shared_ptr<PeerLinks> links,
               Listener& listener, Membership membership);

  void ScheduleTick();
  void Tick();
  void SendHeartbeat(TimePoint now, bool announce = false);
  /** Plans links and dials them; all known VMs up to the full mesh, the planned
   * ones above. */
  void UpdateLinks();
  void HandleEvents(const std::vector<MembershipEvent>& events);
  void RunConfigActions(TimePoint now);
  void ReadConfig();
  void WatchConfig();
  void OnConfigItem(TimePoint sent_at, ObjectVersion version,
                    const std::string& value);
  void HandleOfferOutcome(OfferOutcome outcome);
  void ListEndpoints(std::string after,
                     std::map<EndpointId, EndpointInfo> found);
  void WatchEndpoints();
  void ApplyEndpoint(const StoreItem& item);
  void ListVms();
  void Publish();
  bool ShouldWatchConfig() const;
  /** Runs a function on the strand after a delay. */
  void RunAfter(Duration delay, std::function<void()> run);
  template <typename F>
  auto OnStrand(F run);

  NodeContext& context_;
  std::shared_ptr<PeerLinks> links_;
  Listener& listener_;
  Strand strand_;
  asio::steady_timer tick_timer_;
  Membership membership_;
  ConfigTracker tracker_;
  std::shared_ptr<const Environment> environment_;
  std::map<ObjectVersion, ChangeNote> notes_;  // of the newest documents read
  std::shared_ptr<const ClassPolicies> classes_;
  std::shared_ptr<const TeamPolicies> teams_;
  std::shared_ptr<const std::map<EndpointId, EndpointInfo>> endpoints_;
  ObjectVersion endpoints_version_;
  std::map<VmId, TimePoint>
      on_demand_links_;  // for requests, with the time they are kept until
  uint64_t planned_revision_ = 0;
  TimePoint next_demand_;
  size_t next_demand_link_ = 0;
  bool watching_config_ = false;
  bool stopping_ = false;
  bool stopped_ = false;
  uint64_t published_revision_ = 0;
  ObjectVersion published_config_;
  ConfigReadiness published_readiness_ = ConfigReadiness::kNoConfiguration;
};

/** Decodes the value of an `endpoints` object. */
Result<EndpointInfo> ParseEndpointInfo(const std::string& name,
                                       const std::string& value);

}  // namespace zr
