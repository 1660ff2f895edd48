#include <algorithm>
#include <utility>

#include "zr_admission/endpoint_owner.h"

namespace zr {
namespace {

// The engine drops an unclaimed stream after its unclaimed window. If no stream
// list confirms the end, a reclaimed grant stays reserved this much longer.
constexpr Duration kCancelGrace = Duration::Seconds(1);
// Assumed rest of a prefill that is overdue, about half a short prompt.
constexpr double kOverduePrefillTokens = 512;
constexpr Duration kMaxGatherHold = Duration::Seconds(5);
// Capacity stays set aside for a failed gather while its coordinator backs off.
constexpr Duration kPendingGatherHold = Duration::Seconds(2);

}  // namespace

void EndpointOwner::ExpireGrants(TimePoint now, OwnerActions& actions) {
  std::vector<StreamKey> ended;
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.expires_at > now) continue;
    if (entry.state == GrantState::kCancelling || entry.plain) {
      ended.push_back(key);
    } else {
      Reclaim(now, entry, actions);
    }
  }
  for (const StreamKey& key : ended) grants_.Remove(key, now);
}

void EndpointOwner::Reclaim(TimePoint now, GrantEntry& entry,
                            OwnerActions& actions) {
  if (entry.state != GrantState::kCancelling) ++counters_.grants_reclaimed;
  entry.state = GrantState::kCancelling;
  entry.cancelled_at = now;
  ++entry.cancel_count;
  entry.expires_at =
      now + options_.policies.pool.unclaimed_window + kCancelGrace;
  const std::string id =
      !entry.gather_stream.empty()
          ? entry.gather_stream
          : MakeStreamId(entry.key.request, entry.key.attempt, entry.owner,
                         entry.owner_incarnation, entry.number);
  actions.emplace_back(CancelEngineStream{id, EngineStreamKind::kStream});
  if (entry.gather_member) {
    actions.emplace_back(CancelEngineStream{id, EngineStreamKind::kImport});
  }
  engine_.ScheduleList();
}

// -----------------------------------------------------------------------------
// Releases and lists of held grants

OwnerActions EndpointOwner::OnRelease(TimePoint now, const VmId& /*from*/,
                                      const GrantRelease& release) {
  Advance(now);
  OwnerActions actions;
  const StreamKey key{release.request, release.attempt};
  GrantEntry* entry = grants_.Find(key);
  // The release may be of an earlier grant of the same attempt.
  if (entry == nullptr || entry->number != release.number) {
    return Finish(now, std::move(actions));
  }
  switch (release.outcome) {
    case ReleaseOutcome::kCompleted:
      ObserveCompleted(*entry, release);
      grants_.Remove(key, now);
      break;
    case ReleaseOutcome::kCancelled:
    case ReleaseOutcome::kNeverStarted:
      grants_.Remove(key, now);
      break;
    case ReleaseOutcome::kEndpointRefused:
      // The endpoint should have had capacity, so it may have restarted.
      if (!entry->plain) engine_.BeginDoubt(now);
      grants_.Remove(key, now);
      break;
    case ReleaseOutcome::kEndpointFailed:
      entry->connection_lost = true;
      if (entry->boot != BootNumber() && entry->boot != engine_.boot()) {
        // The engine has restarted since; the call ended with the old boot.
        ReportSuspect(*entry, actions);
        grants_.Remove(key, now);
        break;
      }
      if (entry->plain) {
        grants_.Remove(key, now);
      } else {
        Reclaim(now, *entry, actions);
      }
      // A plain service has no stream list that could confirm the boot.
      if (options_.policies.pool.kind == PoolKind::kModel) {
        engine_.BeginDoubt(now);
      }
      break;
  }
  return Finish(now, std::move(actions));
}

