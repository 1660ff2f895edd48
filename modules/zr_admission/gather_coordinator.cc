#include "zr_admission/gather_coordinator.h"

#include <algorithm>
#include <utility>

#include "zr_admission/owner_types.h"

namespace zr {
namespace {

constexpr size_t kMinMembers = 3;
constexpr Duration kHoldFor = Duration::Seconds(5);
// A round must complete within this time of its first reservation. The rest of
// the hold covers the start by the ingress (1 s), its first list of held grants
// (0.5 s) and message delays.
constexpr Duration kMaxRoundTime = Duration::Milliseconds(2500);
constexpr Duration kReplyTimeout = Duration::Milliseconds(700);
constexpr Duration kInitialBackoff = Duration::Milliseconds(100);
constexpr Duration kMaxBackoff = Duration::Seconds(1);
// Percentage of an engine's usable KV tokens that a member may take. Taking all
// of them would have to wait for the last stream on the engine to end.
constexpr int64_t kFillPercent = 90;
constexpr size_t kMaxGathers = 64;

StreamKey KeyOf(const AdmissionRequest& request) {
  return StreamKey{request.request, request.attempt};
}

int64_t UsableTokens(const GatherCandidate& candidate,
                     const PoolPolicy& policy) {
  const int64_t margin =
      std::clamp<int64_t>(policy.kv_margin_permille, 0, 1000);
  return candidate.kv_capacity.value() / 1000 * (1000 - margin) * kFillPercent /
         100;
}

}  // namespace

GatherCoordinator::GatherCoordinator(VmId self, PoolPolicy policy,
                                     uint64_t seed)
    : self_(std::move(self)), policy_(std::move(policy)), random_(seed) {}

void GatherCoordinator::OnCandidates(std::vector<GatherCandidate> candidates) {
  candidates_ = std::move(candidates);
}

TokenCount GatherCoordinator::MaxGatherTokens(
    const std::vector<GatherCandidate>& endpoints, const PoolPolicy& policy) {
  int64_t capacity = 0;
  for (const GatherCandidate& endpoint : endpoints) {
    capacity += UsableTokens(endpoint, policy);
  }
  return TokenCount(endpoints.size() < kMinMembers ? 0 : capacity);
}

GatherCoordinator::Messages GatherCoordinator::OnRequest(
    TimePoint now, const VmId& from, const AdmissionRequest& request) {
  Messages out;
  const StreamKey key = KeyOf(request);
  for (CompletedGather& done : done_) {
    if (done.key != key || now - done.at >= kStartWithin) continue;
    // The grant was lost in transit; resend it with the remaining start time.
    done.grant.start_within = kStartWithin - (now - done.at);
    out.push_back(OutgoingMessage{from, done.grant});
    return out;
  }
  for (Gather& gather : gathers_) {
    if (KeyOf(gather.request) != key) continue;
    gather.from = from;
    return out;
  }
  Gather gather;
  gather.from = from;
  gather.request = request;
  gather.deadline = now + request.time_left;
  gather.retry_at = now;
  const bool busy = !gathers_.empty() && !request.queue_if_busy;
  if (busy || gathers_.size() >= kMaxGathers) {
    Refuse(gather, RefusalReason::kBusy, kHoldFor, out);
    return out;
  }
  gathers_.push_back(std::move(gather));
  AdvanceFront(now, out);
  return out;
}

TimePoint GatherCoordinator::LatestStart(const Gather& gather) const {
  const auto speed = [](int64_t value) { return std::max<int64_t>(1, value); };
  const AdmissionRequest& request = gather.request;
  const Duration run = Duration::Milliseconds(
      request.prompt.value() * 1000 / speed(policy_.prefill_tokens_per_second) +
      request.max_answer.value() * 1000 /
          speed(policy_.decode_tokens_per_second));
  return gather.deadline - run;
}

bool GatherCoordinator::PlanMembers(Gather& gather) const {
  const int64_t total =
      gather.request.prompt.value() + gather.request.max_answer.value();
  std::vector<const GatherCandidate*> usable;
  for (const GatherCandidate& candidate : candidates_) {
    if (candidate.accepts_new && UsableTokens(candidate, policy_) > 0) {
      usable.push_back(&candidate);
    }
  }
  // Emptiest endpoints first; they can reserve the KV tokens soonest.
  std::sort(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
    return std::pair(-a->kv_free.value(), a->endpoint) <
           std::pair(-b->kv_free.value(), b->endpoint);
  });
  int64_t capacity = 0;
  size_t count = 0;
  while (count < usable.size() && (count < kMinMembers || capacity < total)) {
    capacity += UsableTokens(*usable[count++], policy_);
  }
  if (count < kMinMembers || capacity < total) return false;
  usable.resize(count);
  std::sort(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
    return a->endpoint < b->endpoint;
  });
  int64_t left = total;
  for (const GatherCandidate* candidate : usable) {
    Member member;
    member.endpoint = candidate->endpoint;
    member.owner = candidate->owner;
    // In proportion to the endpoints' sizes; the last member takes the
    // rounding.
    const int64_t size = UsableTokens(*candidate, policy_);
    member.kv =
        TokenCount(std::min(left, (total * size + capacity - 1) / capacity));
    left -= member.kv.value();
    gather.members.push_back(std::move(member));
  }
  return true;
}

