#include "zr_membership/membership.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

/** Whether everything besides freshness is equal. */
bool SameAttributes(VmView a, const VmView& b) {
  a.last_seen = b.last_seen;
  return a == b;
}

}  // namespace

Result<Membership> Membership::Create(MembershipOptions options) {
  const auto invalid = [](std::string message) {
    return Fail(ErrorCode::kInvalidArgument, "membership", "",
                std::move(message));
  };
  if (options.self.empty() || options.domain.empty()) {
    return invalid("VM or domain name is empty");
  }
  if (options.incarnation.value() == 0) return invalid("incarnation is 0");
  if (options.weight == 0) return invalid("weight is 0");
  if (options.heartbeat_period <= Duration()) {
    return invalid("heartbeat period is not positive");
  }
  if (options.failure_timeout < options.heartbeat_period * 2) {
    return invalid("failure timeout is below two heartbeat periods");
  }
  if (options.forget_after <= options.failure_timeout) {
    return invalid("forget time is not above the failure timeout");
  }
  return Membership(std::move(options));
}

Membership::Membership(MembershipOptions options)
    : options_(std::move(options)),
      link_order_(Hash64(options_.self.value(), options_.incarnation.value())) {
  Member self;
  self.live = true;
  self.view.vm = options_.self;
  self.view.incarnation = options_.incarnation;
  self.view.domain = options_.domain;
  self.view.region = options_.region;
  self.view.peer_address = options_.peer_address;
  self.view.weight = options_.weight;
  members_.emplace(options_.self, std::move(self));
  queued_records_[options_.self] = kRecordCopies;
  Publish(TimePoint(), true);
}

// -----------------------------------------------------------------------------
// Input

HeartbeatOutcome Membership::OnHeartbeat(TimePoint now,
                                         const Heartbeat& heartbeat,
                                         const VmId& from) {
  HeartbeatOutcome outcome;
  DetectPause(now, outcome.events);
  const SenderStamp& stamp = heartbeat.origin;
  if (stamp.vm.empty() || stamp.incarnation.value() == 0 ||
      heartbeat.weight == 0) {
    outcome.kind = HeartbeatOutcome::Kind::kInvalid;
    return outcome;
  }
  if (stamp.vm == options_.self) {
    outcome.kind = stamp.incarnation == options_.incarnation
                       ? HeartbeatOutcome::Kind::kOwn
                       : HeartbeatOutcome::Kind::kNameConflict;
    // A late heartbeat from before a restart of this VM is no conflict.
    if (stamp.incarnation < options_.incarnation) {
      outcome.kind = HeartbeatOutcome::Kind::kStale;
    }
    return outcome;
  }
  const auto it = members_.find(stamp.vm);
  if (it != members_.end() &&
      std::pair(stamp.incarnation, stamp.sequence) <=
          std::pair(it->second.view.incarnation, it->second.sequence)) {
    outcome.kind = HeartbeatOutcome::Kind::kStale;
    return outcome;
  }
  ApplyHeartbeat(now, heartbeat, outcome.events);
  outcome.relay_to = RelayTargets(heartbeat, from);
  return outcome;
}

void Membership::ApplyHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                                Events& events) {
  const VmId& vm = heartbeat.origin.vm;
  const auto [it, is_new] = members_.try_emplace(vm);
  Member& member = it->second;
  const VmView before = member.view;
  const bool restarted =
      !is_new && heartbeat.origin.incarnation > before.incarnation;
  if (restarted && member.live) {
    events.push_back({Kind::kVmDown, vm, before.incarnation});
  }
  const bool was_live = member.live && !restarted;
  if (is_new || restarted) QueueRecord(now, vm);

  VmView& view = member.view;
  view.vm = vm;
  view.incarnation = heartbeat.origin.incarnation;
  view.domain = heartbeat.domain;
  view.region = heartbeat.region;
  view.peer_address = heartbeat.peer_address;
  view.weight = heartbeat.weight;
  view.ready = heartbeat.ready;
  view.config_version = heartbeat.config_version;
  view.config_digest = heartbeat.config_digest;
  digests_[view.config_version] = view.config_digest;
  while (digests_.size() > 16) digests_.erase(digests_.begin());
  view.last_seen = now;
  if (is_new) view.first_seen = now;
  member.sequence = heartbeat.origin.sequence;
  member.announced_leaving = heartbeat.leaving;
  member.team_demand = heartbeat.team_demand;
  member.pool_demand = heartbeat.pool_demand;
  member.live = true;

  if (!was_live) {
    events.push_back(
        {is_new ? Kind::kVmAppeared : Kind::kVmReturned, vm, view.incarnation});
    view.leaving = false;  // set and reported again below
  }
  UpdateFlags(member, events);
  if (!was_live || !SameAttributes(before, view)) Publish(now, true);
}

