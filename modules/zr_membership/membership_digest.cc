#include <algorithm>
#include <utility>

#include "zr_membership/membership.h"

namespace zr {
namespace {

constexpr int64_t kBeatUnit = 125'000;  // microseconds
constexpr unsigned kBeatBits =
    14;  // 2,048 s, more than three times what is remembered
constexpr unsigned kBeatMask = (1U << kBeatBits) - 1;
constexpr unsigned kReadyBit = 1U << 14;
constexpr unsigned kLeavingBit = 1U << 15;
// Clocks may drift apart by this part of the elapsed time.
constexpr int64_t kDriftDivisor = 1000;
// New news never counts as older, so that a VM whose clock stood still is not
// lost.
constexpr Duration kOldestNews = Duration::Seconds(5);
constexpr unsigned kOlderVersion = 3;
constexpr size_t kRostersKept = 16;
// Records of a whole roster are large, 34 KB at 420 VMs.
constexpr Duration kRecordsPeriod = Duration::Seconds(1);
constexpr size_t kMaxNews = 200;
constexpr Duration kNewsDelay = Duration::Milliseconds(100);

uint64_t BeatAt(TimePoint now) {
  return static_cast<uint64_t>(now.microseconds() / kBeatUnit) + 1;
}

TimePoint OriginOf(TimePoint now, uint64_t beat) {
  return now - Duration::Microseconds(static_cast<int64_t>(beat) * kBeatUnit);
}

/** The beat nearest to a known one with the given lower bits. */
uint64_t ExpandBeat(uint64_t known, unsigned low) {
  const unsigned ahead = (low - static_cast<unsigned>(known)) & kBeatMask;
  if (ahead <= kBeatMask / 2) return known + ahead;
  const uint64_t back = kBeatMask + 1 - ahead;
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
  if (hash == 0) hash = 1;  // 0 marks a beat
  rosters_.emplace_front(hash, std::move(roster));
  if (rosters_.size() > kRostersKept) rosters_.pop_back();
}

const Membership::Roster* Membership::FindRoster(uint64_t hash) const {
  for (const auto& [known, roster] : rosters_) {
    if (known == hash) return &roster;
  }
  return nullptr;
}

MembershipDigest Membership::MakeBeat(TimePoint now) {
  const VmView& self = members_.at(options_.self).view;
  MembershipDigest digest;
  digest.sender = {options_.self, options_.incarnation, ++sequence_};
  digest.ready = self.ready;
  digest.leaving = self.leaving;
  digest.config_version = self.config_version;
  digest.heartbeat_tick = BeatAt(now);
  return digest;
}

void Membership::AddRecord(TimePoint now, const Member& member,
                           MembershipDigest& digest) const {
  const VmView& view = member.view;
  const Duration age =
      view.vm == options_.self ? Duration() : now - view.last_heard;
  digest.records.push_back(
      {view.vm, view.incarnation, view.domain, view.region, view.peer_address,
       view.weight, view.ready, member.announced_leaving, view.config_version,
       view.vm == options_.self ? BeatAt(now) : member.beat, age});
}

void Membership::AddNews(TimePoint now, MembershipDigest& beat) {
  for (auto it = news_.begin();
       it != news_.end() && beat.records.size() < kMaxNews;) {
    const auto member = members_.find(it->first);
    if (member != members_.end()) AddRecord(now, member->second, beat);
    it = --it->second <= 0 ? news_.erase(it) : std::next(it);
  }
}

void Membership::LearnNews(TimePoint now, const VmId& vm) {
  roster_changed_ = true;
  news_[vm] = kNewsCopies;
  // Rosters that differ slow down digests, so news does not wait for the next
  // beat.
  next_beat_ = std::min(next_beat_, now + kNewsDelay);
  next_heartbeat_ = std::min(next_heartbeat_, next_beat_);
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
    const uint64_t beat = vm == options_.self ? BeatAt(now) : member.beat;
    auto state = static_cast<unsigned>(beat & kBeatMask);
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
  if (announce || now >= next_beat_) {
    next_beat_ = now + options_.beat_period;
    MembershipDigest beat = MakeBeat(now);
    AddNews(now, beat);
    for (const VmId& link : links) messages.push_back({link, beat});
  }
  if (now >= next_digest_ && !links.empty()) {
    next_digest_ = now + options_.digest_period;
    MembershipDigest digest = MakeBeat(now);
    AddStates(now, digest);
    // Each round visits all links in another order; a fixed order spreads news
    // much more slowly.
    if (link_round_.empty()) {
      link_round_ = links;
      for (size_t i = link_round_.size() - 1; i > 0; --i) {
        std::swap(link_round_[i], link_round_[link_order_.Below(i + 1)]);
      }
    }
    messages.push_back({link_round_.back(), std::move(digest)});
    link_round_.pop_back();
  }
  next_heartbeat_ = std::min(next_beat_, next_digest_);
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
    changed |= TakeRecord(now, record, outcome.events);
  }
  if (!digest.config_digest.empty()) {
    digest_of_[digest.config_version] = digest.config_digest;
  }
  while (digest_of_.size() > 16) digest_of_.erase(digest_of_.begin());

