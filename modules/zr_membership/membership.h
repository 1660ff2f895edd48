#pragma once

#include <deque>
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
  /** Silence after which a VM counts as dead; at least two heartbeat periods.
   */
  Duration failure_timeout = Duration::Milliseconds(1500);
  /** Silence after which a dead VM is forgotten; longer than failure_timeout.
   */
  Duration forget_after = Duration::Seconds(600);
  /** As failure_timeout while links are bounded; longer, because news of a VM
   * takes several hops. */
  Duration relayed_failure_timeout = Duration::Seconds(6);
  /** Period of beats on bounded links. */
  Duration link_heartbeat_period = Duration::Milliseconds(1000);
  /** Period of digests; each goes to one link in turn. */
  Duration digest_period = Duration::Milliseconds(200);
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
    kVmAppeared,  // a VM not known before is live
    kVmDied,      // a VM fell silent, or its incarnation ended by a restart
    kVmLeaving,  // a live VM (or this one) is leaving; it owns nothing from now
                 // on
    kVmReturned,  // a VM is live again after kVmDied, or withdrew its leaving
    kSelfPaused,  // this process was paused: rebuild owned state as a take-over
    kViewSettled,  // a heartbeat round has passed since the start or pause
  };
  Kind kind = Kind::kVmAppeared;
  VmId vm;
  Incarnation incarnation;
  friend auto operator<=>(const MembershipEvent&,
                          const MembershipEvent&) = default;
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

/** Result of OnDigest(). */
struct DigestOutcome {
  std::vector<MembershipEvent> events;
  std::optional<MembershipDigest> answer;
};

/**
 * Live VMs from heartbeats.
 *
 * Every call takes the current time, which must not run backwards. OnTick()
 * must be called by NextWakeup(); a tick that comes later than
 * `failure_timeout` after the one before means that this process was paused.
 */
class Membership {
 public:
  /** @returns kInvalidArgument for an empty identity or periods out of range.
   */
  static Result<Membership> Create(MembershipOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /** Takes a heartbeat that arrived over the link from `from` (origin or
   * relay). */
  HeartbeatOutcome OnHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                               const VmId& from);

  /**
   * Takes a beat or digest that arrived over the link from `from`.
   * @returns changes, and the answer for `from` if one is due
   */
  DigestOutcome OnDigest(TimePoint now, const MembershipDigest& digest,
                         const VmId& from);

  /** Declares silent VMs dead, forgets old ones and detects a pause of this
   * process. */
  std::vector<MembershipEvent> OnTick(TimePoint now);

  /**
   * Takes the platform's list. It supplies addresses and leaving marks only: a
   * listed VM is not live before it is heard, and a missing one does not die.
   */
  std::vector<MembershipEvent> OnPlatformList(
      TimePoint now, const std::vector<PlatformVm>& list);

  /** Sets the drains of the configuration in force. */
  void SetDrains(TimePoint now, const std::vector<Drain>& drains);

  /** Sets the linked VMs for relaying; std::nullopt is a full mesh without
   * relays. */
  void SetLinks(std::optional<std::set<VmId>> links) {
    links_ = std::move(links);
  }

  // ---------------------------------------------------------------------------
  // Output

  /** The heartbeat to send now; also updates this VM's own entry in the view.
   */
  Heartbeat MakeHeartbeat(TimePoint now, const LocalState& local);

  /**
   * The beats and digests to send now on bounded links.
   * @param links     VMs to which a link is up
   * @param announce  sends a beat to all links, for a change that peers should
   * know of at once
   */
  std::vector<OutgoingMessage> MakeDigests(TimePoint now,
                                           const LocalState& local,
                                           const std::vector<VmId>& links,
                                           bool announce = false);

  /** Whether links are bounded, so that digests replace heartbeats. */
  const std::optional<std::set<VmId>>& links() const { return links_; }
  bool bounded() const { return links_.has_value(); }

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
    uint64_t heartbeat_tick = 0;  // newest known reading of the VM's own clock
    std::optional<TimePoint>
        clock_origin;  // local time of the VM's beat 0, by the fastest news
    TimePoint clock_origin_at;  // when clock_origin was estimated
    bool live = false;
    bool announced_leaving = false;
    std::vector<TeamDemand> team_demand;
    std::vector<PoolDemand> pool_demand;
  };
  using Events = std::vector<MembershipEvent>;
  using Kind = MembershipEvent::Kind;
  /** Beats that carry a new record. */
  static constexpr int kRecordCopies = 2;

  explicit Membership(MembershipOptions options);

  void DetectPause(TimePoint now, Events& events);
  void ApplyHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                      Events& events);
  bool UpdateFlags(Member& member, Events& events);
  bool ExpireMembers(TimePoint now, Events& events);
  std::vector<VmId> RelayTargets(const Heartbeat& heartbeat,
                                 const VmId& from) const;
  void Publish(TimePoint now, bool changed);
  void UpdateSelf(TimePoint now, const LocalState& local);
  Duration FailureTimeout() const {
    return links_ ? options_.relayed_failure_timeout : options_.failure_timeout;
  }

  /** Names and incarnations in order; the positions of a digest refer to it. */
  using Roster = std::vector<std::pair<VmId, Incarnation>>;
  void RefreshRoster();
  MembershipDigest MakeLinkHeartbeat(TimePoint now);
  void AddQueuedRecords(TimePoint now, MembershipDigest& heartbeat);
  void QueueRecord(TimePoint now, const VmId& vm);
  void AddStates(TimePoint now, MembershipDigest& digest);
  void AddRecord(TimePoint now, const Member& member,
                 MembershipDigest& digest) const;
  bool ApplyRecord(TimePoint now, const VmRecord& record, Events& events);
  bool ApplyStates(TimePoint now, const MembershipDigest& digest,
                   const Roster& roster, Events& events);
  /** News of a VM with its beat; older news changes nothing. */
  bool ApplyState(TimePoint now, Member& member, uint64_t tick, bool ready,
                  bool leaving, ObjectVersion config_version, Events& events);
  const Roster* FindRoster(uint64_t hash) const;

  MembershipOptions options_;
  std::map<VmId, Member> members_;  // includes self
  std::map<VmId, PlatformVm> platform_;
  std::set<VmId> drained_vms_;
  std::set<DomainId> drained_domains_;
  std::optional<std::set<VmId>> links_;
  std::deque<std::pair<uint64_t, Roster>> rosters_;  // the current one first
  bool roster_changed_ = true;
  std::map<VmId, int> queued_records_;  // records to send on, with the digests
                                        // left that carry them
  std::map<ObjectVersion, std::string> config_digests_;
  Random link_order_;
  std::vector<VmId> link_round_;  // links that get a digest next, last first
  TimePoint next_link_heartbeat_;
  TimePoint next_digest_;
  TimePoint next_records_reply_;
  TimePoint next_records_request_;
  uint64_t sequence_ = 0;
  uint64_t revision_ = 0;
  bool settled_ = false;
  bool started_ = false;
  TimePoint last_tick_;
  TimePoint settle_at_;
  TimePoint listening_since_;
  TimePoint started_at_;
  bool has_platform_list_ = false;
  TimePoint next_heartbeat_;
  std::shared_ptr<const ClusterView> view_;
};

}  // namespace zr
