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
 * Runs membership, configuration and the endpoint registry of this VM, and
 * publishes a ClusterSnapshot after each change. All state is confined to one
 * strand.
 */
class ControlPlane : public std::enable_shared_from_this<ControlPlane> {
 public:
  /** Receives changes on the control strand. */
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
  /** Announces that this VM is leaving and publishes a stopping snapshot. */
  void BeginStop();
  /** Cancels all timers. */
  void Stop();

  /** Handles messages from authenticated peers. Thread-safe. */
  void OnHeartbeat(const VmId& from, Heartbeat heartbeat);
  void OnDigest(const VmId& from, MembershipDigest digest);
  /** Opens a link to a VM to which a message could not be sent, and keeps it
   * for 5 minutes after the last such message. Without effect in a full mesh.
   * Thread-safe. */
  void RequestLink(const VmId& vm);
  void OnConfigOffer(const VmId& from, ConfigOffer offer);
  void OnConfigFetch(const VmId& from, ConfigFetch fetch);
  /** Adopts a document that this VM has written itself. Thread-safe. */
  void OnDocumentWritten(ConfigOffer offer);

  /** Adds the demand of this VM to a heartbeat; set before Start(). */
  std::function<void(LocalState&)> fill_demand;
  /** Receives the heartbeats of other VMs, for the demand in them; set before
   * Start(). */
  std::function<void(const Heartbeat&)> on_peer_demand;

 private:
  ControlPlane(NodeContext& context, std::shared_ptr<PeerLinks> links,
               Listener& listener, Membership membership);

  void ScheduleTick();
  void Tick();
  void SendHeartbeat(TimePoint now, bool announce = false);
  /** Updates the VMs to link to: all known VMs in a full mesh, otherwise the
   * planned ones and those of RequestLink(). */
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
  /** Runs a function on the strand after a delay, unless stopped. */
  void RunAfter(Duration delay, std::function<void()> run);
  /** Wraps a callback so that it runs on the strand, unless stopped. */
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
  // Links of RequestLink() and their expiry.
  std::map<VmId, TimePoint> on_demand_links_;
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
