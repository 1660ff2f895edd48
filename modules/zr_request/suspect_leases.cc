#include "zr_request/suspect_leases.h"

namespace zr {

SuspectLeaseReply SuspectLeases::OnLeaseRequest(
    TimePoint now, const VmId& from, const SuspectLeaseRequest& request) {
  Expire(now);
  SuspectLeaseReply reply;
  reply.fingerprint = request.fingerprint;
  reply.request = request.request;
  reply.wait_hint = options_.wait_hint;
  if (request.released) {
    const auto it = leases_.find(request.fingerprint);
    if (it != leases_.end() && it->second.vm == from &&
        it->second.request == request.request) {
      leases_.erase(it);
    }
    if (request.completed) table_.OnRunCompleted(now, request.fingerprint);
    return reply;
  }
  reply.decision = Decide(now, from, request);
  return reply;
}

void SuspectLeases::Expire(TimePoint now) {
  std::erase_if(leases_,
                [&](const auto& item) { return item.second.expires <= now; });
}

LeaseDecision SuspectLeases::Decide(TimePoint now, const VmId& from,
                                    const SuspectLeaseRequest& request) {
  const TimePoint expires = now + options_.lease;
  const auto it = leases_.find(request.fingerprint);
  if (request.renewal) {
    // The run is in progress, whatever the answer. After a takeover the same
    // request id runs at another VM.
    if (it == leases_.end() || it->second.request == request.request) {
      leases_[request.fingerprint] = {from, request.request, expires};
      return LeaseDecision::kGranted;
    }
    return LeaseDecision::kWait;
  }
  if (table_.StatusOf(now, request.fingerprint) == SuspectStatus::kRefuse) {
    return LeaseDecision::kRefused;
  }
  if (table_.WasCleared(now, request.fingerprint)) return LeaseDecision::kClear;
  const bool held_by_sender = it != leases_.end() && it->second.vm == from &&
                              it->second.request == request.request;
  if ((it != leases_.end() && !held_by_sender) || now < no_grants_until_) {
    return LeaseDecision::kWait;
  }
  leases_[request.fingerprint] = {from, request.request, expires};
  return LeaseDecision::kGranted;
}

}  // namespace zr
