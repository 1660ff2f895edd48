#include <algorithm>

#include "zr_request/request_machine.h"

namespace zr {

//==============================================================================
// Search

void RequestMachine::EndWithConflict(TimePoint now) {
  EndWithError(now, 409,
               {ErrorCode::kConflict, "reattach", "",
                "the request id is in use for another call"});
}

RequestActions RequestMachine::OnStreamFound(TimePoint now,
                                             const StreamLocation& location) {
  if (EndIfDue(now) || state_ != State::kLocating) return TakeActions(now);
  const bool other_prompt = location.fingerprint != Fingerprint() &&
                            location.fingerprint != options_.fingerprint;
  if (location.conflict || location.team != options_.team || other_prompt) {
    EndWithConflict(now);
    return TakeActions(now);
  }
  located_stream_ = location;
  if (located_stream_.holder.empty()) {
    OnTakeoverFailed(now);
  } else {
    takeover_started_ = now;
    SendTakeover(now);
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnStreamNotFound(TimePoint now, bool certain) {
  if (EndIfDue(now) || state_ != State::kLocating) return TakeActions(now);
  if (!certain) run_.SetMayHaveRun();
  BeginRunOrFail(now);
  return TakeActions(now);
}

/** Starts a new run if that is allowed; no existing run can be read. */
void RequestMachine::BeginRunOrFail(TimePoint now) {
  if (options_.resume_offset == 0 && options_.idempotent) {
    BeginRun(now);
    return;
  }
  // A new run's answer may not continue the caller's partial answer.
  EndWithError(now, 404,
               {ErrorCode::kNotFound, "reattach", "",
                "the request's stream no longer exists; repeat the call "
                "with a new request id"});
}

/** Cancels a stream that belongs to this machine but that it cannot use. */
void RequestMachine::CancelOrphan(TimePoint now, const std::string& id,
                                  const std::vector<Grant>& grants) {
  std::vector<Grant> orphans;
  for (const Grant& grant : grants) {
    if (ledger_.Add(grant)) orphans.push_back(grant);
  }
  if (orphans.empty()) return;
  const EndpointId endpoint = orphans.front().endpoint;
  AddAction(CancelUpstream{endpoint, id});
  pending_cancels_[id] = {
      std::move(orphans), endpoint, now + timings_.cancel_timeout, {}};
}

void RequestMachine::AdoptStream(TimePoint now, const std::string& id,
                                 const EndpointId& endpoint,
                                 const std::vector<Grant>& grants) {
  if (!RequiredStream().empty() && RequiredStream() != id) {
    // The caller requested another run's answer during the takeover.
    CancelOrphan(now, id, grants);
    BeginRunOrFail(now);
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
  run_.SetMayHaveRun();
  Resume(now);
}

//==============================================================================
// Takeover from another VM

void RequestMachine::SendTakeover(TimePoint now) {
  state_ = State::kTakingOver;
  timer_ = now + timings_.owner_retry_interval;
  AddAction(SendToVm{located_stream_.holder,
                     TakeoverRequest{options_.request, options_.team,
                                     options_.fingerprint, RequiredStream()}});
}

/**
 * The holder is down, does not answer or has ended; the endpoint may still have
 * the stream.
 */
void RequestMachine::OnTakeoverFailed(TimePoint now) {
  run_.SetMayHaveRun();
  next_attempt_ = std::max(next_attempt_, located_stream_.attempt.Next());
  if (located_stream_.stream.empty() ||
      (!RequiredStream().empty() &&
       RequiredStream() != located_stream_.stream)) {
    BeginRunOrFail(now);
  } else {
    AdoptStream(now, located_stream_.stream, located_stream_.endpoint,
                located_stream_.grants);
  }
}

RequestActions RequestMachine::OnTakeoverReply(TimePoint now,
                                               const TakeoverReply& reply) {
  const bool expired = EndIfDue(now);
  if (reply.request != options_.request) return TakeActions(now);
  if (expired || state_ != State::kTakingOver) {
    // A stream that arrives late has no other holder. It is cancelled, unless
    // this machine already reads it.
    if (stream_ && stream_->id == reply.stream) {
      for (const Grant& grant : reply.grants) {
        if (ledger_.Add(grant)) stream_->grants.push_back(grant);
      }
      return TakeActions(now);
    }
    CancelOrphan(now, reply.stream, reply.grants);
    return TakeActions(now);
  }
  next_attempt_ = std::max(next_attempt_, reply.next_attempt);
  if (reply.may_have_run) run_.SetMayHaveRun();
  if (reply.conflict) {
    EndWithConflict(now);
  } else if (!reply.accepted) {
    // The holder has ended and releases its grants itself; the engine may still
    // have the answer.
    located_stream_.grants.clear();
    OnTakeoverFailed(now);
  } else if (reply.stream.empty() || reply.grants.empty()) {
    BeginRunOrFail(now);
  } else {
    run_alone_ = run_alone_ || reply.run_alone;
    if (reply.run_alone) {
      lease_held_ = true;
      renew_lease_at_ = now;
    }
    AdoptStream(now, reply.stream, reply.grants.front().endpoint, reply.grants);
  }
  return TakeActions(now);
}

//==============================================================================
// Handover to another VM or call

TakeoverReply RequestMachine::UnknownRequestReply(const RequestId& request) {
  TakeoverReply reply;
  reply.request = request;
  return reply;
}

RequestActions RequestMachine::OnTakeover(TimePoint now, const VmId& from,
                                          const TakeoverRequest& request) {
  TakeoverReply reply = UnknownRequestReply(options_.request);
  const bool expired = EndIfDue(now);
  reply.conflict = request.team != options_.team ||
                   request.fingerprint != options_.fingerprint;
  const bool other =
      !request.stream.empty() && (!stream_ || stream_->id != request.stream);
  if (expired || reply.conflict || other) {
    AddAction(SendToVm{from, std::move(reply)});
    return TakeActions(now);
  }
  reply.accepted = true;
  reply.may_have_run = run_.state() != RunState::kNotRun;
  reply.next_attempt = next_attempt_;
  if (stream_) {
    if (cursor_.is_open()) {
      AddAction(
          DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
    }
    cursor_.Close();
    reply.stream = stream_->id;
    reply.grants = stream_->grants;
    for (const Grant& grant : stream_->grants) ledger_.Transfer(grant);
    // The suspect lease moves with the stream; the receiver renews it.
    reply.run_alone = lease_held_;
    lease_held_ = false;
    stream_.reset();
  }
  AddAction(SendToVm{from, std::move(reply)});
  EndWithError(now, 409,
               {ErrorCode::kConflict, "reattach", from.value(),
                "another call with this request id took over the answer"});
  return TakeActions(now);
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
  // The request keeps the deadline of the first call.
  const bool late = now >= options_.deadline - timings_.deadline_margin;
  const bool other =
      offset > 0 && stream_ && !stream.empty() && stream != stream_->id;
  if (ended() || late || offset < 0 || other ||
      (offset > 0 && !stream_ && !searching)) {
    return Fail(ErrorCode::kNotFound, "reattach", "",
                "the request's stream no longer exists");
  }
  if (!caller_disconnected_) {
    AddAction(SupersedeCaller{
        {ErrorCode::kConflict, "reattach", "",
         "another call with this request id took over the answer"}});
  }
  if (blocked_ && cursor_.is_open()) {
    AddAction(PauseUpstream{cursor_.attempt(), false});
  }
  caller_disconnected_ = false;
  blocked_ = false;
  head_sent_ = false;
  options_.resume_offset = offset;
  options_.resume_stream = stream;
  options_.may_be_repeat = true;
  const bool moved = cursor_.offset() != offset;
  cursor_.MoveTo(offset);
  emitted_end_ = offset;
  if (offset > 0) run_.SetMayHaveRun();
  // An open connection that is already at the offset is kept: a resumption
  // could overtake a call that is still in transit to the endpoint.
  if (stream_ && (moved || !cursor_.is_open())) {
    if (cursor_.is_open()) {
      AddAction(
          DetachUpstream{stream_->endpoint, stream_->id, cursor_.attempt()});
    }
    cursor_.Close();
    Resume(now);
  }
  return TakeActions(now);
}

}  // namespace zr
