#include "zr_request/suspect_turns.h"

namespace zr {

SuspectTurnReply SuspectTurns::OnTurn(TimePoint now, const VmId& from,
                                      const SuspectTurn& turn) {
  Expire(now);
  SuspectTurnReply reply;
  reply.fingerprint = turn.fingerprint;
  reply.request = turn.request;
  reply.wait_hint = options_.wait_hint;
  if (turn.returned) {
    const auto it = turns_.find(turn.fingerprint);
    if (it != turns_.end() && it->second.vm == from &&
        it->second.request == turn.request) {
      turns_.erase(it);
    }
    if (turn.harmless) table_.OnHarmless(now, turn.fingerprint);
    return reply;
  }
  reply.answer = Decide(now, from, turn);
  return reply;
}

void SuspectTurns::Expire(TimePoint now) {
  std::erase_if(turns_,
                [&](const auto& item) { return item.second.until <= now; });
}

TurnAnswer SuspectTurns::Decide(TimePoint now, const VmId& from,
                                const SuspectTurn& turn) {
  const TimePoint until = now + options_.lease;
  const auto it = turns_.find(turn.fingerprint);
  if (turn.holding) {
    // The run is in progress whatever is answered. A stream that was handed
    // over keeps its request id under another VM.
    if (it == turns_.end() || it->second.request == turn.request) {
      turns_[turn.fingerprint] = {from, turn.request, until};
      return TurnAnswer::kGranted;
    }
    return TurnAnswer::kWait;
  }
  if (table_.Verdict(now, turn.fingerprint) == SuspectVerdict::kRefuse) {
    return TurnAnswer::kRefused;
  }
  if (table_.Dismissed(now, turn.fingerprint)) return TurnAnswer::kClear;
  const bool own = it != turns_.end() && it->second.vm == from &&
                   it->second.request == turn.request;
  if ((it != turns_.end() && !own) || now < quiet_until_) {
    return TurnAnswer::kWait;
  }
  turns_[turn.fingerprint] = {from, turn.request, until};
  return TurnAnswer::kGranted;
}

}  // namespace zr