void EndpointOwner::ObserveCompleted(const GrantEntry& entry,
                                     const GrantRelease& release) {
  // A live owner that issued the grant counts it too. Counting it at both
  // owners would raise their slow-start limits too fast for a fresh endpoint.
  const bool counted_once = !entry.adopted || entry.owner == options_.self ||
                            failed_vms_.contains(entry.owner);
  if (counted_once && entry.boot == engine_.boot()) slow_start_.OnCompleted();
  if (entry.plain) {
    model_.ObservePlainCall(entry.request_class, release.run_time);
    return;
  }
  // Only part of an adopted grant's run was observed.
  if (entry.adopted) return;
  ServiceTimeModel::Observation observation;
  observation.request_class = entry.request_class;
  observation.prefill_tokens = entry.uncached_tokens;
  // A call may end before its estimated prefill does; add the estimated rest.
  observation.prefill_seconds =
      entry.prefill_seconds + entry.prefill_left / model_.PrefillSpeed();
  observation.overlap_seconds = entry.overlap_seconds;
  observation.answered = static_cast<double>(release.answered.value());
  observation.max_answer = static_cast<double>(entry.max_answer.value());
  const double run = release.run_time.seconds();
  const double watched = (advanced_to_ - entry.granted_at).seconds();
  observation.batch = watched > 0 ? entry.batch_seconds / watched : 1;
  // A release delayed in transit would average the batch size over idle time.
  if (watched > run * 2 + 1) return;
  observation.run_time = release.run_time;
  observation.first_token = release.first_token;
  model_.ObserveModelCall(observation);
}

OwnerActions EndpointOwner::OnHeldGrants(TimePoint now,
                                         const HeldGrants& list) {
  Advance(now);
  OwnerActions actions;
  SenderStamp& last = newest_lists_[list.holder.vm];
  const bool newer = std::pair(list.holder.incarnation, list.holder.sequence) >
                     std::pair(last.incarnation, last.sequence);
  if (list.endpoint != options_.endpoint.endpoint ||
      (!newer && !last.vm.empty())) {
    return Finish(now, std::move(actions));
  }
  last = list.holder;
  failed_vms_.erase(list.holder.vm);
  for (const HeldGrant& held : list.grants) {
    ApplyHeldGrant(now, list.holder.vm, held, actions);
  }
  return Finish(now, std::move(actions));
}

void EndpointOwner::ApplyHeldGrant(TimePoint now, const VmId& holder,
                                   const HeldGrant& held,
                                   OwnerActions& actions) {
  const StreamKey key{held.request, held.attempt};
  GrantEntry* entry = grants_.Find(key);
  if (entry == nullptr) {
    if (!grants_.HasTombstone(key, held.owner, held.number)) {
      AdoptGrant(now, holder, held);
    } else if (held.started) {
      // The holder uses a reclaimed grant. Its stream was cancelled, but the
      // call may have reached the engine afterwards, so cancel it again.
      actions.emplace_back(
          CancelEngineStream{MakeStreamId(held), EngineStreamKind::kStream});
      engine_.ScheduleList();
    }
    return;
  }
  if (entry->state == GrantState::kCancelling) {
    entry->expires_at =
        now + options_.policies.pool.unclaimed_window + kCancelGrace;
    return;
  }
  if (entry->number != held.number || entry->owner != held.owner) {
    // The holder uses a grant of another owner for the same attempt.
    grants_.Remove(key, now);
    AdoptGrant(now, holder, held);
    return;
  }
  if (entry->state == GrantState::kGathered) {
    entry->prefill_left = entry->uncached_tokens =
        static_cast<double>(entry->kv.value());
  }
  entry->state = GrantState::kHeld;
  entry->holder = holder;
  entry->started = held.started;
  entry->gather_stream = held.gather_stream;
  entry->ever_started = entry->ever_started || held.started;
  if (held.generating) {
    entry->prefill_left = 0;
  } else if (held.started && !entry->plain) {
    // The prefill takes longer than estimated; assume that some of it is left.
    entry->prefill_left =
        std::max(entry->prefill_left,
                 std::min(entry->uncached_tokens, kOverduePrefillTokens));
  }
  if (entry->fingerprint == Fingerprint()) {
    entry->fingerprint = held.fingerprint;
  }
  entry->expires_at = now + kGrantLease;
}

void EndpointOwner::AdoptGrant(TimePoint now, const VmId& holder,
                               const HeldGrant& held) {
  GrantEntry entry;
  entry.key = StreamKey{held.request, held.attempt};
  // The attempt is granted by another owner and must not run twice.
  queue_.Remove(entry.key);
  entry.state = GrantState::kHeld;
  entry.holder = holder;
  entry.owner = held.owner;
  entry.owner_incarnation = held.owner_incarnation;
  entry.number = held.number;
  entry.kv = std::max(TokenCount(0), held.kv_tokens);
  entry.adopted = true;
  entry.started = entry.ever_started = held.started;
  entry.long_prompt = held.long_prompt;
  entry.gather_stream = held.gather_stream;
  entry.gather_member = !held.gather_stream.empty();
  entry.plain = options_.policies.pool.kind == PoolKind::kService;
  entry.fingerprint = held.fingerprint;
  entry.boot = engine_.boot();
  entry.granted_at = now;
  entry.expires_at = now + kGrantLease;
  // The progress is unknown; the safe assumption is that all work is left.
  entry.uncached_tokens = entry.prefill_left = static_cast<double>(
      std::clamp(held.prompt, TokenCount(0), entry.kv).value());
  entry.expected_answer = entry.answer_left =
      static_cast<double>(entry.kv.value()) - entry.uncached_tokens;
  engine_.OnClaimed(entry.key);
  grants_.Add(std::move(entry));
  slow_start_.SetDemonstratedLoad(grants_.AdoptedCount());
}

