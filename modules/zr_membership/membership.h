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

/** Identity of this VM and periods of failure detection. */
struct MembershipOptions {
  VmId self;
  DomainId domain;
  std::string region;
  std::string peer_address;  // "ip:port" that peers connect to
  Incarnation incarnation;   // start time of this process, above 0
  uint32_t weight = 1;
  Duration heartbeat_period = Duration::Milliseconds(250);
  /**
   * Time without a heartbeat after which a VM is considered failed; at least
   * two heartbeat periods.
   */
  Duration failure_timeout = Duration::Milliseconds(1500);
  /**
   * Time without a heartbeat after which a failed VM is forgotten; longer than
   * failure_timeout.
   */
  Duration forget_after = Duration::Seconds(600);
  /**
   * As failure_timeout, on a partial mesh. Longer, because updates about a VM
   * take several hops.
   */
  Duration relayed_failure_timeout = Duration::Seconds(6);
  /** Period of link heartbeats on a partial mesh. */
  Duration link_heartbeat_period = Duration::Milliseconds(1000);
  /** Period of digests; each goes to the next link of a round. */
  Duration digest_period = Duration::Milliseconds(200);
  /** Maximum number of relays of one heartbeat on a partial mesh. */
  uint32_t hop_limit = 6;
};

/** State that this VM reports about itself. */
struct LocalState {
  bool ready = false;
  bool leaving = false;
  ObjectVersion config_version;
  std::string config_digest;
  std::vector<TeamDemand> team_demand;
  std::vector<PoolDemand> pool_demand;
};

/** An entry of the platform's VM list, which may be out of date. */
struct PlatformVm {
  VmId vm;
  DomainId domain;
  std::string address;  // "ip:port" of the peer listener
  bool leaving = false;
};

/** A membership change that other components act on. */
struct MembershipEvent {
  enum class Kind : uint8_t {
    kVmAppeared,  // a VM not known before is live
    kVmDown,  // no heartbeat for the failure timeout, or its incarnation ended
              // by a restart
    kVmLeaving,    // a live VM (or this one) is leaving and no longer owns
                   // anything
    kVmReturned,   // a VM is live again after kVmDown, or is no longer leaving
    kSelfPaused,   // this process was paused; owned state must be rebuilt as in
                   // a takeover
    kViewSettled,  // one heartbeat round has passed since the start or pause
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
    kStale,         // older incarnation or sequence; ignored
    kOwn,           // a heartbeat of this process, relayed back to it
    kNameConflict,  // another process uses this VM's name
    kInvalid,       // no VM name, incarnation or weight
  };
  Kind kind = Kind::kAccepted;
  /** VMs to relay the heartbeat to, with `hops` incremented. */
  std::vector<VmId> relay_to;
  std::vector<MembershipEvent> events;
};

/** Result of OnDigest(). */
struct DigestOutcome {
  std::vector<MembershipEvent> events;
  std::optional<MembershipDigest> reply;
};

/**
 * Tracks the live VMs of the environment by their heartbeats.
 *
 * Every call takes the current time, which must not go backwards. OnTick() must
 * be called by NextWakeup(); if more than `failure_timeout` has passed since
 * the previous tick, this process was paused.
 */
class Membership {
 public:
  /** @returns kInvalidArgument for an empty identity or periods out of range.
   */
  static Result<Membership> Create(MembershipOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /**
   * Handles a heartbeat that arrived over the link from `from` (its origin or a
   * relay).
   */
  HeartbeatOutcome OnHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                               const VmId& from);

  /**
   * Handles a link heartbeat or digest that arrived over the link from `from`.
   * @returns membership changes, and the reply to `from` if one is due
   */
  DigestOutcome OnDigest(TimePoint now, const MembershipDigest& digest,
                         const VmId& from);

  /** Detects failed VMs and pauses of this process, and forgets old VMs. */
  std::vector<MembershipEvent> OnTick(TimePoint now);

  /**
   * Handles the platform's VM list. It only supplies addresses and leaving
   * marks: a listed VM is not live before its first heartbeat, and a missing
   * one is not considered failed.
   */
  std::vector<MembershipEvent> OnPlatformList(
      TimePoint now, const std::vector<PlatformVm>& list);

  /** Sets the drains of the configuration in force. */
  void SetDrains(TimePoint now, const std::vector<Drain>& drains);

  /**
   * Sets the linked VMs of a partial mesh; std::nullopt is a full mesh without
   * relays.
   */
  void SetLinks(std::optional<std::set<VmId>> links) {
    links_ = std::move(links);
  }

  // ---------------------------------------------------------------------------
  // Output

  /**
   * Returns the heartbeat to send now and updates this VM's entry in the view.
   */
  Heartbeat MakeHeartbeat(TimePoint now, const LocalState& local);

  /**
   * Returns the link heartbeats and digests to send now on a partial mesh.
   * @param links     VMs to which a link is up
   * @param announce  sends a link heartbeat on all links at once, for a change
   *                  that peers should learn without delay
   */
  std::vector<OutgoingMessage> MakeDigests(TimePoint now,
                                           const LocalState& local,
                                           const std::vector<VmId>& links,
                                           bool announce = false);

  /**
   * The links of a partial mesh, where digests replace heartbeats; std::nullopt
   * in a full mesh.
   */
  const std::optional<std::set<VmId>>& links() const { return links_; }
  bool partial_mesh() const { return links_.has_value(); }

  /** Whether the next heartbeat is due. */
  bool HeartbeatDue(TimePoint now) const { return now >= next_heartbeat_; }

  /** Time by which OnTick() must be called. */
  TimePoint NextWakeup() const;

  /**
   * Returns the current snapshot. Its freshness and demand may lag by one tick.
   */
  std::shared_ptr<const ClusterView> View() const { return view_; }

  const MembershipOptions& options() const { return options_; }

 private:
  struct Member {
    VmView view;
    uint64_t sequence = 0;
    uint64_t heartbeat_tick = 0;  // newest known reading of the VM's own clock
    std::optional<TimePoint> clock_origin;  // local time of the VM's tick 0,
                                            // estimated from the fastest update
    TimePoint clock_origin_at;              // when clock_origin was estimated
    bool live = false;
    bool announced_leaving = false;
    std::vector<TeamDemand> team_demand;
    std::vector<PoolDemand> pool_demand;
  };
  using Events = std::vector<MembershipEvent>;
  using Kind = MembershipEvent::Kind;
  /** Number of link heartbeats that carry a new record. */
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

  /**
   * Names and incarnations, sorted by name. The states of a digest are in this
   * order.
   */
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
  /**
   * Applies the state of a VM at a heartbeat tick, unless a newer one is known.
   */
  bool ApplyState(TimePoint now, Member& member, uint64_t tick, bool ready,
                  bool leaving, ObjectVersion config_version, Events& events);
  const Roster* FindRoster(uint64_t hash) const;

  MembershipOptions options_;
  std::map<VmId, Member> members_;  // includes self
  std::map<VmId, PlatformVm> platform_;
  std::set<VmId> drained_vms_;
  std::set<DomainId> drained_domains_;
  std::optional<std::set<VmId>> links_;
  std::deque<std::pair<uint64_t, Roster>> rosters_;  // newest first
  bool roster_changed_ = true;
  std::map<VmId, int> queued_records_;  // records to send, with the number of
                                        // link heartbeats left to carry them
  std::map<ObjectVersion, std::string> digests_;
  Random link_order_;
  std::vector<VmId>
      link_round_;  // links still to get a digest in this round, last first
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
