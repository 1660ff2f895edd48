#include "zr_request/suspect_leases.h"

namespace zr {

SuspectTurnReply SuspectLeases::OnLeaseRequest(TimePoint now, const VmId& from,
                                               const SuspectTurn& request) {
  Expire(now);
  SuspectTurnReply reply;
  reply.fingerprint = request.fingerprint;
  reply.request = request.request;
  reply.wait_hint = options_.wait_hint;
  if (request.returned) {
    const auto it = leases_.find(request.fingerprint);
    if (it != leases_.end() && it->second.vm == from &&
        it->second.request == request.request) {
      leases_.erase(it);
    }
    if (request.harmless) table_.OnRunCompleted(now, request.fingerprint);
    return reply;
  }
  reply.answer = Decide(now, from, request);
  return reply;
}

void SuspectLeases::Expire(TimePoint now) {
  std::erase_if(leases_,
                [&](const auto& item) { return item.second.expires <= now; });
}

TurnAnswer SuspectLeases::Decide(TimePoint now, const VmId& from,
                                 const SuspectTurn& request) {
  const TimePoint expires = now + options_.lease;
  const auto it = leases_.find(request.fingerprint);
  if (request.holding) {
    // The run is in progress, whatever the answer. After a takeover the same
    // request id runs at another VM.
    if (it == leases_.end() || it->second.request == request.request) {
      leases_[request.fingerprint] = {from, request.request, expires};
      return TurnAnswer::kGranted;
    }
    return TurnAnswer::kWait;
  }
  if (table_.StatusOf(now, request.fingerprint) == SuspectStatus::kRefuse) {
    return TurnAnswer::kRefused;
  }
  if (table_.WasCleared(now, request.fingerprint)) return TurnAnswer::kClear;
  const bool held_by_sender = it != leases_.end() && it->second.vm == from &&
                              it->second.request == request.request;
  if ((it != leases_.end() && !held_by_sender) || now < no_grants_until_) {
    return TurnAnswer::kWait;
  }
  leases_[request.fingerprint] = {from, request.request, expires};
  return TurnAnswer::kGranted;
}

}  // namespace zr
