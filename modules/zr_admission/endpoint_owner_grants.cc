#include <algorithm>
#include <utility>

#include "zr_admission/endpoint_owner.h"

namespace zr {
namespace {

// The engine drops an unclaimed stream after its window; the reservation of a
// reclaimed grant is kept this much longer if no list confirms the end.
constexpr Duration kCancelSlack = Duration::Seconds(1);
// Assumed rest of a prefill that should have ended, about half a short prompt.
constexpr double kUnseenPrefillTokens = 512;
constexpr Duration kLongestGatherHold = Duration::Seconds(5);
// A gather that failed here keeps its place while its coordinator backs off.
constexpr Duration kWantedGatherHold = Duration::Seconds(2);

}  // namespace

void EndpointOwner::Expire(TimePoint now, OwnerActions& actions) {
  std::vector<StreamKey> ended;
  for (auto& [key, entry] : grants_.entries()) {
    if (entry.expires > now) continue;
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
  if (entry.state != GrantState::kCancelling) ++counters_.reclaimed;
  entry.state = GrantState::kCancelling;
  entry.cancelled_at = now;
  ++entry.cancels;
  entry.expires = now + options_.policies.pool.unclaimed_window + kCancelSlack;
  const std::string id =
      !entry.gather_stream.empty()
          ? entry.gather_stream
          : MakeStreamId(entry.key.request, entry.key.attempt, entry.owner,
                         entry.owner_incarnation, entry.number);
  actions.emplace_back(CancelEngineStream{id, EngineStreamKind::kStream});
  if (entry.gather_part) {
    actions.emplace_back(CancelEngineStream{id, EngineStreamKind::kImport});
  }
  engine_.WantList();
}

// -----------------------------------------------------------------------------
// Releases and holders' lists

OwnerActions EndpointOwner::OnRelease(TimePoint now, const VmId& /*from*/,
                                      const GrantRelease& release) {
  Advance(now);
  OwnerActions actions;
  const StreamKey key{release.request, release.attempt};
  GrantEntry* entry = grants_.Find(key);
  // A release of an earlier grant of the attempt says nothing about this one.
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
      // An endpoint that refuses what it should have room for may be starting.
      if (!entry->plain) engine_.BeginDoubt(now);
      grants_.Remove(key, now);
      break;
    case ReleaseOutcome::kEndpointFailed:
      entry->broken = true;
      if (entry->boot != BootNumber() && entry->boot != engine_.boot()) {
        // The engine is known to have restarted since; the call ended with it.
        ReportSuspect(*entry, actions);
        grants_.Remove(key, now);
        break;
      }
      if (entry->plain) {
        grants_.Remove(key, now);
      } else {
        Reclaim(now, *entry, actions);
      }
      // A plain service has no stream list that could settle the doubt.
      if (options_.policies.pool.kind == PoolKind::kModel) {
        engine_.BeginDoubt(now);
      }
      break;
  }
  return Finish(now, std::move(actions));
}

void EndpointOwner::ObserveCompleted(const GrantEntry& entry,
                                     const GrantRelease& release) {
  // The owner that issued a grant counts it as well, if it still lives; counted
  // twice, the work of one fresh endpoint would let two owners grow too fast.
  const bool counted_once = !entry.adopted || entry.owner == options_.self ||
                            gone_vms_.contains(entry.owner);
  if (counted_once && entry.boot == engine_.boot()) ramp_.OnCompleted();
  if (entry.plain) {
    model_.ObservePlainCall(entry.request_class, release.run_time);
    return;
  }
  // Of an adopted grant only a part of the run was seen.
  if (entry.adopted) return;
  ServiceTimeModel::Observation seen;
  seen.request_class = entry.request_class;
  seen.prefill_tokens = entry.uncached;
  // If the call ended before its estimated prefill did, the rest counts as
  // well.
  seen.prefill_seconds =
      entry.prefill_seconds + entry.prefill_left / model_.PrefillSpeed();
  seen.beside_prefill_seconds = entry.beside_prefill_seconds;
  seen.answered = static_cast<double>(release.answered.value());
  seen.max_answer = static_cast<double>(entry.max_answer.value());
  const double run = release.run_time.seconds();
  const double watched = (advanced_to_ - entry.granted).seconds();
  seen.batch = watched > 0 ? entry.batch_seconds / watched : 1;
  // A release that was delayed on its way would smear the mean over idle time.
  if (watched > run * 2 + 1) return;
  seen.run_time = release.run_time;
  seen.first_token = release.first_token;
  model_.ObserveModelCall(seen);
}

OwnerActions EndpointOwner::OnHeldGrants(TimePoint now,
                                         const HeldGrants& list) {
  Advance(now);
  OwnerActions actions;
  SenderStamp& last = last_list_[list.holder.vm];
  const bool newer = std::pair(list.holder.incarnation, list.holder.sequence) >
                     std::pair(last.incarnation, last.sequence);
  if (list.endpoint != options_.endpoint.endpoint ||
      (!newer && !last.vm.empty())) {
    return Finish(now, std::move(actions));
  }
  last = list.holder;
  gone_vms_.erase(list.holder.vm);
  for (const HeldGrant& held : list.grants) {
    ApplyHeld(now, list.holder.vm, held, actions);
  }
  return Finish(now, std::move(actions));
}

void EndpointOwner::ApplyHeld(TimePoint now, const VmId& holder,
                              const HeldGrant& held, OwnerActions& actions) {
  const StreamKey key{held.request, held.attempt};
  GrantEntry* entry = grants_.Find(key);
  if (entry == nullptr) {
    if (!grants_.EndedRecently(key, held.owner, held.number)) {
      Adopt(now, holder, held);
    } else if (held.started) {
      // The holder believes in a grant that was taken back. Its stream was
      // cancelled; if it got through to the engine again, it must not stay.
      actions.emplace_back(
          CancelEngineStream{MakeStreamId(held), EngineStreamKind::kStream});
      engine_.WantList();
    }
    return;
  }
  if (entry->state == GrantState::kCancelling) {
    entry->expires =
        now + options_.policies.pool.unclaimed_window + kCancelSlack;
    return;
  }
  if (entry->number != held.number || entry->owner != held.owner) {
    // The holder uses the grant that another owner gave for the same attempt.
    grants_.Remove(key, now);
    Adopt(now, holder, held);
    return;
  }
  if (entry->state == GrantState::kGathered) {
    entry->prefill_left = entry->uncached =
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
    // The prefill takes longer than estimated; some of it is still to come.
    entry->prefill_left = std::max(
        entry->prefill_left, std::min(entry->uncached, kUnseenPrefillTokens));
  }
  if (entry->fingerprint == Fingerprint()) {
    entry->fingerprint = held.fingerprint;
  }
  entry->expires = now + kReclaimAfter;
}

void EndpointOwner::Adopt(TimePoint now, const VmId& holder,
                          const HeldGrant& held) {
  GrantEntry entry;
  entry.key = StreamKey{held.request, held.attempt};
  // Another owner granted what waits here; it must not run twice.
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
  entry.gather_part = !held.gather_stream.empty();
  entry.plain = options_.policies.pool.kind == PoolKind::kService;
  entry.fingerprint = held.fingerprint;
  entry.boot = engine_.boot();
  entry.granted = now;
  entry.expires = now + kReclaimAfter;
  // How far the work got is not known; all of it is the safe assumption.
  entry.uncached = entry.prefill_left = static_cast<double>(
      std::clamp(held.prompt, TokenCount(0), entry.kv).value());
  entry.expected_answer = entry.answer_left =
      static_cast<double>(entry.kv.value()) - entry.uncached;
  engine_.OnClaimed(entry.key);
  grants_.Add(std::move(entry));
  ramp_.SetDemonstrated(grants_.AdoptedCount());
}

// -----------------------------------------------------------------------------
// Gather

OwnerActions EndpointOwner::OnGatherReserve(TimePoint now, const VmId& from,
                                            const GatherReserve& reserve) {
  Advance(now);
  OwnerActions actions;
  const StreamKey key{reserve.request, reserve.attempt};
  const Duration hold = std::clamp(reserve.ttl, Duration(), kLongestGatherHold);
  if (GrantEntry* known = grants_.Find(key)) {
    const bool same = known->state == GrantState::kGathered &&
                      known->holder == from && known->kv == reserve.kv_tokens;
    if (same) known->expires = now + hold;
    ReplyGather(from, reserve, same ? known : nullptr, kReclaimAfter, actions);
    return Finish(now, std::move(actions));
  }
  const bool open =
      Accepting() && !engine_.in_doubt() && !engine_.taking_over() &&
      engine_.has_load() && !grants_.AnyRunAlone() &&
      reserve.kv_tokens > TokenCount(0) && queue_.Find(key) == nullptr;
  if (open && planner_.FreeSlots(now) >= 1 &&
      planner_.FreeKv() >= reserve.kv_tokens) {
    last_grant_ = last_grant_.Next();
    GrantEntry entry;
    entry.key = key;
    entry.state = GrantState::kGathered;
    entry.gather_part = true;
    entry.holder = from;
    entry.owner = options_.self;
    entry.owner_incarnation = options_.incarnation;
    entry.number = last_grant_;
    entry.kv = reserve.kv_tokens;
    entry.long_prompt = true;
    entry.boot = engine_.boot();
    entry.granted = now;
    entry.expires = now + hold;
    ReplyGather(from, reserve, &grants_.Add(std::move(entry)), Duration(),
                actions);
    if (wanted_gather_ && wanted_gather_->key == key) wanted_gather_.reset();
    ++counters_.grants;
  } else {
    const bool fits_empty = reserve.kv_tokens <= engine_.KvWhenEmpty();
    if (open && fits_empty && (!wanted_gather_ || wanted_gather_->key == key)) {
      wanted_gather_ =
          WantedGather{key, reserve.kv_tokens, now + kWantedGatherHold};
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
  if (wanted_gather_ && wanted_gather_->key == key) wanted_gather_.reset();
  const GrantEntry* entry = grants_.Find(key);
  // After a holder has listed the part, only its release counts. Number 0
  // stands for a reservation whose reply was lost.
  const bool matches =
      entry != nullptr && entry->state == GrantState::kGathered &&
      (release.number == GrantNumber() || release.number == entry->number);
  if (matches) grants_.Remove(key, now);
  return Finish(now, {});
}

}  // namespace zr
