#include "zr_admission/gather_coordinator.h"

#include <algorithm>
#include <utility>

#include "zr_admission/owner_types.h"

namespace zr {
namespace {

constexpr size_t kMinParts = 3;
constexpr Duration kHoldFor = Duration::Seconds(5);
// A gather must complete this soon after its first reservation. The rest of
// the hold covers the start by the ingress (1 s), its first list of held
// grants (0.5 s) and the way of the messages.
constexpr Duration kLongestTry = Duration::Milliseconds(2500);
constexpr Duration kReplyTimeout = Duration::Milliseconds(700);
constexpr Duration kFirstPause = Duration::Milliseconds(100);
constexpr Duration kLongestPause = Duration::Seconds(1);
// Part of an engine's usable memory that a part may fill. Filling all of it
// would wait for the last stream there to end.
constexpr int64_t kFillPercent = 90;
constexpr size_t kMaxWaiting = 64;

StreamKey KeyOf(const AdmissionRequest& request) {
  return StreamKey{request.request, request.attempt};
}

int64_t Usable(const GatherCandidate& candidate, const PoolPolicy& policy) {
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

TokenCount GatherCoordinator::RoomOf(
    const std::vector<GatherCandidate>& endpoints, const PoolPolicy& policy) {
  int64_t room = 0;
  for (const GatherCandidate& endpoint : endpoints) {
    room += Usable(endpoint, policy);
  }
  return TokenCount(endpoints.size() < kMinParts ? 0 : room);
}

GatherCoordinator::Messages GatherCoordinator::OnRequest(
    TimePoint now, const VmId& from, const AdmissionRequest& request) {
  Messages out;
  const StreamKey key = KeyOf(request);
  for (Done& done : done_) {
    if (done.key != key || now - done.at >= kStartWithin) continue;
    // The grant was lost on its way; what is left of its time still holds.
    done.grant.start_within = kStartWithin - (now - done.at);
    out.push_back(OutgoingMessage{from, done.grant});
    return out;
  }
  for (Gather& gather : waiting_) {
    if (KeyOf(gather.request) != key) continue;
    gather.from = from;
    return out;
  }
  Gather gather;
  gather.from = from;
  gather.request = request;
  gather.deadline = now + request.time_left;
  gather.retry_at = now;
  const bool busy = !waiting_.empty() && !request.queue_if_busy;
  if (busy || waiting_.size() >= kMaxWaiting) {
    Refuse(gather, RefusalReason::kBusy, kHoldFor, out);
    return out;
  }
  waiting_.push_back(std::move(gather));
  Step(now, out);
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

bool GatherCoordinator::PlanParts(Gather& gather) const {
  const int64_t total =
      gather.request.prompt.value() + gather.request.max_answer.value();
  std::vector<const GatherCandidate*> usable;
  for (const GatherCandidate& candidate : candidates_) {
    if (candidate.accepts_new && Usable(candidate, policy_) > 0) {
      usable.push_back(&candidate);
    }
  }
  // Emptier endpoints first; they free the memory soonest.
  std::sort(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
    return std::pair(-a->kv_free.value(), a->endpoint) <
           std::pair(-b->kv_free.value(), b->endpoint);
  });
  int64_t room = 0;
  size_t count = 0;
  while (count < usable.size() && (count < kMinParts || room < total)) {
    room += Usable(*usable[count++], policy_);
  }
  if (count < kMinParts || room < total) return false;
  usable.resize(count);
  std::sort(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
    return a->endpoint < b->endpoint;
  });
  int64_t left = total;
  for (const GatherCandidate* candidate : usable) {
    Part part;
    part.endpoint = candidate->endpoint;
    part.owner = candidate->owner;
    // In proportion to the endpoints' sizes; the last part takes the rounding.
    const int64_t size = Usable(*candidate, policy_);
    part.kv = TokenCount(std::min(left, (total * size + room - 1) / room));
    left -= part.kv.value();
    gather.parts.push_back(std::move(part));
  }
  return true;
}

void GatherCoordinator::Step(TimePoint now, Messages& out) {
  while (!waiting_.empty()) {
    Gather& gather = waiting_.front();
    if (now > LatestStart(gather)) {
      ReleaseParts(gather, out);
      Refuse(gather, RefusalReason::kDeadline, Duration(), out);
      waiting_.pop_front();
      continue;
    }
    if (gather.parts.empty()) {
      if (now < gather.retry_at) return;
      if (!PlanParts(gather)) {
        // Too few endpoints may be a passing state; the first tries bridge it.
        if (gather.tries < 3 && gather.request.queue_if_busy) {
          FailTry(now, gather, out);
          return;
        }
        Refuse(gather, RefusalReason::kTooLarge, Duration(), out);
        waiting_.pop_front();
        continue;
      }
    }
    AskNext(now, gather, out);
    return;
  }
}

void GatherCoordinator::AskNext(TimePoint now, Gather& gather, Messages& out) {
  for (Part& part : gather.parts) {
    if (part.state == PartState::kReserved) continue;
    if (part.state == PartState::kAsked) return;
    part.state = PartState::kAsked;
    part.asked_at = now;
    GatherReserve reserve;
    reserve.request = gather.request.request;
    reserve.attempt = gather.request.attempt;
    reserve.endpoint = part.endpoint;
    reserve.kv_tokens = part.kv;
    reserve.ttl = kHoldFor;
    out.push_back(OutgoingMessage{part.owner, std::move(reserve)});
    return;
  }
}

GatherCoordinator::Messages GatherCoordinator::OnReply(
    TimePoint now, const VmId& from, const GatherReply& reply) {
  Messages out;
  const StreamKey key{reply.request, reply.attempt};
  Part* part = nullptr;
  if (!waiting_.empty() && KeyOf(waiting_.front().request) == key) {
    for (Part& candidate : waiting_.front().parts) {
      if (candidate.endpoint != reply.endpoint || candidate.owner != from) {
        continue;
      }
      if (candidate.state == PartState::kAsked) part = &candidate;
      if (candidate.state == PartState::kReserved && reply.reserved) {
        // The earlier reply was of a reservation that this try had returned.
        candidate.number = reply.number;
      }
    }
  }
  if (part == nullptr) {
    // A reservation that came too late for its try must not stay. If the
    // endpoint is asked again in the present try, that reservation has the
    // same number, so it is dropped only when nobody counts on it.
    bool counted = false;
    if (!waiting_.empty() && KeyOf(waiting_.front().request) == key) {
      for (const Part& other : waiting_.front().parts) {
        counted |= other.number == reply.number;
      }
    }
    for (const Done& done : done_) counted |= done.key == key;
    if (reply.reserved && !counted) {
      out.push_back(
          OutgoingMessage{from, GatherRelease{reply.request, reply.attempt,
                                              reply.endpoint, reply.number}});
    }
    return out;
  }
  Gather& gather = waiting_.front();
  if (!reply.reserved) {
    part->state = PartState::kPlanned;
    FailTry(now, gather, out);
    return out;
  }
  part->state = PartState::kReserved;
  part->number = reply.number;
  part->owner_incarnation = reply.owner_incarnation;
  const bool all = std::all_of(
      gather.parts.begin(), gather.parts.end(),
      [](const Part& other) { return other.state == PartState::kReserved; });
  if (now - gather.parts.front().asked_at > kLongestTry) {
    FailTry(now, gather, out);
  } else if (all) {
    Complete(now, out);
    Step(now, out);
  } else {
    AskNext(now, gather, out);
  }
  return out;
}

void GatherCoordinator::Complete(TimePoint now, Messages& out) {
  Gather gather = std::move(waiting_.front());
  waiting_.pop_front();
  const Part& first = gather.parts.front();
  Grant grant;
  grant.request = gather.request.request;
  grant.attempt = gather.request.attempt;
  grant.endpoint = first.endpoint;
  grant.number = first.number;
  grant.owner = first.owner;
  grant.owner_incarnation = first.owner_incarnation;
  grant.kv_tokens = first.kv;
  grant.start_within = kStartWithin;
  for (size_t i = 1; i < gather.parts.size(); ++i) {
    const Part& part = gather.parts[i];
    grant.members.push_back(GatherMember{part.endpoint, part.number, part.owner,
                                         part.owner_incarnation, part.kv});
  }
  done_.push_back(Done{KeyOf(gather.request), gather.from, grant, now});
  out.push_back(OutgoingMessage{gather.from, std::move(grant)});
}

void GatherCoordinator::ReleaseParts(Gather& gather, Messages& out) {
  for (const Part& part : gather.parts) {
    if (part.state == PartState::kPlanned) continue;
    // The number of a part whose reply is missing is not known; 0 stands for
    // any.
    out.push_back(OutgoingMessage{
        part.owner,
        GatherRelease{gather.request.request, gather.request.attempt,
                      part.endpoint, part.number}});
  }
  gather.parts.clear();
}

void GatherCoordinator::FailTry(TimePoint now, Gather& gather, Messages& out) {
  ReleaseParts(gather, out);
  Duration pause = kFirstPause * (int64_t{1} << std::min(gather.tries, 4));
  pause = std::min(pause, kLongestPause);
  // Half of the pause is random, so that two coordinators do not collide again.
  const auto half = static_cast<uint64_t>(pause.microseconds() / 2);
  pause = Duration::Microseconds(
      static_cast<int64_t>(half + random_.Below(half + 1)));
  ++gather.tries;
  gather.retry_at = now + pause;
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
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (KeyOf(it->request) != key || it->from != from) continue;
    ReleaseParts(*it, out);
    waiting_.erase(it);
    break;
  }
  Step(now, out);
  return out;
}

GatherCoordinator::Messages GatherCoordinator::OnVmDead(TimePoint now,
                                                        const VmId& vm) {
  Messages out;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->from == vm) {
      ReleaseParts(*it, out);
      it = waiting_.erase(it);
      continue;
    }
    // The reservations of a dead owner are not known to its successor.
    const bool affected =
        std::any_of(it->parts.begin(), it->parts.end(), [&](const Part& part) {
          return part.owner == vm && part.state != PartState::kPlanned;
        });
    if (affected) FailTry(now, *it, out);
    ++it;
  }
  Step(now, out);
  return out;
}