// -----------------------------------------------------------------------------
// Gather

OwnerActions EndpointOwner::OnGatherReserve(TimePoint now, const VmId& from,
                                            const GatherReserve& reserve) {
  Advance(now);
  OwnerActions actions;
  const StreamKey key{reserve.request, reserve.attempt};
  const Duration hold = std::clamp(reserve.ttl, Duration(), kMaxGatherHold);
  if (GrantEntry* known = grants_.Find(key)) {
    const bool same = known->state == GrantState::kGathered &&
                      known->holder == from && known->kv == reserve.kv_tokens;
    if (same) known->expires_at = now + hold;
    ReplyGather(from, reserve, same ? known : nullptr, kGrantLease, actions);
    return Finish(now, std::move(actions));
  }
  const bool open =
      AcceptsNew() && !engine_.in_doubt() && !engine_.taking_over() &&
      engine_.has_load() && !grants_.AnyRunAlone() &&
      reserve.kv_tokens > TokenCount(0) && queue_.Find(key) == nullptr;
  if (open && planner_.FreeSlots(now) >= 1 &&
      planner_.FreeKv() >= reserve.kv_tokens) {
    last_grant_ = last_grant_.Next();
    GrantEntry entry;
    entry.key = key;
    entry.state = GrantState::kGathered;
    entry.gather_member = true;
    entry.holder = from;
    entry.owner = options_.self;
    entry.owner_incarnation = options_.incarnation;
    entry.number = last_grant_;
    entry.kv = reserve.kv_tokens;
    entry.long_prompt = true;
    entry.boot = engine_.boot();
    entry.granted_at = now;
    entry.expires_at = now + hold;
    ReplyGather(from, reserve, &grants_.Add(std::move(entry)), Duration(),
                actions);
    if (pending_gather_ && pending_gather_->key == key) pending_gather_.reset();
    ++counters_.grants_issued;
  } else {
    const bool fits_empty = reserve.kv_tokens <= engine_.KvWhenEmpty();
    if (open && fits_empty &&
        (!pending_gather_ || pending_gather_->key == key)) {
      pending_gather_ =
          PendingGather{key, reserve.kv_tokens, now + kPendingGatherHold};
    }
    ReplyGather(from, reserve, nullptr, planner_.DrainTime(), actions);
  }
  return Finish(now, std::move(actions));
}

void EndpointOwner::ReplyGather(const VmId& to, const GatherReserve& reserve,
                                const GrantEntry* entry, Duration wait_hint,
                                OwnerActions& actions) const {
  GatherReply reply;
  reply.request = reserve.request;
  reply.attempt = reserve.attempt;
  reply.endpoint = options_.endpoint.endpoint;
  reply.reserved = entry != nullptr;
  if (entry != nullptr) reply.number = entry->number;
  reply.wait_hint = wait_hint;
  reply.owner_incarnation = options_.incarnation;
  actions.emplace_back(SendMessage{to, std::move(reply)});
}

OwnerActions EndpointOwner::OnGatherRelease(TimePoint now, const VmId& /*from*/,
                                            const GatherRelease& release) {
  Advance(now);
  const StreamKey key{release.request, release.attempt};
  if (pending_gather_ && pending_gather_->key == key) pending_gather_.reset();
  const GrantEntry* entry = grants_.Find(key);
  // Once a holder has listed the grant, only the holder can release it. Number
  // 0 matches any reservation: the reply with its number was lost.
  const bool matches =
      entry != nullptr && entry->state == GrantState::kGathered &&
      (release.number == GrantNumber() || release.number == entry->number);
  if (matches) grants_.Remove(key, now);
  return Finish(now, {});
}

}  // namespace zr