void GatherCoordinator::AdvanceFront(TimePoint now, Messages& out) {
  while (!gathers_.empty()) {
    Gather& gather = gathers_.front();
    if (now > LatestStart(gather)) {
      ReleaseMembers(gather, out);
      Refuse(gather, RefusalReason::kDeadline, Duration(), out);
      gathers_.pop_front();
      continue;
    }
    if (gather.members.empty()) {
      if (now < gather.retry_at) return;
      if (!PlanMembers(gather)) {
        // A shortage of endpoints may be transient, so retry a few times.
        if (gather.failed_rounds < 3 && gather.request.queue_if_busy) {
          AbortAndBackOff(now, gather, out);
          return;
        }
        Refuse(gather, RefusalReason::kTooLarge, Duration(), out);
        gathers_.pop_front();
        continue;
      }
    }
    ReserveNext(now, gather, out);
    return;
  }
}

void GatherCoordinator::ReserveNext(TimePoint now, Gather& gather,
                                    Messages& out) {
  for (Member& member : gather.members) {
    if (member.state == MemberState::kReserved) continue;
    if (member.state == MemberState::kRequested) return;
    member.state = MemberState::kRequested;
    member.requested_at = now;
    GatherReserve reserve;
    reserve.request = gather.request.request;
    reserve.attempt = gather.request.attempt;
    reserve.endpoint = member.endpoint;
    reserve.kv_tokens = member.kv;
    reserve.ttl = kHoldFor;
    out.push_back(OutgoingMessage{member.owner, std::move(reserve)});
    return;
  }
}

GatherCoordinator::Messages GatherCoordinator::OnReply(
    TimePoint now, const VmId& from, const GatherReply& reply) {
  Messages out;
  const StreamKey key{reply.request, reply.attempt};
  Member* member = nullptr;
  if (!gathers_.empty() && KeyOf(gathers_.front().request) == key) {
    for (Member& candidate : gathers_.front().members) {
      if (candidate.endpoint != reply.endpoint || candidate.owner != from) {
        continue;
      }
      if (candidate.state == MemberState::kRequested) member = &candidate;
      if (candidate.state == MemberState::kReserved && reply.reserved) {
        // The earlier reply was to a reservation released before this round.
        candidate.number = reply.number;
      }
    }
  }
  if (member == nullptr) {
    // A reservation that arrives after its round has ended must be released. If
    // the current round requests the same endpoint again, the owner returns the
    // same reservation number, so release it only if no gather uses it.
    bool in_use = false;
    if (!gathers_.empty() && KeyOf(gathers_.front().request) == key) {
      for (const Member& other : gathers_.front().members) {
        in_use |= other.number == reply.number;
      }
    }
    for (const CompletedGather& done : done_) in_use |= done.key == key;
    if (reply.reserved && !in_use) {
      out.push_back(
          OutgoingMessage{from, GatherRelease{reply.request, reply.attempt,
                                              reply.endpoint, reply.number}});
    }
    return out;
  }
  Gather& gather = gathers_.front();
  if (!reply.reserved) {
    member->state = MemberState::kPlanned;
    AbortAndBackOff(now, gather, out);
    return out;
  }
  member->state = MemberState::kReserved;
  member->number = reply.number;
  member->owner_incarnation = reply.owner_incarnation;
  const bool all = std::all_of(gather.members.begin(), gather.members.end(),
                               [](const Member& other) {
                                 return other.state == MemberState::kReserved;
                               });
  if (now - gather.members.front().requested_at > kMaxRoundTime) {
    AbortAndBackOff(now, gather, out);
  } else if (all) {
    Complete(now, out);
    AdvanceFront(now, out);
  } else {
    ReserveNext(now, gather, out);
  }
  return out;
}