std::vector<MembershipEvent> Membership::OnTick(TimePoint now) {
  Events events;
  DetectPause(now, events);
  last_tick_ = now;
  started_ = true;
  bool changed = false;
  if (!settled_ && now >= settle_at_) {
    settled_ = true;
    changed = true;
    events.push_back({Kind::kViewSettled, options_.self, options_.incarnation});
  }
  // For one round after a pause every peer seems silent, because this VM was
  // not reading. Failures are declared only after peers could be received
  // again.
  if (settled_) changed |= ExpireMembers(now, events);
  // Copying a view of hundreds of VMs at each tick only to refresh heartbeat
  // times costs too much.
  if (changed || !links_ || now - view_->taken_at >= options_.digest_period) {
    Publish(now, changed);
  }
  return events;
}

std::vector<MembershipEvent> Membership::OnPlatformList(
    TimePoint now, const std::vector<PlatformVm>& list) {
  Events events;
  DetectPause(now, events);
  platform_.clear();
  for (const PlatformVm& entry : list) {
    if (!entry.vm.empty()) platform_[entry.vm] = entry;
  }
  // A list that does not name this VM yet may lack other VMs as well.
  has_platform_list_ |= platform_.contains(options_.self);
  for (auto& [vm, member] : members_) UpdateFlags(member, events);
  Publish(now, true);
  return events;
}

void Membership::SetDrains(TimePoint now, const std::vector<Drain>& drains) {
  drained_vms_.clear();
  drained_domains_.clear();
  for (const Drain& drain : drains) {
    if (drain.kind == DrainKind::kVm) drained_vms_.insert(VmId(drain.name));
    if (drain.kind == DrainKind::kDomain) {
      drained_domains_.insert(DomainId(drain.name));
    }
  }
  Events no_events;
  bool changed = false;
  for (auto& [vm, member] : members_) changed |= UpdateFlags(member, no_events);
  if (changed) Publish(now, true);
}

/**
 * Recomputes the leaving and drained flags, which have several sources; the
 * strictest source wins.
 */
bool Membership::UpdateFlags(Member& member, Events& events) {
  VmView& view = member.view;
  const auto listed = platform_.find(view.vm);
  const bool leaving = member.announced_leaving ||
                       (listed != platform_.end() && listed->second.leaving);
  const bool vm_drained = drained_vms_.contains(view.vm);
  const bool domain_drained = drained_domains_.contains(view.domain);
  const bool changed = leaving != view.leaving ||
                       vm_drained != view.vm_drained ||
                       domain_drained != view.domain_drained;
  if (member.live && leaving != view.leaving) {
    events.push_back({leaving ? Kind::kVmLeaving : Kind::kVmReturned, view.vm,
                      view.incarnation});
  }
  view.leaving = leaving;
  view.vm_drained = vm_drained;
  view.domain_drained = domain_drained;
  return changed;
}

// -----------------------------------------------------------------------------
// Time

void Membership::DetectPause(TimePoint now, Events& events) {
  // One round is two periods: a heartbeat may be due just after the process
  // resumes and needs time to travel. On a partial mesh, digests carry updates
  // about distant VMs over several hops.
  const TimePoint round_end = now + (links_ ? options_.relayed_failure_timeout
                                            : options_.heartbeat_period * 2);
  if (!started_) {
    started_ = true;
    last_tick_ = now;
    settle_at_ = round_end;
    listening_since_ = now;
    started_at_ = now;
    return;
  }
  if (now - last_tick_ <= options_.failure_timeout) return;
  last_tick_ = now;
  settled_ = false;
  settle_at_ = round_end;
  listening_since_ = now;
  events.push_back({Kind::kSelfPaused, options_.self, options_.incarnation});
  Publish(now, true);
}

