#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_membership/zr_membership.h"

namespace zr {

/** An entry VM with its core state machines. */
struct SimNode {
  VmId id;
  DomainId domain;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigTracker> tracker;
  Incarnation incarnation;
  bool up = true;
  bool leaving = false;
  bool store_reachable = true;
  int group = 0;  // messages pass only within a partition
  TimePoint paused_until;
  TimePoint next_watch;
  std::vector<Heartbeat> buffered;  // arrived during a pause
};

/**
 * Delivers heartbeats, documents and store answers between VMs under virtual
 * time, with loss, delay, pauses, partitions, restarts and store outages.
 */
class ClusterSimulation {
 public:
  ClusterSimulation(uint64_t seed, int nodes) : random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      SimNode node;
      node.id = VmId("vm" + std::to_string(i));
      node.domain = DomainId("d" + std::to_string(i % 3));
      nodes_.push_back(std::move(node));
      Start(nodes_.back());
    }
  }

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  std::vector<SimNode>& nodes() { return nodes_; }
  bool Running(const SimNode& node) const {
    return node.up && now_ >= node.paused_until;
  }
  ObjectVersion store_version() const { return store_.version; }

  bool store_up = true;
  double loss = 0;

  void Start(SimNode& node) {
    MembershipOptions options;
    options.self = node.id;
    options.domain = node.domain;
    options.incarnation = Incarnation(now_.microseconds() + 1);
    node.incarnation = options.incarnation;
    node.membership =
        std::make_unique<Membership>(*Membership::Create(options));
    ConfigTrackerOptions config;
    config.self = node.id;
    config.check = [](const ConfigOffer&) { return Result<void>(); };
    node.tracker = std::make_unique<ConfigTracker>(std::move(config));
    node.up = true;
    node.leaving = false;
    node.paused_until = now_;
    node.buffered.clear();
  }

  /** Writes a new document as an operator would; returns its version. */
  ObjectVersion Write() {
    const uint64_t version = store_.version.value() + 1 + random_.Below(3);
    store_ = {ObjectVersion(version), "digest" + std::to_string(version),
              "document"};
    return store_.version;
  }

  /** Advances virtual time by one step. */
  void Step() {
    now_ = now_ + Duration::Milliseconds(25);
    if (now_ >= next_list_) RefreshPlatformList();
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const auto call = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      call();
    }
    for (SimNode& node : nodes_) {
      if (Running(node)) Run(node);
    }
  }

 private:
  SimNode& Find(const VmId& id) {
    for (SimNode& node : nodes_) {
      if (node.id == id) return node;
    }
    std::abort();
  }

  void Schedule(Duration delay, std::function<void()> call) {
    scheduled_.emplace(now_ + delay, std::move(call));
  }

  Duration Delay() { return Duration::Milliseconds(1 + random_.Below(60)); }

  /** Runs `arrive` at the receiver after a delay, unless the message is lost.
   */
  void Send(const VmId& from, const VmId& to,
            std::function<void(SimNode&)> arrive) {
    if (random_.Chance(loss)) return;
    Schedule(Delay(), [this, from, to, arrive = std::move(arrive)] {
      SimNode& receiver = Find(to);
      if (receiver.up && receiver.group == Find(from).group) arrive(receiver);
    });
  }

  void Run(SimNode& node) {
    const std::vector<Heartbeat> buffered = std::exchange(node.buffered, {});
    for (const Heartbeat& heartbeat : buffered) Receive(node, heartbeat);
    if (now_ < node.membership->NextWakeup() &&
        now_ < node.tracker->NextWakeup()) {
      return;
    }
    HandleEvents(node, node.membership->OnTick(now_));
    node.tracker->OnView(now_, *node.membership->View());
    for (const ConfigAction& action : node.tracker->OnTick(now_)) {
      Perform(node, action);
    }
    RunWatch(node);
    if (!node.membership->HeartbeatDue(now_)) return;
    LocalState local;
    local.ready = node.tracker->Readiness(now_) == ConfigReadiness::kReady;
    local.leaving = node.leaving;
    local.config_version = node.tracker->version();
    if (node.tracker->current()) {
      local.config_digest = node.tracker->current()->digest;
    }
    const Heartbeat heartbeat = node.membership->MakeHeartbeat(now_, local);
    for (const SimNode& peer : nodes_) {
      if (peer.id == node.id) continue;
      Send(node.id, peer.id, [this, heartbeat](SimNode& receiver) {
        if (Running(receiver)) {
          Receive(receiver, heartbeat);
        } else {
          receiver.buffered.push_back(heartbeat);
        }
      });
    }
  }

  /**
   * Simulates the store watch, held by two VMs of each domain, with periodic
   * reads.
   */
  void RunWatch(SimNode& node) {
    if (now_ < node.next_watch) return;
    node.next_watch = now_ + Duration::Seconds(1);
    for (const VmId& watcher :
         WatchersOf(node.domain, *node.membership->View(), 2)) {
      if (watcher == node.id) {
        Perform(node, {ConfigAction::Kind::kReadStore, VmId(), {}});
      }
    }
  }

  void Receive(SimNode& node, const Heartbeat& heartbeat) {
    HandleEvents(
        node, node.membership->OnHeartbeat(now_, heartbeat, heartbeat.origin.vm)
                  .events);
    node.tracker->OnView(now_, *node.membership->View());
  }

  void HandleEvents(SimNode& node, const std::vector<MembershipEvent>& events) {
    for (const MembershipEvent& event : events) {
      if (event.kind == MembershipEvent::Kind::kSelfPaused) {
        node.tracker->OnSelfPaused(now_);
      }
    }
  }

  void Perform(SimNode& node, const ConfigAction& action) {
    const VmId reader = node.id;
    const Incarnation incarnation = node.incarnation;
    if (action.kind == ConfigAction::Kind::kFetchFromPeer) {
      Send(reader, action.peer, [this, reader, action](SimNode& peer) {
        if (!Running(peer) || !peer.tracker->CanAnswer(action.request)) return;
        const ConfigOffer offer = *peer.tracker->current();
        Send(peer.id, reader, [this, offer, from = peer.id](SimNode& receiver) {
          if (Running(receiver)) receiver.tracker->OnOffer(now_, from, offer);
        });
      });
      return;
    }
    if (!store_up || !node.store_reachable || random_.Chance(loss)) return;
    Schedule(Delay(), [this, reader, incarnation, sent_at = now_] {
      const ConfigOffer offer = store_;
      Schedule(Delay(), [this, reader, incarnation, sent_at, offer] {
        SimNode& receiver = Find(reader);
        if (!Running(receiver) || receiver.incarnation != incarnation) return;
        if (offer.version.value() > 0) {
          receiver.tracker->OnStoreRead(now_, sent_at, offer);
        }
      });
    });
  }

  /** Publishes the VM list as of the previous refresh, so that it lags. */
  void RefreshPlatformList() {
    next_list_ = now_ + Duration::Seconds(5);
    for (SimNode& node : nodes_) {
      if (Running(node)) {
        HandleEvents(node,
                     node.membership->OnPlatformList(now_, lagging_list_));
      }
    }
    lagging_list_.clear();
    for (const SimNode& node : nodes_) {
      if (node.up) {
        lagging_list_.push_back({node.id, node.domain, "", node.leaving});
      }
    }
  }

  Random random_;
  TimePoint now_ = TimePoint::FromMicroseconds(1);
  std::vector<SimNode> nodes_;
  std::multimap<TimePoint, std::function<void()>> scheduled_;
  ConfigOffer store_;
  TimePoint next_list_;
  std::vector<PlatformVm> lagging_list_;
};

}  // namespace zr