void GatherCoordinator::Complete(TimePoint now, Messages& out) {
  Gather gather = std::move(gathers_.front());
  gathers_.pop_front();
  const Member& first = gather.members.front();
  Grant grant;
  grant.request = gather.request.request;
  grant.attempt = gather.request.attempt;
  grant.endpoint = first.endpoint;
  grant.number = first.number;
  grant.owner = first.owner;
  grant.owner_incarnation = first.owner_incarnation;
  grant.kv_tokens = first.kv;
  grant.start_within = kStartWithin;
  for (size_t i = 1; i < gather.members.size(); ++i) {
    const Member& member = gather.members[i];
    grant.members.push_back(GatherMember{member.endpoint, member.number,
                                         member.owner, member.owner_incarnation,
                                         member.kv});
  }
  done_.push_back(
      CompletedGather{KeyOf(gather.request), gather.from, grant, now});
  out.push_back(OutgoingMessage{gather.from, std::move(grant)});
}

void GatherCoordinator::ReleaseMembers(Gather& gather, Messages& out) {
  for (const Member& member : gather.members) {
    if (member.state == MemberState::kPlanned) continue;
    // Without a reply the reservation number is unknown; 0 matches any.
    out.push_back(OutgoingMessage{
        member.owner,
        GatherRelease{gather.request.request, gather.request.attempt,
                      member.endpoint, member.number}});
  }
  gather.members.clear();
}

void GatherCoordinator::AbortAndBackOff(TimePoint now, Gather& gather,
                                        Messages& out) {
  ReleaseMembers(gather, out);
  Duration backoff =
      kInitialBackoff * (int64_t{1} << std::min(gather.failed_rounds, 4));
  backoff = std::min(backoff, kMaxBackoff);
  // Half of the backoff is random, so that two coordinators don't collide
  // again.
  const auto half = static_cast<uint64_t>(backoff.microseconds() / 2);
  backoff = Duration::Microseconds(
      static_cast<int64_t>(half + random_.Below(half + 1)));
  ++gather.failed_rounds;
  gather.retry_at = now + backoff;
}

void GatherCoordinator::Refuse(const Gather& gather, RefusalReason reason,
                               Duration wait_hint, Messages& out) const {
  Refusal refusal;
  refusal.request = gather.request.request;
  refusal.attempt = gather.request.attempt;
  refusal.reason = reason;
  refusal.wait_hint = wait_hint;
  out.push_back(OutgoingMessage{gather.from, std::move(refusal)});
}

GatherCoordinator::Messages GatherCoordinator::OnCancel(
    TimePoint now, const VmId& from, const CancelAdmission& cancel) {
  Messages out;
  const StreamKey key{cancel.request, cancel.attempt};
  for (auto it = gathers_.begin(); it != gathers_.end(); ++it) {
    if (KeyOf(it->request) != key || it->from != from) continue;
    ReleaseMembers(*it, out);
    gathers_.erase(it);
    break;
  }
  AdvanceFront(now, out);
  return out;
}

GatherCoordinator::Messages GatherCoordinator::OnVmDown(TimePoint now,
                                                        const VmId& vm) {
  Messages out;
  for (auto it = gathers_.begin(); it != gathers_.end();) {
    if (it->from == vm) {
      ReleaseMembers(*it, out);
      it = gathers_.erase(it);
      continue;
    }
    // The successor of a failed owner doesn't know its reservations.
    const bool affected = std::any_of(
        it->members.begin(), it->members.end(), [&](const Member& member) {
          return member.owner == vm && member.state != MemberState::kPlanned;
        });
    if (affected) AbortAndBackOff(now, *it, out);
    ++it;
  }
  AdvanceFront(now, out);
  return out;
}

GatherCoordinator::Messages GatherCoordinator::OnTick(TimePoint now) {
  Messages out;
  while (!done_.empty() && now - done_.front().at > kHoldFor) done_.pop_front();
  if (!gathers_.empty()) {
    Gather& gather = gathers_.front();
    const bool timed_out =
        std::any_of(gather.members.begin(), gather.members.end(),
                    [&](const Member& member) {
                      return member.state == MemberState::kRequested &&
                             now - member.requested_at >= kReplyTimeout;
                    });
    if (timed_out) AbortAndBackOff(now, gather, out);
  }
  for (size_t i = 1; i < gathers_.size();) {
    if (now > LatestStart(gathers_[i])) {
      Refuse(gathers_[i], RefusalReason::kDeadline, Duration(), out);
      gathers_.erase(gathers_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  AdvanceFront(now, out);
  return out;
}

TimePoint GatherCoordinator::NextWakeup() const {
  TimePoint next = TimePoint::Max();
  for (const Gather& gather : gathers_) {
    next = std::min(next, LatestStart(gather) + Duration::Microseconds(1));
  }
  if (!gathers_.empty()) {
    const Gather& gather = gathers_.front();
    if (gather.members.empty()) next = std::min(next, gather.retry_at);
    for (const Member& member : gather.members) {
      if (member.state == MemberState::kRequested) {
        next = std::min(next, member.requested_at + kReplyTimeout);
      }
    }
  }
  return next;
}

}  // namespace zr
