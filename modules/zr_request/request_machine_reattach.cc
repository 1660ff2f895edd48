#include <algorithm>

#include "zr_request/request_machine.h"

namespace zr {

//==============================================================================
// Searching

void RequestMachine::Conflict(TimePoint now) {
  EndWithError(now, 409,
               {ErrorCode::kConflict, "reattach", "",
                "the request id is in use for another call"});
}

RequestActions RequestMachine::OnStreamFound(TimePoint now,
                                             const StreamLocation& location) {
  if (Expire(now) || state_ != State::kLocating) return Take(now);
  const bool other_prompt = location.fingerprint != Fingerprint() &&
                            location.fingerprint != options_.fingerprint;
  if (location.conflict || location.team != options_.team || other_prompt) {
    Conflict(now);
    return Take(now);
  }
  found_ = location;
  if (found_.holder.empty()) {
    TakeOverFailed(now);
  } else {
    first_take_over_ = now;
    SendTakeOver(now);
  }
  return Take(now);
}

RequestActions RequestMachine::OnStreamNotFound(TimePoint now, bool certain) {
  if (Expire(now) || state_ != State::kLocating) return Take(now);
  if (!certain) run_.SetUnknown();
  RunWithoutStream(now);
  return Take(now);
}

/** No run of the request is left to read from. */
void RequestMachine::RunWithoutStream(TimePoint now) {
  if (options_.resume_offset == 0 && options_.idempotent) {
    BeginRun(now);
    return;
  }
  // A new run's answer need not continue what the caller has.
  EndWithError(now, 404,
               {ErrorCode::kNotFound, "reattach", "",
                "the request's stream is gone; call again "
                "with a new request id to run it anew"});
}

/** Gives a stream back that belongs to this machine and is of no use to it. */
void RequestMachine::CancelOrphan(TimePoint now, const std::string& id,
                                  const std::vector<Grant>& grants) {
  std::vector<Grant> orphans;
  for (const Grant& grant : grants) {
    if (ledger_.Add(grant)) orphans.push_back(grant);
  }
  if (orphans.empty()) return;
  const EndpointId endpoint = orphans.front().endpoint;
  Do(CancelUpstream{endpoint, id});
  closing_[id] = {
      std::move(orphans), endpoint, now + timings_.cancel_confirm, {}};
}

void RequestMachine::AdoptStream(TimePoint now, const std::string& id,
                                 const EndpointId& endpoint,
                                 const std::vector<Grant>& grants) {
  if (!WantedStream().empty() && WantedStream() != id) {
    // The caller called again for another run's answer while this one was
    // handed over.
    CancelOrphan(now, id, grants);
    RunWithoutStream(now);
    return;
  }
  Stream stream;
  stream.endpoint = endpoint;
  stream.id = id;
  stream.started_at = now;
  if (!grants.empty()) stream.boot = grants.front().boot;
  for (const Grant& grant : grants) {
    if (ledger_.Add(grant)) stream.grants.push_back(grant);
  }
  stream_ = std::move(stream);
  run_.SetUnknown();
  Resume(now);
}

//==============================================================================
// Taking a stream over from another VM

void RequestMachine::SendTakeOver(TimePoint now) {
  state_ = State::kTakingOver;
  timer_ = now + timings_.ask_again;
  Do(SendToVm{found_.holder,
              TakeoverRequest{options_.request, options_.team,
                              options_.fingerprint, WantedStream()}});
}

/** The holder is dead, silent or has ended; the endpoint may still have the
 * stream. */
void RequestMachine::TakeOverFailed(TimePoint now) {
  run_.SetUnknown();
  next_attempt_ = std::max(next_attempt_, found_.attempt.Next());
  if (found_.stream.empty() ||
      (!WantedStream().empty() && WantedStream() != found_.stream)) {
    RunWithoutStream(now);
  } else {
    AdoptStream(now, found_.stream, found_.endpoint, found_.grants);
  }
}

RequestActions RequestMachine::OnHandOver(TimePoint now,
                                          const TakeoverReply& hand_over) {
  const bool expired = Expire(now);
  if (hand_over.request != options_.request) return Take(now);
  if (expired || state_ != State::kTakingOver) {
    // Nobody else holds a stream that arrives late; it is cancelled, unless it
    // is the one that this machine reads already.
    if (stream_ && stream_->id == hand_over.stream) {
      for (const Grant& grant : hand_over.grants) {
        if (ledger_.Add(grant)) stream_->grants.push_back(grant);
      }
      return Take(now);
    }
    CancelOrphan(now, hand_over.stream, hand_over.grants);
    return Take(now);
  }
  next_attempt_ = std::max(next_attempt_, hand_over.next_attempt);
  if (hand_over.may_have_run) run_.SetUnknown();
  if (hand_over.conflict) {
    Conflict(now);
  } else if (!hand_over.accepted) {
    // The holder has ended and gives its grants back itself; the engine may
    // have the answer.
    found_.grants.clear();
    TakeOverFailed(now);
  } else if (hand_over.stream.empty() || hand_over.grants.empty()) {
    RunWithoutStream(now);
  } else {
    run_alone_ = run_alone_ || hand_over.run_alone;
    if (hand_over.run_alone) {
      turn_held_ = true;
      renew_turn_ = now;
    }
    AdoptStream(now, hand_over.stream, hand_over.grants.front().endpoint,
                hand_over.grants);
  }
  return Take(now);
}

//==============================================================================
// Handing over

TakeoverReply RequestMachine::UnknownRequest(const RequestId& request) {
  TakeoverReply reply;
  reply.request = request;
  return reply;
}

RequestActions RequestMachine::OnTakeOver(TimePoint now, const VmId& from,
                                          const TakeoverRequest& request) {
  TakeoverReply reply = UnknownRequest(options_.request);
  const bool expired = Expire(now);
  reply.conflict = request.team != options_.team ||
                   request.fingerprint != options_.fingerprint;
  const bool other =
      !request.stream.empty() && (!stream_ || stream_->id != request.stream);
  if (expired || reply.conflict || other) {
    Do(SendToVm{from, std::move(reply)});
    return Take(now);
  }
  reply.accepted = true;
  reply.may_have_run = run_.state() != RunState::kNotRun;
  reply.next_attempt = next_attempt_;
  if (stream_) {
    if (cursor_.is_open()) {
      Do(DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
    }
    cursor_.Close();
    reply.stream = stream_->id;
    reply.grants = stream_->grants;
    for (const Grant& grant : stream_->grants) ledger_.HandOver(grant);
    // The right to run a suspect goes with the stream and is renewed by the
    // receiver.
    reply.run_alone = turn_held_;
    turn_held_ = false;
    stream_.reset();
  }
  Do(SendToVm{from, std::move(reply)});
  EndWithError(now, 409,
               {ErrorCode::kConflict, "reattach", from.value(),
                "another call with this request id took the answer over"});
  return Take(now);
}

Result<RequestActions> RequestMachine::Reattach(TimePoint now,
                                                const TeamId& team,
                                                Fingerprint fingerprint,
                                                int64_t offset,
                                                const std::string& stream) {
  if (team != options_.team || fingerprint != options_.fingerprint) {
    return Fail(ErrorCode::kConflict, "reattach", "",
                "the request id is in use for another call");
  }
  const bool searching =
      state_ == State::kLocating || state_ == State::kTakingOver;
  if (!IsModel()) {
    return Fail(ErrorCode::kConflict, "reattach", "",
                "a service call with this id is in progress");
  }
  // The call ends with the deadline of its first arrival.
  const bool late = now >= options_.deadline - timings_.finish_margin;
  const bool other =
      offset > 0 && stream_ && !stream.empty() && stream != stream_->id;
  if (ended() || late || offset < 0 || other ||
      (offset > 0 && !stream_ && !searching)) {
    return Fail(ErrorCode::kNotFound, "reattach", "",
                "the request's stream is gone");
  }
  if (!caller_gone_) {
    Do(DropCaller{{ErrorCode::kConflict, "reattach", "",
                   "another call with this request id took the answer over"}});
  }
  if (blocked_ && cursor_.is_open()) {
    Do(PauseUpstream{cursor_.attempt(), false});
  }
  caller_gone_ = false;
  blocked_ = false;
  head_sent_ = false;
  options_.resume_offset = offset;
  options_.resume_stream = stream;
  options_.may_be_repeat = true;
  const bool moved = cursor_.offset() != offset;
  cursor_.MoveTo(offset);
  emitted_to_ = offset;
  if (offset > 0) run_.SetUnknown();
  // An open connection that stands at the offset is kept: a resumption could
  // overtake a call that is still on its way to the endpoint.
  if (stream_ && (moved || !cursor_.is_open())) {
    if (cursor_.is_open()) {
      Do(DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
    }
    cursor_.Close();
    Resume(now);
  }
  return Take(now);
}

}  // namespace zr