GatherCoordinator::Messages GatherCoordinator::OnTick(TimePoint now) {
  Messages out;
  while (!done_.empty() && now - done_.front().at > kHoldFor) done_.pop_front();
  if (!waiting_.empty()) {
    Gather& gather = waiting_.front();
    const bool timed_out = std::any_of(
        gather.parts.begin(), gather.parts.end(), [&](const Part& part) {
          return part.state == PartState::kAsked &&
                 now - part.asked_at >= kReplyTimeout;
        });
    if (timed_out) FailTry(now, gather, out);
  }
  for (size_t i = 1; i < waiting_.size();) {
    if (now > LatestStart(waiting_[i])) {
      Refuse(waiting_[i], RefusalReason::kDeadline, Duration(), out);
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  Step(now, out);
  return out;
}

TimePoint GatherCoordinator::NextWakeup() const {
  TimePoint next = TimePoint::Max();
  for (const Gather& gather : waiting_) {
    next = std::min(next, LatestStart(gather) + Duration::Microseconds(1));
  }
  if (!waiting_.empty()) {
    const Gather& gather = waiting_.front();
    if (gather.parts.empty()) next = std::min(next, gather.retry_at);
    for (const Part& part : gather.parts) {
      if (part.state == PartState::kAsked) {
        next = std::min(next, part.asked_at + kReplyTimeout);
      }
    }
  }
  return next;
}

}  // namespace zr