  const auto sender = members_.find(stamp.vm);
  const bool known = sender != members_.end() &&
                     sender->second.view.incarnation >= stamp.incarnation;
  if (known && sender->second.view.incarnation == stamp.incarnation &&
      stamp.sequence > sender->second.sequence) {
    sender->second.sequence = stamp.sequence;
    changed |=
        TakeState(now, sender->second, digest.heartbeat_tick, digest.ready,
                  digest.leaving, digest.config_version, outcome.events);
  }
  RefreshRoster();
  const Roster* roster =
      digest.roster_hash != 0 ? FindRoster(digest.roster_hash) : nullptr;
  if (roster != nullptr) {
    changed |= TakeStates(now, digest, *roster, outcome.events);
  }
  if (changed) Publish(now, true);

  const bool asks =
      (!known || (digest.roster_hash != 0 && roster == nullptr)) &&
      now >= next_request_;
  const bool answers = digest.wants_records && now >= next_records_;
  if (!asks && !answers) return outcome;
  outcome.answer = MakeBeat(now);
  outcome.answer->wants_records = asks;
  if (asks) next_request_ = now + kRecordsPeriod;
  if (answers) {
    next_records_ = now + kRecordsPeriod;
    for (const auto& [vm, member] : members_) {
      AddRecord(now, member, *outcome.answer);
    }
  }
  return outcome;
}

bool Membership::TakeRecord(TimePoint now, const VmRecord& record,
                            Events& events) {
  if (record.vm.empty() || record.vm == options_.self ||
      record.incarnation.value() == 0 || record.weight == 0 ||
      record.age < Duration()) {
    return false;
  }
  const auto it = members_.find(record.vm);
  const bool is_new = it == members_.end();
  if (!is_new && record.incarnation < it->second.view.incarnation) return false;
  const TimePoint heard = now - record.age;
  if (is_new || record.incarnation > it->second.view.incarnation) {
    // A VM that is about to be forgotten is not learnt again.
    if (is_new && record.age > options_.remember_for - Duration::Seconds(30)) {
      return false;
    }
    Member& member = members_[record.vm];
    if (!is_new && member.live) {
      events.push_back({Kind::kVmDied, record.vm, member.view.incarnation});
    }
    const TimePoint first_heard = is_new ? now : member.view.first_heard;
    member = Member();
    member.view.vm = record.vm;
    member.view.incarnation = record.incarnation;
    member.view.domain = record.domain;
    member.view.region = record.region;
    member.view.peer_address = record.peer_address;
    member.view.weight = record.weight;
    member.view.first_heard = first_heard;
    member.view.last_heard = heard;
    member.clock_origin = OriginOf(heard, record.heartbeat_tick);
    member.origin_at = now;
    LearnNews(now, record.vm);
  }
  const bool changed =
      TakeState(now, members_.at(record.vm), record.heartbeat_tick,
                record.ready, record.leaving, record.config_version, events);
  Member& member = members_.at(record.vm);
  if (member.live || now - member.view.last_heard > SuspectAfter()) {
    return changed;
  }
  member.live = true;
  events.push_back({is_new ? Kind::kVmAppeared : Kind::kVmReturned, record.vm,
                    record.incarnation});
  Events no_events;
  ApplyMarks(member, no_events);
  return true;
}

bool Membership::TakeStates(TimePoint now, const MembershipDigest& digest,
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
    changed |= TakeState(
        now, it->second, ExpandBeat(it->second.beat, state & kBeatMask),
        (state & kReadyBit) != 0, (state & kLeavingBit) != 0, version, events);
    if (!it->second.live &&
        now - it->second.view.last_heard <= SuspectAfter()) {
      it->second.live = true;
      events.push_back({Kind::kVmReturned, vm, incarnation});
      changed = true;
    }
  }
  return changed;
}

bool Membership::TakeState(TimePoint now, Member& member, uint64_t beat,
                           bool ready, bool leaving,
                           ObjectVersion config_version, Events& events) {
  VmView& view = member.view;
  if (beat <= member.beat) return false;
  member.beat = beat;
  // The fastest news tells best how the VM's clock relates to this one.
  TimePoint origin = OriginOf(now, beat);
  if (member.clock_origin) {
    const Duration drift = Duration::Microseconds(
        (now - member.origin_at).microseconds() / kDriftDivisor);
    origin = std::max(std::min(origin, *member.clock_origin + drift),
                      origin - kOldestNews);
  }
  member.clock_origin = origin;
  member.origin_at = now;
  const Duration age = OriginOf(now, beat) - origin;
  view.last_heard = std::max(view.last_heard, now - age);
  bool changed = view.ready != ready || view.config_version < config_version;
  view.ready = ready;
  // A VM's version never falls within an incarnation.
  if (view.config_version < config_version) {
    view.config_version = config_version;
    const auto digest = digest_of_.find(config_version);
    view.config_digest = digest == digest_of_.end() ? "" : digest->second;
  }
  member.announced_leaving = leaving;
  return ApplyMarks(member, events) || changed;
}

}  // namespace zr
