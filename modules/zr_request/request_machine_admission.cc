#include <algorithm>

#include "zr_request/request_machine.h"

namespace zr {
namespace {

// The two best candidates are probed before the request queues at one of them.
constexpr size_t kMaxProbes = 2;

// A queued admission may take several times its expected wait, which is an
// estimate, before the owner counts as unresponsive.
constexpr int64_t kQueueTimeoutFactor = 4;

// A gather waits for running work to end at several endpoints.
constexpr Duration kGatherTimeout = Duration::Seconds(10);

// A suspect lease expires after 15 s without renewal (SuspectLeases::Options).
constexpr Duration kLeaseRenewalInterval = Duration::Seconds(2);

}  // namespace

//==============================================================================
// Suspects

void RequestMachine::BeginRun(TimePoint now) {
  if (run_alone_ && !lease_held_ && IsModel()) {
    RequestLease(now, false);
  } else {
    Select(now);
  }
}

void RequestMachine::RefuseSuspect(TimePoint now, const std::string& peer) {
  EndWithError(now, 422,
               {ErrorCode::kSuspectRequest, "admission", peer,
                "this request is suspected of having crashed two endpoints"},
               Duration::Seconds(600));
}

RequestActions RequestMachine::OnSuspectStatus(TimePoint now,
                                               SuspectStatus status) {
  if (EndIfDue(now) || stream_ || !IsModel() ||
      status == SuspectStatus::kClear) {
    return TakeActions(now);
  }
  if (status == SuspectStatus::kRefuse) {
    RefuseSuspect(now, "");
    return TakeActions(now);
  }
  if (run_alone_) return TakeActions(now);
  run_alone_ = true;
  prior_failures_ = 1;
  const bool searching = state_ == State::kNew || state_ == State::kLocating ||
                         state_ == State::kTakingOver;
  if (!searching) {
    if (admission_) AbandonAdmission(now);
    if (gather_) AddAction(CancelGather{*gather_});
    gather_.reset();
    excluded_.clear();
    BeginRun(now);
  }
  return TakeActions(now);
}

void RequestMachine::RequestLease(TimePoint now, bool renewal) {
  AddAction(RequestSuspectLease{options_.fingerprint, renewal});
  if (renewal) {
    renew_lease_at_ = now + kLeaseRenewalInterval;
  } else {
    state_ = State::kAwaitingLease;
    timer_ = now + timings_.lease_retry_interval;
  }
}

RequestActions RequestMachine::OnSuspectLease(TimePoint now,
                                              LeaseDecision answer,
                                              Duration wait_hint) {
  if (EndIfDue(now)) {
    // A lease that was granted while the request ended is released.
    if (answer == LeaseDecision::kGranted && !lease_held_) {
      AddAction(ReleaseSuspectLease{options_.fingerprint, false});
    }
    return TakeActions(now);
  }
  if (state_ != State::kAwaitingLease) {
    // After a change of the locator another VM's run may hold the lease. A run
    // that has delivered a token did not crash on its prompt and continues.
    if (answer == LeaseDecision::kWait && lease_held_ && !Delivered()) {
      lease_held_ = false;
      if (admission_) AbandonAdmission(now);
      CancelStream(now);
      RequestLease(now, false);
    }
    return TakeActions(now);
  }
  switch (answer) {
    case LeaseDecision::kGranted:
      // An earlier attempt may still run until its cancellation is confirmed.
      if (!pending_cancels_.empty()) break;
      lease_held_ = true;
      renew_lease_at_ = now + kLeaseRenewalInterval;
      Select(now);
      break;
    case LeaseDecision::kWait:
      timer_ = now + std::clamp(wait_hint, timings_.lease_retry_interval,
                                timings_.max_backoff);
      break;
    case LeaseDecision::kRefused:
      RefuseSuspect(now, "");
      break;
    case LeaseDecision::kClear:
      run_alone_ = false;
      prior_failures_ = 0;
      failures_.clear();
      Select(now);
      break;
  }
  return TakeActions(now);
}

//==============================================================================
// Selection

void RequestMachine::Select(TimePoint now) {
  candidates_.clear();
  busy_candidates_.clear();
  state_ = State::kSelecting;
  timer_ = now + timings_.owner_timeout;
  AddAction(SelectCandidates{excluded_, avoid_domain_, run_alone_});
}

void RequestMachine::BackOffThenSelect(TimePoint now, Duration min_pause) {
  Duration pause =
      timings_.select_backoff * (int64_t{1} << std::min(backoffs_++, 8));
  pause = std::min(std::max(pause, min_pause), timings_.max_backoff);
  excluded_.clear();
  too_large_ = refused_by_deadline_ = refused_otherwise_ = false;
  state_ = State::kBackingOff;
  timer_ = now + pause;
}

RequestActions RequestMachine::OnCandidates(TimePoint now,
                                            std::vector<Candidate> candidates,
                                            bool gather) {
  if (EndIfDue(now) || state_ != State::kSelecting) return TakeActions(now);
  std::erase_if(candidates, [&](const Candidate& c) {
    return excluded_.contains(c.endpoint);
  });
  if (gather) {
    BeginGather(now);
  } else if (candidates.empty()) {
    OnNoCandidates(now);
  } else {
    if (candidates.size() > kMaxProbes) candidates.resize(kMaxProbes);
    candidates_ = std::move(candidates);
    TryNextCandidate(now);
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnTooLarge(TimePoint now, TokenCount capacity) {
  if (EndIfDue(now) || state_ != State::kSelecting) return TakeActions(now);
  const TokenCount needed = options_.prompt + options_.max_answer;
  EndWithError(
      now, 413,
      {ErrorCode::kTooLarge, "admission", options_.pool.pool.value(),
       "the prompt and its answer need " + std::to_string(needed.value()) +
           " tokens of memory; all endpoints together hold " +
           std::to_string(capacity.value())});
  return TakeActions(now);
}

void RequestMachine::OnNoCandidates(TimePoint now) {
  if (too_large_ && IsModel()) {
    BeginGather(now);
  } else if (refused_by_deadline_ && !refused_otherwise_) {
    EndWithError(now, 503,
                 {ErrorCode::kOverloaded, "admission", "",
                  "no endpoint can finish the request before its deadline"},
                 Duration::Seconds(1));
  } else {
    BackOffThenSelect(now, Duration());
  }
}

//==============================================================================
// Admission requests

Message RequestMachine::MakeAdmissionRequest(TimePoint now) const {
  AdmissionRequest message;
  message.request = options_.request;
  message.attempt = admission_->attempt;
  message.endpoint = admission_->candidate.endpoint;
  message.pool = options_.pool.pool;
  message.team = options_.team;
  message.request_class = options_.request_class.name;
  message.prompt = options_.prompt;
  message.max_answer = options_.max_answer;
  message.time_left = options_.deadline - now;
  message.fingerprint = options_.fingerprint;
  message.run_alone = run_alone_;
  message.queue_if_busy = admission_->queue;
  message.plain_service = !IsModel();
  message.prefixes = options_.prefixes;
  return message;
}

void RequestMachine::SendAdmission(TimePoint now, Candidate candidate,
                                   bool queue, Duration hint) {
  PendingAdmission admission;
  admission.candidate = std::move(candidate);
  admission.attempt = NewAttempt();
  admission.queue = queue;
  admission.first_sent = now;
  admission.timeout = timings_.owner_timeout;
  if (queue) {
    admission.timeout =
        std::max(hint * kQueueTimeoutFactor,
                 timings_.queued_retry_interval * kQueueTimeoutFactor);
  }
  admission_ = std::move(admission);
  ResendAdmission(now);
}

void RequestMachine::ResendAdmission(TimePoint now) {
  admission_->last_sent = now;
  state_ = State::kAwaitingAdmission;
  const TimePoint expires = admission_->first_sent + admission_->timeout;
  timer_ = std::min(now + (admission_->queue ? timings_.queued_retry_interval
                                             : timings_.owner_retry_interval),
                    expires);
  AddAction(SendToVm{admission_->candidate.owner, MakeAdmissionRequest(now)});
}

void RequestMachine::TryNextCandidate(TimePoint now) {
  if (!candidates_.empty()) {
    const Candidate candidate = candidates_.front();
    candidates_.erase(candidates_.begin());
    SendAdmission(now, candidate, false, Duration());
    return;
  }
  if (!busy_candidates_.empty()) {
    const auto best =
        std::min_element(busy_candidates_.begin(), busy_candidates_.end());
    const auto [hint, candidate] = *best;
    busy_candidates_.erase(best);
    SendAdmission(now, candidate, true, hint);
    return;
  }
  Select(now);
}

void RequestMachine::AbandonAdmission(TimePoint) {
  CancelAdmission cancel;
  cancel.request = options_.request;
  cancel.attempt = admission_->attempt;
  cancel.endpoint = admission_->candidate.endpoint;
  AddAction(SendToVm{admission_->candidate.owner, cancel});
  excluded_.insert(admission_->candidate.endpoint);
  admission_.reset();
}

void RequestMachine::OnAdmissionTimer(TimePoint now) {
  if (now - admission_->first_sent < admission_->timeout) {
    ResendAdmission(now);
    return;
  }
  refused_otherwise_ = true;
  AbandonAdmission(now);
  TryNextCandidate(now);
}

RequestActions RequestMachine::OnVmUnreachable(TimePoint now, const VmId& vm) {
  if (EndIfDue(now)) return TakeActions(now);
  if (admission_ && admission_->candidate.owner == vm) {
    refused_otherwise_ = true;
    AbandonAdmission(now);
    TryNextCandidate(now);
  } else if (state_ == State::kTakingOver && located_stream_.holder == vm) {
    OnTakeoverFailed(now);
  }
  return TakeActions(now);
}

RequestActions RequestMachine::OnRefusal(TimePoint now,
                                         const Refusal& refusal) {
  if (EndIfDue(now) || !admission_ || refusal.request != options_.request ||
      refusal.attempt != admission_->attempt ||
      refusal.endpoint != admission_->candidate.endpoint) {
    return TakeActions(now);
  }
  const PendingAdmission admission = *admission_;
  admission_.reset();
  switch (refusal.reason) {
    case RefusalReason::kTeamLimit:
      EndWithError(
          now, 429,
          {ErrorCode::kLimitExceeded, "admission",
           admission.candidate.owner.value(), "the team's limit is used up"},
          std::max(refusal.wait_hint, Duration::Seconds(1)));
      return TakeActions(now);
    case RefusalReason::kSuspect:
      RefuseSuspect(now, admission.candidate.owner.value());
      return TakeActions(now);
    case RefusalReason::kBusy:
      refused_otherwise_ = true;
      if (admission.queue) {
        excluded_.insert(admission.candidate.endpoint);
      } else {
        busy_candidates_.emplace_back(refusal.wait_hint, admission.candidate);
      }
      break;
    case RefusalReason::kDeadline:
      refused_by_deadline_ = true;
      excluded_.insert(admission.candidate.endpoint);
      break;
    case RefusalReason::kTooLarge:
      too_large_ = true;
      excluded_.insert(admission.candidate.endpoint);
      break;
    case RefusalReason::kNotOwner:
    case RefusalReason::kNotAccepting:
      refused_otherwise_ = true;
      excluded_.insert(admission.candidate.endpoint);
      break;
  }
  TryNextCandidate(now);
  return TakeActions(now);
}

//==============================================================================
// Grants

void RequestMachine::ReleaseUnused(const Grant& grant) {
  if (!ledger_.Add(grant)) return;
  OutgoingMessage out =
      ledger_.MakeRelease(grant, ReleaseOutcome::kNeverStarted, RunReport{});
  AddAction(SendToVm{out.to, std::move(out.message)});
}

OutgoingMessage RequestMachine::ReleaseForUnknownRequest(const Grant& grant) {
  GrantLedger ledger;
  ledger.Add(grant);
  return ledger.MakeRelease(grant, ReleaseOutcome::kNeverStarted, RunReport{});
}

RequestActions RequestMachine::OnGrant(TimePoint now,
                                       TimePoint earliest_receipt,
                                       const Grant& grant) {
  EndIfDue(now);
  const bool wanted = admission_ && grant.request == options_.request &&
                      grant.attempt == admission_->attempt &&
                      grant.endpoint == admission_->candidate.endpoint;
  if (!wanted) {
    ReleaseUnused(grant);
    return TakeActions(now);
  }
  const PendingAdmission admission = *admission_;
  admission_.reset();
  // A probe's grant may have been in transit since the first request to the
  // owner. A queued grant counts from its receipt; the margin covers its
  // transit.
  const TimePoint since =
      admission.queue
          ? std::max(admission.first_sent, std::min(earliest_receipt, now))
          : admission.first_sent;
  const TimePoint start_before =
      since + grant.start_within - timings_.grant_margin;
  if (now >= start_before) {
    ReleaseUnused(grant);
    SendAdmission(now, admission.candidate, admission.queue, Duration());
    return TakeActions(now);
  }
  if (!ledger_.Add(grant)) {
    ZR_ASSERT_INVARIANT(kNoKvLeak, false, "an owner used a grant number twice");
    SendAdmission(now, admission.candidate, admission.queue, Duration());
    return TakeActions(now);
  }
  BeginUpstream(now, grant.attempt, {grant}, admission.candidate.domain,
                start_before);
  return TakeActions(now);
}

//==============================================================================
// Gathering

void RequestMachine::BeginGather(TimePoint now) {
  gather_ = NewAttempt();
  state_ = State::kGathering;
  timer_ = now + kGatherTimeout;
  AddAction(GatherRequest{*gather_, options_.prompt + options_.max_answer,
                          excluded_});
}

RequestActions RequestMachine::OnGatherReady(TimePoint now,
                                             TimePoint earliest_receipt,
                                             AttemptNumber attempt,
                                             const std::vector<Grant>& grants) {
  EndIfDue(now);
  bool usable = gather_ && attempt == *gather_ && !grants.empty();
  TimePoint start_before = TimePoint::Max();
  for (const Grant& grant : grants) {
    start_before =
        std::min(start_before, std::min(earliest_receipt, now) +
                                   grant.start_within - timings_.grant_margin);
  }
  const bool late = usable && now >= start_before;
  if (late) {
    gather_.reset();
    usable = false;
  }
  if (!usable) {
    for (const Grant& grant : grants) ReleaseUnused(grant);
    if (late) BeginGather(now);
    return TakeActions(now);
  }
  gather_.reset();
  std::vector<Grant> taken;
  for (const Grant& grant : grants) {
    if (ledger_.Add(grant)) taken.push_back(grant);
  }
  ZR_ASSERT_INVARIANT(kNoKvLeak, taken.size() == grants.size(),
                      "a gather's grant was used before");
  BeginUpstream(now, attempt, std::move(taken), DomainId(), start_before);
  return TakeActions(now);
}

RequestActions RequestMachine::OnGatherFailed(TimePoint now,
                                              AttemptNumber attempt,
                                              Duration wait_hint) {
  if (EndIfDue(now) || !gather_ || attempt != *gather_) return TakeActions(now);
  gather_.reset();
  BackOffThenSelect(now, wait_hint);
  return TakeActions(now);
}

}  // namespace zr
