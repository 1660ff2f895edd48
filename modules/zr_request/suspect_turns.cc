#include "zr_request/suspect_turns.h"

namespace zr {

SuspectLeaseReply SuspectTurns::OnTurn(TimePoint now, const VmId& from,
                                       const SuspectLeaseRequest& turn) {
  Expire(now);
  SuspectLeaseReply reply;
  reply.fingerprint = turn.fingerprint;
  reply.request = turn.request;
  reply.wait_hint = options_.wait_hint;
  if (turn.released) {
    const auto it = turns_.find(turn.fingerprint);
    if (it != turns_.end() && it->second.vm == from &&
        it->second.request == turn.request) {
      turns_.erase(it);
    }
    if (turn.completed) table_.OnHarmless(now, turn.fingerprint);
    return reply;
  }
  reply.decision = Decide(now, from, turn);
  return reply;
}

void SuspectTurns::Expire(TimePoint now) {
  std::erase_if(turns_,
                [&](const auto& item) { return item.second.until <= now; });
}

LeaseDecision SuspectTurns::Decide(TimePoint now, const VmId& from,
                                   const SuspectLeaseRequest& turn) {
  const TimePoint until = now + options_.lease;
  const auto it = turns_.find(turn.fingerprint);
  if (turn.renewal) {
    // The run is in progress whatever is answered. A stream that was handed
    // over keeps its request id under another VM.
    if (it == turns_.end() || it->second.request == turn.request) {
      turns_[turn.fingerprint] = {from, turn.request, until};
      return LeaseDecision::kGranted;
    }
    return LeaseDecision::kWait;
  }
  if (table_.Verdict(now, turn.fingerprint) == SuspectVerdict::kRefuse) {
    return LeaseDecision::kRefused;
  }
  if (table_.Dismissed(now, turn.fingerprint)) return LeaseDecision::kCleared;
  const bool own = it != turns_.end() && it->second.vm == from &&
                   it->second.request == turn.request;
  if ((it != turns_.end() && !own) || now < quiet_until_) {
    return LeaseDecision::kWait;
  }
  turns_[turn.fingerprint] = {from, turn.request, until};
  return LeaseDecision::kGranted;
}

}  // namespace zr