bool Membership::ExpireMembers(TimePoint now, Events& events) {
  bool changed = false;
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const Duration silence = now - member.view.last_seen;
    if (it->first == options_.self || silence <= FailureTimeout()) {
      ++it;
      continue;
    }
    if (member.live) {
      member.live = false;
      changed = true;
      events.push_back({Kind::kVmDown, it->first, member.view.incarnation});
    }
    if (silence > options_.forget_after) {
      it = members_.erase(it);
      roster_changed_ = true;
      changed = true;
    } else {
      ++it;
    }
  }
  return changed;
}

TimePoint Membership::NextWakeup() const {
  TimePoint wakeup = next_heartbeat_;
  if (!settled_) wakeup = std::min(wakeup, settle_at_);
  for (const auto& [vm, member] : members_) {
    if (vm == options_.self || !member.live || !settled_) continue;
    // The timeout is exceeded one microsecond after it has passed.
    wakeup = std::min(wakeup, member.view.last_seen + FailureTimeout() +
                                  Duration::Microseconds(1));
  }
  return wakeup;
}

// -----------------------------------------------------------------------------
// Output

void Membership::UpdateSelf(TimePoint now, const LocalState& local) {
  Member& self = members_.at(options_.self);
  const VmView before = self.view;
  self.announced_leaving = local.leaving;
  self.view.ready = local.ready;
  self.view.config_version = local.config_version;
  self.view.config_digest = local.config_digest;
  digests_[local.config_version] = local.config_digest;
  self.view.last_seen = now;
  self.team_demand = local.team_demand;
  self.pool_demand = local.pool_demand;
  Events no_events;  // the daemon knows its own state
  UpdateFlags(self, no_events);
  if (!SameAttributes(before, self.view)) Publish(now, true);
  next_heartbeat_ = now + options_.heartbeat_period;
}

Heartbeat Membership::MakeHeartbeat(TimePoint now, const LocalState& local) {
  UpdateSelf(now, local);
  Heartbeat heartbeat;
  heartbeat.origin = {options_.self, options_.incarnation, ++sequence_};
  heartbeat.domain = options_.domain;
  heartbeat.region = options_.region;
  heartbeat.peer_address = options_.peer_address;
  heartbeat.ready = local.ready;
  heartbeat.leaving = members_.at(options_.self).view.leaving;
  heartbeat.config_version = local.config_version;
  heartbeat.config_digest = local.config_digest;
  heartbeat.team_demand = local.team_demand;
  heartbeat.pool_demand = local.pool_demand;
  heartbeat.weight = options_.weight;
  return heartbeat;
}

std::vector<VmId> Membership::RelayTargets(const Heartbeat& heartbeat,
                                           const VmId& from) const {
  std::vector<VmId> targets;
  if (!links_ || heartbeat.hops >= options_.hop_limit) return targets;
  for (const VmId& link : *links_) {
    if (link != from && link != heartbeat.origin.vm) targets.push_back(link);
  }
  return targets;
}

void Membership::Publish(TimePoint now, bool changed) {
  if (changed) ++revision_;
  auto view = std::make_shared<ClusterView>();
  view->self = options_.self;
  view->revision = revision_;
  view->settled = settled_;
  view->taken_at = now;
  view->listening_since = listening_since_;
  view->has_platform_list = has_platform_list_;
  view->members_known =
      has_platform_list_ || now - started_at_ >= options_.forget_after;
  for (const auto& [vm, entry] : platform_) {
    if (vm == options_.self) continue;
    if (!entry.address.empty()) view->peer_addresses[vm] = entry.address;
    if (!entry.leaving) view->listed[vm] = entry.domain;
  }
  for (const auto& [vm, member] : members_) {
    (member.live ? view->live : view->silent).emplace(vm, member.view);
    if (vm != options_.self && !member.view.peer_address.empty()) {
      view->peer_addresses[vm] = member.view.peer_address;
    }
    if (!member.live) continue;
    for (const TeamDemand& demand : member.team_demand) {
      TeamTotal& total = view->team_demand[demand.team];
      total.tokens_per_second += demand.tokens_per_second;
      total.kv_held += demand.kv_held;
    }
    for (const PoolDemand& demand : member.pool_demand) {
      PoolTotal& total = view->pool_demand[demand.pool];
      total.short_tokens_per_second += demand.short_tokens_per_second;
      total.long_tokens_per_second += demand.long_tokens_per_second;
    }
  }
  view->live.at(options_.self).last_seen = now;
  view_ = std::move(view);
}

}  // namespace zr
