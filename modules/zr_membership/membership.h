#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"
#include "zr_membership/cluster_view.h"
#include "zr_wire/messages.h"

namespace zr {

/** Identity of this VM and the periods of failure detection. */
struct MembershipOptions {
  VmId self;
  DomainId domain;
  std::string region;
  std::string peer_address;  // "ip:port" that peers connect to
  Incarnation incarnation;   // start time of this process, above 0
  uint32_t weight = 1;
  Duration heartbeat_period = Duration::Milliseconds(250);
  /** Silence after which a VM counts as dead; at least two heartbeat periods. */
  Duration suspect_after = Duration::Milliseconds(1500);
  /** Silence after which a dead VM is forgotten; longer than suspect_after. */
  Duration remember_for = Duration::Seconds(600);
  /** Most relays of one heartbeat when links are bounded. */
  uint32_t hop_limit = 6;
};

/** What this VM tells about itself. */
struct LocalState {
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;
  std::string config_digest;
  std::vector<TeamDemand> team_demand;
  std::vector<PoolDemand> pool_demand;
};

/** An entry of the platform's lagging VM list. */
struct PlatformVm {
  VmId vm;
  DomainId domain;
  std::string address;  // "ip:port" of the peer listener
  bool leaving = false;
};

/** A change that other components act on. */
struct MembershipEvent {
  enum class Kind : uint8_t {
    kVmAppeared,   // a VM not known before is live
    kVmDied,       // a VM fell silent, or its incarnation ended by a restart
    kVmLeaving,    // a live VM (or this one) is leaving; it owns nothing from now on
    kVmReturned,   // a VM is live again after kVmDied, or withdrew its leaving
    kSelfPaused,   // this process was paused: rebuild owned state as a take-over
    kViewSettled,  // a heartbeat round has passed since the start or pause
  };
  Kind kind = Kind::kVmAppeared;
  VmId vm;
  Incarnation incarnation;
  friend auto operator<=>(const MembershipEvent&, const MembershipEvent&) = default;
};

/** Result of OnHeartbeat(). */
struct HeartbeatOutcome {
  enum class Kind : uint8_t {
    kAccepted,
    kStale,         // older incarnation or sequence; changes nothing
    kOwn,           // an own heartbeat that came back
    kNameConflict,  // another process uses this VM's name
    kInvalid,       // no VM name or incarnation
  };
  Kind kind = Kind::kAccepted;
  /** VMs to send the heartbeat on to, with `hops` raised by one. */
  std::vector<VmId> relay_to;
  std::vector<MembershipEvent> events;
};

/**
 * Live VMs from heartbeats.
 *
 * Every call takes the current time, which must not run backwards. OnTick()
 * must be called by NextWakeup(); a tick that comes later than
 * `suspect_after` after the one before means that this process was paused.
 */
class Membership {
 public:
  /** @returns kInvalidArgument for an empty identity or periods out of range. */
  static Result<Membership> Create(MembershipOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /** Takes a heartbeat that arrived over the link from `from` (origin or relay). */
  HeartbeatOutcome OnHeartbeat(TimePoint now, const Heartbeat& heartbeat, const VmId& from);

  /** Declares silent VMs dead, forgets old ones and detects a pause of this process. */
  std::vector<MembershipEvent> OnTick(TimePoint now);

  /**
   * Takes the platform's list. It supplies addresses and leaving marks only: a
   * listed VM is not live before it is heard, and a missing one does not die.
   */
  std::vector<MembershipEvent> OnPlatformList(TimePoint now, const std::vector<PlatformVm>& list);

  /** Sets the drains of the configuration in force. */
  void SetDrains(TimePoint now, const std::vector<Drain>& drains);

  /** Sets the linked VMs for relaying; std::nullopt is a full mesh without relays. */
  void SetLinks(std::optional<std::set<VmId>> links) { links_ = std::move(links); }

  // ---------------------------------------------------------------------------
  // Output

  /** The heartbeat to send now; also updates this VM's own entry in the view. */
  Heartbeat MakeHeartbeat(TimePoint now, const LocalState& local);

  /** Whether the next heartbeat is due. */
  bool HeartbeatDue(TimePoint now) const { return now >= next_heartbeat_; }

  /** Time by which OnTick() must be called. */
  TimePoint NextWakeup() const;

  /** Current snapshot. Freshness and demand in it may lag by one tick. */
  std::shared_ptr<const ClusterView> View() const { return view_; }

  const MembershipOptions& options() const { return options_; }

 private:
  struct Member {
    VmView view;
    uint64_t sequence = 0;
    bool live = false;
    bool announced_leaving = false;
    std::vector<TeamDemand> team_demand;
    std::vector<PoolDemand> pool_demand;
  };
  using Events = std::vector<MembershipEvent>;
  using Kind = MembershipEvent::Kind;

  explicit Membership(MembershipOptions options);

  void DetectPause(TimePoint now, Events& events);
  void Accept(TimePoint now, const Heartbeat& heartbeat, Events& events);
  bool ApplyMarks(Member& member, Events& events);
  bool BuryAndForget(TimePoint now, Events& events);
  std::vector<VmId> RelayTargets(const Heartbeat& heartbeat, const VmId& from) const;
  void Publish(TimePoint now, bool changed);

  MembershipOptions options_;
  std::map<VmId, Member> members_;  // includes self
  std::map<VmId, PlatformVm> platform_;
  std::set<VmId> drained_vms_;
  std::set<DomainId> drained_domains_;
  std::optional<std::set<VmId>> links_;
  uint64_t sequence_ = 0;
  uint64_t revision_ = 0;
  bool settled_ = false;
  bool started_ = false;
  TimePoint last_tick_;
  TimePoint settle_at_;
  TimePoint listening_since_;
  TimePoint started_at_;
  bool has_list_ = false;
  TimePoint next_heartbeat_;
  std::shared_ptr<const ClusterView> view_;
};

}  // namespace zr
