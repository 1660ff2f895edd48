#include <algorithm>

#include "zr_request/request_machine.h"

namespace zr {
namespace {

// The two best candidates are probed before the request queues at one of them.
constexpr size_t kProbes = 2;

// A queued admission may take its expected wait several times over before the
// owner counts as silent; the wait is an estimate.
constexpr int64_t kQueuePatience = 4;

// A gather waits for running work to end at several endpoints.
constexpr Duration kGatherPatience = Duration::Seconds(10);

// The locator's right to run a suspect lapses after 10 s without renewal.
constexpr Duration kTurnRenewal = Duration::Seconds(2);

}  // namespace

//==============================================================================
// Suspects

void RequestMachine::BeginRun(TimePoint now) {
  if (run_alone_ && !turn_held_ && IsModel()) {
    SendAskTurn(now, false);
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

RequestActions RequestMachine::OnVerdict(TimePoint now,
                                         SuspectVerdict verdict) {
  if (Expire(now) || stream_ || !IsModel() ||
      verdict == SuspectVerdict::kClear) {
    return Take(now);
  }
  if (verdict == SuspectVerdict::kRefuse) {
    RefuseSuspect(now, "");
    return Take(now);
  }
  if (run_alone_) return Take(now);
  run_alone_ = true;
  earlier_deaths_ = 1;
  const bool searching = state_ == State::kNew || state_ == State::kLocating ||
                         state_ == State::kTakingOver;
  if (!searching) {
    if (ask_) GiveUpAsk(now);
    if (gather_) Do(CancelGather{*gather_});
    gather_.reset();
    excluded_.clear();
    BeginRun(now);
  }
  return Take(now);
}

void RequestMachine::SendAskTurn(TimePoint now, bool holding) {
  Do(AskTurn{options_.fingerprint, holding});
  if (holding) {
    renew_turn_ = now + kTurnRenewal;
  } else {
    state_ = State::kAwaitTurn;
    timer_ = now + timings_.turn_again;
  }
}

RequestActions RequestMachine::OnTurn(TimePoint now, LeaseDecision answer,
                                      Duration wait_hint) {
  if (Expire(now)) {
    // The machine does not run any more; an answer that crossed the end is
    // returned.
    if (answer == LeaseDecision::kGranted && !turn_held_) {
      Do(ReturnTurn{options_.fingerprint, false});
    }
    return Take(now);
  }
  if (state_ != State::kAwaitTurn) {
    // Another VM's run holds the right after a change of the locator. A run
    // that has delivered a token has survived its prompt and goes on.
    if (answer == LeaseDecision::kWait && turn_held_ && !Delivered()) {
      turn_held_ = false;
      if (ask_) GiveUpAsk(now);
      CloseStream(now);
      SendAskTurn(now, false);
    }
    return Take(now);
  }
  switch (answer) {
    case LeaseDecision::kGranted:
      // An earlier attempt may still run until its cancellation is confirmed.
      if (!closing_.empty()) break;
      turn_held_ = true;
      renew_turn_ = now + kTurnRenewal;
      Select(now);
      break;
    case LeaseDecision::kWait:
      timer_ = now + std::clamp(wait_hint, timings_.turn_again,
                                timings_.max_back_off);
      break;
    case LeaseDecision::kRefused:
      RefuseSuspect(now, "");
      break;
    case LeaseDecision::kCleared:
      run_alone_ = false;
      earlier_deaths_ = 0;
      deaths_.clear();
      Select(now);
      break;
  }
  return Take(now);
}

//==============================================================================
// Selection

void RequestMachine::Select(TimePoint now) {
  round_.clear();
  busy_.clear();
  state_ = State::kSelecting;
  timer_ = now + timings_.ask_elsewhere;
  Do(SelectCandidates{excluded_, avoid_domain_, run_alone_});
}

void RequestMachine::PauseThenSelect(TimePoint now, Duration at_least) {
  Duration pause =
      timings_.select_back_off * (int64_t{1} << std::min(pauses_++, 8));
  pause = std::min(std::max(pause, at_least), timings_.max_back_off);
  excluded_.clear();
  too_large_ = refused_by_deadline_ = refused_otherwise_ = false;
  state_ = State::kPausing;
  timer_ = now + pause;
}

RequestActions RequestMachine::OnCandidates(TimePoint now,
                                            std::vector<Candidate> candidates,
                                            bool gather) {
  if (Expire(now) || state_ != State::kSelecting) return Take(now);
  std::erase_if(candidates, [&](const Candidate& c) {
    return excluded_.contains(c.endpoint);
  });
  if (gather) {
    BeginGather(now);
  } else if (candidates.empty()) {
    NoCandidates(now);
  } else {
    if (candidates.size() > kProbes) candidates.resize(kProbes);
    round_ = std::move(candidates);
    AskNext(now);
  }
  return Take(now);
}

RequestActions RequestMachine::OnTooLarge(TimePoint now, TokenCount room) {
  if (Expire(now) || state_ != State::kSelecting) return Take(now);
  const TokenCount needed = options_.prompt + options_.max_answer;
  EndWithError(
      now, 413,
      {ErrorCode::kTooLarge, "admission", options_.pool.pool.value(),
       "the prompt and its answer need " + std::to_string(needed.value()) +
           " tokens of memory; all endpoints together hold " +
           std::to_string(room.value())});
  return Take(now);
}

void RequestMachine::NoCandidates(TimePoint now) {
  if (too_large_ && IsModel()) {
    BeginGather(now);
  } else if (refused_by_deadline_ && !refused_otherwise_) {
    EndWithError(now, 503,
                 {ErrorCode::kOverloaded, "admission", "",
                  "no endpoint can finish the request before its deadline"},
                 Duration::Seconds(1));
  } else {
    PauseThenSelect(now, Duration());
  }
}

//==============================================================================
// Asking owners

Message RequestMachine::AskMessage(TimePoint now) const {
  AdmissionRequest message;
  message.request = options_.request;
  message.attempt = ask_->attempt;
  message.endpoint = ask_->candidate.endpoint;
  message.pool = options_.pool.pool;
  message.team = options_.team;
  message.request_class = options_.request_class.name;
  message.prompt = options_.prompt;
  message.max_answer = options_.max_answer;
  message.time_left = options_.deadline - now;
  message.fingerprint = options_.fingerprint;
  message.run_alone = run_alone_;
  message.queue_if_busy = ask_->queue;
  message.plain_service = !IsModel();
  message.prefixes = options_.prefixes;
  return message;
}

void RequestMachine::SendAsk(TimePoint now, Candidate candidate, bool queue,
                             Duration hint) {
  Ask ask;
  ask.candidate = std::move(candidate);
  ask.attempt = NewAttempt();
  ask.queue = queue;
  ask.first_sent = now;
  ask.patience = timings_.ask_elsewhere;
  if (queue) {
    ask.patience = std::max(hint * kQueuePatience,
                            timings_.queued_ask_again * kQueuePatience);
  }
  ask_ = std::move(ask);
  RepeatAsk(now);
}

void RequestMachine::RepeatAsk(TimePoint now) {
  ask_->last_sent = now;
  state_ = State::kAsking;
  const TimePoint give_up = ask_->first_sent + ask_->patience;
  timer_ = std::min(
      now + (ask_->queue ? timings_.queued_ask_again : timings_.ask_again),
      give_up);
  Do(SendToVm{ask_->candidate.owner, AskMessage(now)});
}

void RequestMachine::AskNext(TimePoint now) {
  if (!round_.empty()) {
    const Candidate candidate = round_.front();
    round_.erase(round_.begin());
    SendAsk(now, candidate, false, Duration());
    return;
  }
  if (!busy_.empty()) {
    const auto best = std::min_element(busy_.begin(), busy_.end());
    const auto [hint, candidate] = *best;
    busy_.erase(best);
    SendAsk(now, candidate, true, hint);
    return;
  }
  Select(now);
}

void RequestMachine::GiveUpAsk(TimePoint) {
  CancelAdmission cancel;
  cancel.request = options_.request;
  cancel.attempt = ask_->attempt;
  cancel.endpoint = ask_->candidate.endpoint;
  Do(SendToVm{ask_->candidate.owner, cancel});
  excluded_.insert(ask_->candidate.endpoint);
  ask_.reset();
}

void RequestMachine::RunAskTimer(TimePoint now) {
  if (now - ask_->first_sent < ask_->patience) {
    RepeatAsk(now);
    return;
  }
  refused_otherwise_ = true;
  GiveUpAsk(now);
  AskNext(now);
}

RequestActions RequestMachine::OnVmUnreachable(TimePoint now, const VmId& vm) {
  if (Expire(now)) return Take(now);
  if (ask_ && ask_->candidate.owner == vm) {
    refused_otherwise_ = true;
    GiveUpAsk(now);
    AskNext(now);
  } else if (state_ == State::kTakingOver && found_.holder == vm) {
    TakeOverFailed(now);
  }
  return Take(now);
}

RequestActions RequestMachine::OnRefusal(TimePoint now,
                                         const Refusal& refusal) {
  if (Expire(now) || !ask_ || refusal.request != options_.request ||
      refusal.attempt != ask_->attempt ||
      refusal.endpoint != ask_->candidate.endpoint) {
    return Take(now);
  }
  const Ask ask = *ask_;
  ask_.reset();
  switch (refusal.reason) {
    case RefusalReason::kTeamLimit:
      EndWithError(now, 429,
                   {ErrorCode::kLimitExceeded, "admission",
                    ask.candidate.owner.value(), "the team's limit is used up"},
                   std::max(refusal.wait_hint, Duration::Seconds(1)));
      return Take(now);
    case RefusalReason::kSuspect:
      RefuseSuspect(now, ask.candidate.owner.value());
      return Take(now);
    case RefusalReason::kBusy:
      refused_otherwise_ = true;
      if (ask.queue) {
        excluded_.insert(ask.candidate.endpoint);
      } else {
        busy_.emplace_back(refusal.wait_hint, ask.candidate);
      }
      break;
    case RefusalReason::kDeadline:
      refused_by_deadline_ = true;
      excluded_.insert(ask.candidate.endpoint);
      break;
    case RefusalReason::kTooLarge:
      too_large_ = true;
      excluded_.insert(ask.candidate.endpoint);
      break;
    case RefusalReason::kNotOwner:
    case RefusalReason::kNotAccepting:
      refused_otherwise_ = true;
      excluded_.insert(ask.candidate.endpoint);
      break;
  }
  AskNext(now);
  return Take(now);
}

//==============================================================================
// Grants

void RequestMachine::ReleaseUnused(const Grant& grant) {
  if (!ledger_.Add(grant)) return;
  OutgoingMessage out =
      ledger_.MakeRelease(grant, ReleaseOutcome::kNeverStarted, RunReport{});
  Do(SendToVm{out.to, std::move(out.message)});
}

OutgoingMessage RequestMachine::ReleaseOfUnknown(const Grant& grant) {
  GrantLedger ledger;
  ledger.Add(grant);
  return ledger.MakeRelease(grant, ReleaseOutcome::kNeverStarted, RunReport{});
}

RequestActions RequestMachine::OnGrant(TimePoint now, TimePoint not_before,
                                       const Grant& grant) {
  Expire(now);
  const bool wanted = ask_ && grant.request == options_.request &&
                      grant.attempt == ask_->attempt &&
                      grant.endpoint == ask_->candidate.endpoint;
  if (!wanted) {
    ReleaseUnused(grant);
    return Take(now);
  }
  const Ask ask = *ask_;
  ask_.reset();
  // A probe's grant may have been under way since the owner was first asked. A
  // queued one is counted from its receipt; the margin covers its transit.
  const TimePoint since =
      ask.queue ? std::max(ask.first_sent, std::min(not_before, now))
                : ask.first_sent;
  const TimePoint start_before =
      since + grant.start_within - timings_.grant_margin;
  if (now >= start_before) {
    ReleaseUnused(grant);
    SendAsk(now, ask.candidate, ask.queue, Duration());
    return Take(now);
  }
  if (!ledger_.Add(grant)) {
    ZR_ASSERT_INVARIANT(kNoKvLeak, false, "an owner used a grant number twice");
    SendAsk(now, ask.candidate, ask.queue, Duration());
    return Take(now);
  }
  BeginUpstream(now, grant.attempt, {grant}, ask.candidate.domain,
                start_before);
  return Take(now);
}

//==============================================================================
// Gathering

void RequestMachine::BeginGather(TimePoint now) {
  gather_ = NewAttempt();
  state_ = State::kGathering;
  timer_ = now + kGatherPatience;
  Do(GatherRequest{*gather_, options_.prompt + options_.max_answer, excluded_});
}

RequestActions RequestMachine::OnGatherReady(TimePoint now,
                                             TimePoint not_before,
                                             AttemptNumber attempt,
                                             const std::vector<Grant>& grants) {
  Expire(now);
  bool usable = gather_ && attempt == *gather_ && !grants.empty();
  TimePoint start_before = TimePoint::Max();
  for (const Grant& grant : grants) {
    start_before =
        std::min(start_before, std::min(not_before, now) + grant.start_within -
                                   timings_.grant_margin);
  }
  const bool late = usable && now >= start_before;
  if (late) {
    gather_.reset();
    usable = false;
  }
  if (!usable) {
    for (const Grant& grant : grants) ReleaseUnused(grant);
    if (late) BeginGather(now);
    return Take(now);
  }
  gather_.reset();
  std::vector<Grant> taken;
  for (const Grant& grant : grants) {
    if (ledger_.Add(grant)) taken.push_back(grant);
  }
  ZR_ASSERT_INVARIANT(kNoKvLeak, taken.size() == grants.size(),
                      "a gather's grant was used before");
  BeginUpstream(now, attempt, std::move(taken), DomainId(), start_before);
  return Take(now);
}

RequestActions RequestMachine::OnGatherFailed(TimePoint now,
                                              AttemptNumber attempt,
                                              Duration wait_hint) {
  if (Expire(now) || !gather_ || attempt != *gather_) return Take(now);
  gather_.reset();
  PauseThenSelect(now, wait_hint);
  return Take(now);
}

}  // namespace zr
