#include <algorithm>
#include <utility>

#include "zr_membership/membership.h"

namespace zr {
namespace {

constexpr int64_t kTickMicroseconds = 125'000;  // microseconds
constexpr unsigned kTickBits =
    14;  // wraps after 2,048 s, more than three times the forget time
constexpr unsigned kTickMask = (1U << kTickBits) - 1;
constexpr unsigned kReadyBit = 1U << 14;
constexpr unsigned kLeavingBit = 1U << 15;
// Clocks may drift apart by 1/kDriftDivisor of the elapsed time.
constexpr int64_t kDriftDivisor = 1000;
// A new update is never considered older than this, so a VM whose clock stood
// still is not considered failed.
constexpr Duration kMaxUpdateAge = Duration::Seconds(5);
constexpr unsigned kOlderVersion = 3;
constexpr size_t kMaxRosters = 16;
// Limits full record exchanges: records of a whole roster take 34 KB at 420
// VMs.
constexpr Duration kRecordsPeriod = Duration::Seconds(1);
constexpr size_t kMaxRecordsPerHeartbeat = 200;
constexpr Duration kRecordDelay = Duration::Milliseconds(100);

uint64_t TickAt(TimePoint now) {
  return static_cast<uint64_t>(now.microseconds() / kTickMicroseconds) + 1;
}

TimePoint ClockOrigin(TimePoint now, uint64_t tick) {
  return now -
         Duration::Microseconds(static_cast<int64_t>(tick) * kTickMicroseconds);
}

/** Returns the tick nearest to a known one that has the given lower bits. */
uint64_t ExpandTick(uint64_t known, unsigned low) {
  const unsigned ahead = (low - static_cast<unsigned>(known)) & kTickMask;
  if (ahead <= kTickMask / 2) return known + ahead;
  const uint64_t back = kTickMask + 1 - ahead;
  return known > back ? known - back : 0;
}

unsigned VersionIndex(const std::vector<ObjectVersion>& versions,
                      ObjectVersion version) {
  const auto it = std::find(versions.begin(), versions.end(), version);
  return it == versions.end() ? kOlderVersion
                              : static_cast<unsigned>(it - versions.begin());
}

}  // namespace

// -----------------------------------------------------------------------------
// Sending

void Membership::RefreshRoster() {
  if (!roster_changed_) return;
  roster_changed_ = false;
  Roster roster;
  roster.reserve(members_.size());
  uint64_t hash = 1;
  for (const auto& [vm, member] : members_) {
    roster.emplace_back(vm, member.view.incarnation);
    hash = Hash64(vm.value(), hash ^ member.view.incarnation.value());
  }
  if (hash == 0) hash = 1;  // 0 marks a link heartbeat
  rosters_.emplace_front(hash, std::move(roster));
  if (rosters_.size() > kMaxRosters) rosters_.pop_back();
}

const Membership::Roster* Membership::FindRoster(uint64_t hash) const {
  for (const auto& [known, roster] : rosters_) {
    if (known == hash) return &roster;
  }
  return nullptr;
}

MembershipDigest Membership::MakeLinkHeartbeat(TimePoint now) {
  const VmView& self = members_.at(options_.self).view;
  MembershipDigest digest;
  digest.sender = {options_.self, options_.incarnation, ++sequence_};
  digest.ready = self.ready;
  digest.leaving = self.leaving;
  digest.config_version = self.config_version;
  digest.heartbeat_tick = TickAt(now);
  return digest;
}

void Membership::AddRecord(TimePoint now, const Member& member,
                           MembershipDigest& digest) const {
  const VmView& view = member.view;
  const Duration age =
      view.vm == options_.self ? Duration() : now - view.last_seen;
  digest.records.push_back(
      {view.vm, view.incarnation, view.domain, view.region, view.peer_address,
       view.weight, view.ready, member.announced_leaving, view.config_version,
       view.vm == options_.self ? TickAt(now) : member.heartbeat_tick, age});
}

void Membership::AddQueuedRecords(TimePoint now, MembershipDigest& heartbeat) {
  for (auto it = queued_records_.begin();
       it != queued_records_.end() &&
       heartbeat.records.size() < kMaxRecordsPerHeartbeat;) {
    const auto member = members_.find(it->first);
    if (member != members_.end()) AddRecord(now, member->second, heartbeat);
    it = --it->second <= 0 ? queued_records_.erase(it) : std::next(it);
  }
}

void Membership::QueueRecord(TimePoint now, const VmId& vm) {
  roster_changed_ = true;
  queued_records_[vm] = kRecordCopies;
  // Digests cannot be applied between VMs whose rosters differ, so new records
  // are sent before the next link heartbeat is due.
  next_link_heartbeat_ = std::min(next_link_heartbeat_, now + kRecordDelay);
  next_heartbeat_ = std::min(next_heartbeat_, next_link_heartbeat_);
}

void Membership::AddStates(TimePoint now, MembershipDigest& digest) {
  RefreshRoster();
  digest.roster_hash = rosters_.front().first;
  digest.config_digest = members_.at(options_.self).view.config_digest;
  std::set<ObjectVersion> versions;
  for (const auto& [vm, member] : members_) {
    versions.insert(member.view.config_version);
  }
  for (auto it = versions.rbegin();
       it != versions.rend() && digest.versions.size() < 3; ++it) {
    digest.versions.push_back(*it);
  }
  std::string& indexes = digest.version_indexes.bytes;
  indexes.assign((members_.size() + 3) / 4, '\0');
  size_t position = 0;
  for (const auto& [vm, member] : members_) {
    const uint64_t tick =
        vm == options_.self ? TickAt(now) : member.heartbeat_tick;
    auto state = static_cast<unsigned>(tick & kTickMask);
    if (member.view.ready) state |= kReadyBit;
    if (member.announced_leaving) state |= kLeavingBit;
    digest.states.bytes.push_back(static_cast<char>(state & 255U));
    digest.states.bytes.push_back(static_cast<char>(state >> 8));
    const unsigned index =
        VersionIndex(digest.versions, member.view.config_version);
    indexes[position / 4] =
        static_cast<char>(static_cast<uint8_t>(indexes[position / 4]) |
                          index << (position % 4 * 2));
    ++position;
  }
}

std::vector<OutgoingMessage> Membership::MakeDigests(
    TimePoint now, const LocalState& local, const std::vector<VmId>& links,
    bool announce) {
  std::vector<OutgoingMessage> messages;
  UpdateSelf(now, local);
  if (announce || now >= next_link_heartbeat_) {
    next_link_heartbeat_ = now + options_.link_heartbeat_period;
    MembershipDigest heartbeat = MakeLinkHeartbeat(now);
    AddQueuedRecords(now, heartbeat);
    for (const VmId& link : links) messages.push_back({link, heartbeat});
  }
  if (now >= next_digest_ && !links.empty()) {
    next_digest_ = now + options_.digest_period;
    MembershipDigest digest = MakeLinkHeartbeat(now);
    AddStates(now, digest);
    // Each round visits all links in a new random order; a fixed order spreads
    // updates much more slowly.
    if (link_round_.empty()) {
      link_round_ = links;
      for (size_t i = link_round_.size() - 1; i > 0; --i) {
        std::swap(link_round_[i], link_round_[link_order_.Below(i + 1)]);
      }
    }
    messages.push_back({link_round_.back(), std::move(digest)});
    link_round_.pop_back();
  }
  next_heartbeat_ = std::min(next_link_heartbeat_, next_digest_);
  return messages;
}

// -----------------------------------------------------------------------------
// Receiving

DigestOutcome Membership::OnDigest(TimePoint now,
                                   const MembershipDigest& digest,
                                   const VmId& from) {
  DigestOutcome outcome;
  DetectPause(now, outcome.events);
  const SenderStamp& stamp = digest.sender;
  if (stamp.vm != from || stamp.vm == options_.self ||
      stamp.incarnation.value() == 0) {
    return outcome;
  }
  bool changed = false;
  for (const VmRecord& record : digest.records) {
    changed |= ApplyRecord(now, record, outcome.events);
  }
  if (!digest.config_digest.empty()) {
    digests_[digest.config_version] = digest.config_digest;
  }
  while (digests_.size() > 16) digests_.erase(digests_.begin());

  const auto sender = members_.find(stamp.vm);
  const bool known = sender != members_.end() &&
                     sender->second.view.incarnation >= stamp.incarnation;
  if (known && sender->second.view.incarnation == stamp.incarnation &&
      stamp.sequence > sender->second.sequence) {
    sender->second.sequence = stamp.sequence;
    changed |=
        ApplyState(now, sender->second, digest.heartbeat_tick, digest.ready,
                   digest.leaving, digest.config_version, outcome.events);
  }
  RefreshRoster();
  const Roster* roster =
      digest.roster_hash != 0 ? FindRoster(digest.roster_hash) : nullptr;
  if (roster != nullptr) {
    changed |= ApplyStates(now, digest, *roster, outcome.events);
  }
  if (changed) Publish(now, true);

  const bool request_records =
      (!known || (digest.roster_hash != 0 && roster == nullptr)) &&
      now >= next_records_request_;
  const bool reply_with_records =
      digest.wants_records && now >= next_records_reply_;
  if (!request_records && !reply_with_records) return outcome;
  outcome.reply = MakeLinkHeartbeat(now);
  outcome.reply->wants_records = request_records;
  if (request_records) next_records_request_ = now + kRecordsPeriod;
  if (reply_with_records) {
    next_records_reply_ = now + kRecordsPeriod;
    for (const auto& [vm, member] : members_) {
      AddRecord(now, member, *outcome.reply);
    }
  }
  return outcome;
}

bool Membership::ApplyRecord(TimePoint now, const VmRecord& record,
                             Events& events) {
  if (record.vm.empty() || record.vm == options_.self ||
      record.incarnation.value() == 0 || record.weight == 0 ||
      record.age < Duration()) {
    return false;
  }
  const auto it = members_.find(record.vm);
  const bool is_new = it == members_.end();
  if (!is_new && record.incarnation < it->second.view.incarnation) return false;
  const TimePoint seen = now - record.age;
  if (is_new || record.incarnation > it->second.view.incarnation) {
    // A record of a VM that is about to be forgotten does not add the VM again.
    if (is_new && record.age > options_.forget_after - Duration::Seconds(30)) {
      return false;
    }
    Member& member = members_[record.vm];
    if (!is_new && member.live) {
      events.push_back({Kind::kVmDown, record.vm, member.view.incarnation});
    }
    const TimePoint first_seen = is_new ? now : member.view.first_seen;
    member = Member();
    member.view.vm = record.vm;
    member.view.incarnation = record.incarnation;
    member.view.domain = record.domain;
    member.view.region = record.region;
    member.view.peer_address = record.peer_address;
    member.view.weight = record.weight;
    member.view.first_seen = first_seen;
    member.view.last_seen = seen;
    member.clock_origin = ClockOrigin(seen, record.heartbeat_tick);
    member.clock_origin_at = now;
    QueueRecord(now, record.vm);
  }
  const bool changed =
      ApplyState(now, members_.at(record.vm), record.heartbeat_tick,
                 record.ready, record.leaving, record.config_version, events);
  Member& member = members_.at(record.vm);
  if (member.live || now - member.view.last_seen > FailureTimeout()) {
    return changed;
  }
  member.live = true;
  events.push_back({is_new ? Kind::kVmAppeared : Kind::kVmReturned, record.vm,
                    record.incarnation});
  Events no_events;
  UpdateFlags(member, no_events);
  return true;
}

bool Membership::ApplyStates(TimePoint now, const MembershipDigest& digest,
                             const Roster& roster, Events& events) {
  const std::string& states = digest.states.bytes;
  const std::string& indexes = digest.version_indexes.bytes;
  if (states.size() != roster.size() * 2 ||
      indexes.size() != (roster.size() + 3) / 4) {
    return false;
  }
  bool changed = false;
  for (size_t i = 0; i < roster.size(); ++i) {
    const auto& [vm, incarnation] = roster[i];
    const unsigned state =
        static_cast<uint8_t>(states[2 * i]) |
        static_cast<unsigned>(static_cast<uint8_t>(states[2 * i + 1])) << 8;
    if (vm == options_.self) continue;
    const auto it = members_.find(vm);
    if (it == members_.end() || it->second.view.incarnation != incarnation) {
      continue;
    }
    const unsigned index =
        static_cast<uint8_t>(indexes[i / 4]) >> (i % 4 * 2) & 3U;
    const ObjectVersion version = index < digest.versions.size()
                                      ? digest.versions[index]
                                      : it->second.view.config_version;
    changed |= ApplyState(
        now, it->second,
        ExpandTick(it->second.heartbeat_tick, state & kTickMask),
        (state & kReadyBit) != 0, (state & kLeavingBit) != 0, version, events);
    if (!it->second.live &&
        now - it->second.view.last_seen <= FailureTimeout()) {
      it->second.live = true;
      events.push_back({Kind::kVmReturned, vm, incarnation});
      changed = true;
    }
  }
  return changed;
}

bool Membership::ApplyState(TimePoint now, Member& member, uint64_t tick,
                            bool ready, bool leaving,
                            ObjectVersion config_version, Events& events) {
  VmView& view = member.view;
  if (tick <= member.heartbeat_tick) return false;
  member.heartbeat_tick = tick;
  // The update with the shortest delay gives the best estimate of the offset
  // between both clocks.
  TimePoint origin = ClockOrigin(now, tick);
  if (member.clock_origin) {
    const Duration drift = Duration::Microseconds(
        (now - member.clock_origin_at).microseconds() / kDriftDivisor);
    origin = std::max(std::min(origin, *member.clock_origin + drift),
                      origin - kMaxUpdateAge);
  }
  member.clock_origin = origin;
  member.clock_origin_at = now;
  const Duration age = ClockOrigin(now, tick) - origin;
  view.last_seen = std::max(view.last_seen, now - age);
  bool changed = view.ready != ready || view.config_version < config_version;
  view.ready = ready;
  // The configuration version of a VM never decreases within an incarnation.
  if (view.config_version < config_version) {
    view.config_version = config_version;
    const auto digest = digests_.find(config_version);
    view.config_digest = digest == digests_.end() ? "" : digest->second;
  }
  member.announced_leaving = leaving;
  return UpdateFlags(member, events) || changed;
}

}  // namespace zr
