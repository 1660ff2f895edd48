#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "zr_records/operation_machine.h"

// Member definitions of BasicOperationMachine; included by operation_machine.cc
// and by tests that override rules.

namespace zr {

template <typename Rules>
BasicOperationMachine<Rules>::BasicOperationMachine(OperationCall call,
                                                    AttemptId self,
                                                    OperationOptions options,
                                                    uint64_t seed)
    : call_(std::move(call)),
      self_(std::move(self)),
      options_(options),
      random_(seed) {}

template <typename Rules>
auto BasicOperationMachine<Rules>::Handle(const OperationEvent& event,
                                          TimePoint now) -> Actions {
  now_ = now;
  actions_.clear();
  // Check the deadline first, so that a reply after it does not start a call
  // to the service.
  if (now >= call_.deadline && !std::holds_alternative<OpStart>(event)) {
    On(OpDeadline{});
  }
  std::visit([this](const auto& e) { this->On(e); }, event);
  const TimePoint wakeup = NextWakeup();
  if (wakeup != timer_at_ && wakeup != TimePoint::Max()) {
    actions_.emplace_back(OpSetTimer{wakeup});
  }
  timer_at_ = wakeup;
  return std::move(actions_);
}

template <typename Rules>
TimePoint BasicOperationMachine<Rules>::NextWakeup() const {
  if (ended() || step_ == Step::kIdle) return TimePoint::Max();
  TimePoint wakeup = answered_ ? TimePoint::Max() : call_.deadline;
  if (step_ == Step::kBackoff) wakeup = std::min(wakeup, wake_at_);
  return wakeup;
}

// ---------------------------------------------------------------------------
// Events

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpStart&) {
  ZR_ASSERT(step_ == Step::kIdle, "an operation starts once");
  started_ = now_;
  Read();
  if (now_ >= call_.deadline) On(OpDeadline{});
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpReadReply& event) {
  if (step_ != Step::kReading || event.id != call_id_) return;
  switch (event.status) {
    case ReadStatus::kFound:
      version_ = event.version;
      record_ = event.record;
      break;
    case ReadStatus::kAbsent:
      version_ = ObjectVersion();
      record_ = OperationRecord();
      break;
    case ReadStatus::kInvalid:
      // The record may have a later format, and the operation may have run
      // under it.
      if (!answered_) {
        Answer({RunState::kMayHaveRun, std::nullopt, std::nullopt,
                Error{ErrorCode::kInternal, "records", "",
                      "the record cannot be decoded"}});
      }
      return End();
    case ReadStatus::kError:
    case ReadStatus::kUnknown:
      return OnStoreFailure();
  }
  record_known_ = true;
  failures_ = 0;
  Decide();
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpWriteReply& event) {
  if (step_ != Step::kWriting || event.id != call_id_) return;
  if (event.status == WriteStatus::kOk ||
      (event.status == WriteStatus::kUnknown && !Rules::kRereadAfterUnknown)) {
    version_ = event.version;
    record_ = std::move(pending_record_);
    record_known_ = true;
    failures_ = 0;
    return Decide();
  }
  if (event.status == WriteStatus::kConflict) return Read();
  if (event.status == WriteStatus::kUnknown) write_unknown_ = true;
  OnStoreFailure();
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpServiceReply& event) {
  if (step_ != Step::kCalling) return;
  switch (event.status) {
    case ServiceCallStatus::kCompleted:
      outcome_ = event.outcome;
      // Answer before the outcome is stored: if that write is lost, a repeated
      // call merely gets "may have run".
      if (!answered_) {
        Answer(
            {RunState::kRan, RecordState::kDispatched, outcome_, std::nullopt});
      }
      if (outcome_->body.size() > kMaxInlineBody) {
        outcome_->body.clear();
        outcome_->body_stored = false;
      }
      StartBackground(Phase::kStoreOutcome);
      return Decide();
    case ServiceCallStatus::kNotRun:
      service_not_run_ = true;
      StartBackground(Phase::kRelease);
      return Decide();
    case ServiceCallStatus::kUnknown:
      if (!answered_) {
        AnswerError(ErrorCode::kUnknownOutcome,
                    "the service's answer was lost");
      }
      return End();
  }
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpOwnerLiveness& event) {
  if (step_ != Step::kCheckingOwner || event.attempt != record_.attempt) return;
  if (event.alive) {
    ++polls_;
    return Backoff();
  }
  Write(RecordState::kClaimed);
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpDeadline&) {
  if (answered_ || step_ == Step::kIdle || step_ == Step::kEnded) return;
  AnswerError(ErrorCode::kDeadlineExceeded,
              "the operation did not finish before the deadline");
  if (step_ != Step::kCalling) StopAcquiring();
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpCallerDisconnected&) {
  answered_ = true;
  if (step_ == Step::kIdle) return End();
  if (step_ != Step::kCalling && step_ != Step::kEnded) StopAcquiring();
}

template <typename Rules>
void BasicOperationMachine<Rules>::On(const OpTick&) {
  if (step_ == Step::kBackoff && now_ >= wake_at_) Read();
}

// ---------------------------------------------------------------------------
// Decisions

template <typename Rules>
void BasicOperationMachine<Rules>::Decide() {
  switch (phase_) {
    case Phase::kAcquire:
      return DecideAcquire();
    case Phase::kStoreOutcome:
      return DecideStoreOutcome();
    case Phase::kRelease:
      return DecideRelease();
  }
}

template <typename Rules>
void BasicOperationMachine<Rules>::DecideAcquire() {
  if (record_.state == RecordState::kAbsent) {
    return Write(RecordState::kClaimed);
  }
  if (AnswerFromRecord()) return;
  const bool own = record_.attempt == self_;
  switch (record_.state) {
    case RecordState::kAbsent:
    case RecordState::kReleased:
      return Write(RecordState::kClaimed);
    case RecordState::kClaimed:
      return own ? Write(RecordState::kDispatched) : DecideClaimedByOther();
    case RecordState::kDispatched:
      if (own) return CallService();
      if (!Rules::kDispatchedIsFinal) return DecideClaimedByOther();
      AnswerError(ErrorCode::kUnknownOutcome,
                  "an earlier call was sent and its outcome is not known");
      return End();
    case RecordState::kDone:
      return;  // already answered by AnswerFromRecord
  }
}

template <typename Rules>
bool BasicOperationMachine<Rules>::AnswerFromRecord() {
  if (record_.fingerprint != call_.fingerprint) {
    Answer({RunState::kNotRun, record_.state, std::nullopt,
            Error{ErrorCode::kConflict, "records", "",
                  "the idempotency key was used with a different request"}});
    End();
    return true;
  }
  if (record_.state != RecordState::kDone) return false;
  ZR_ASSERT_INVARIANT(kAtMostOnce, record_.attempt != self_,
                      "an outcome is stored only after the call");
  Answer({RunState::kRan, RecordState::kDone, record_.outcome, std::nullopt});
  End();
  return true;
}

template <typename Rules>
void BasicOperationMachine<Rules>::DecideClaimedByOther() {
  // The clocks of two VMs may differ. Taking over a claim too early is safe,
  // because the other attempt's dispatch is conditional on the version that it
  // claimed.
  if (UnixMs() - record_.updated_unix_ms >
      options_.claim_max_age.milliseconds()) {
    return Write(RecordState::kClaimed);
  }
  step_ = Step::kCheckingOwner;
  actions_.emplace_back(OpCheckOwner{record_.attempt});
}

template <typename Rules>
void BasicOperationMachine<Rules>::DecideStoreOutcome() {
  const bool own = record_.attempt == self_;
  if (own && record_.state == RecordState::kDispatched) {
    return Write(RecordState::kDone);
  }
  // No other attempt changes a dispatched record; only retention deletes it,
  // after days.
  ZR_ASSERT_INVARIANT(kAtMostOnce,
                      record_.state == RecordState::kAbsent ||
                          (own && record_.state == RecordState::kDone),
                      "another attempt changed a dispatched record");
  End();
}

template <typename Rules>
void BasicOperationMachine<Rules>::DecideRelease() {
  const bool own = record_.attempt == self_;
  // Writing over an absent record makes a delayed create of this attempt fail.
  const bool absent = record_.state == RecordState::kAbsent;
  const bool ours = own && (record_.state == RecordState::kClaimed ||
                            record_.state == RecordState::kDispatched);
  if (ours || (absent && write_unknown_)) return Write(RecordState::kReleased);
  // After a release whose reply was lost, another attempt may have run the
  // operation.
  if (!answered_ && !own && !absent && AnswerFromRecord()) return;
  End();
}

// ---------------------------------------------------------------------------
// Steps

template <typename Rules>
void BasicOperationMachine<Rules>::Read() {
  step_ = Step::kReading;
  actions_.emplace_back(OpRead{++call_id_, call_.object_name});
}

template <typename Rules>
void BasicOperationMachine<Rules>::Write(RecordState state) {
  ZR_ASSERT_INVARIANT(
      kAtMostOnce,
      !service_called_ || state == RecordState::kDone || service_not_run_,
      "after the call, only its outcome may be written");
  step_ = Step::kWriting;
  write_sent_ = true;
  pending_record_ =
      OperationRecord{state,
                      self_,
                      call_.fingerprint,
                      call_.team,
                      call_.service,
                      call_.key,
                      UnixMs(),
                      state == RecordState::kDone ? outcome_ : std::nullopt};
  actions_.emplace_back(
      OpWrite{++call_id_, call_.object_name, version_, pending_record_});
}

template <typename Rules>
void BasicOperationMachine<Rules>::CallService() {
  ZR_ASSERT_INVARIANT(kAtMostOnce, !service_called_,
                      "an attempt calls the service at most once");
  ZR_ASSERT_INVARIANT(
      kAtMostOnce,
      record_.state == RecordState::kDispatched && record_.attempt == self_,
      "the service is called only after this attempt's dispatch took effect");
  ZR_ASSERT_INVARIANT(kNotRunTrue, !answered_not_run_,
                      "no call after the answer \"not run\"");
  service_called_ = true;
  step_ = Step::kCalling;
  actions_.emplace_back(OpCallService{self_});
}

template <typename Rules>
void BasicOperationMachine<Rules>::OnStoreFailure() {
  ++failures_;
  if (phase_ != Phase::kAcquire) {
    if (now_ >= background_deadline_) return End();
  } else if (!call_.may_wait && failures_ >= options_.max_store_failures) {
    step_ = Step::kBackoff;
    AnswerError(ErrorCode::kUnavailable, "the object store cannot be reached");
    return StopAcquiring();
  }
  Backoff();
}

template <typename Rules>
void BasicOperationMachine<Rules>::Backoff() {
  const int doublings = std::min(failures_ + polls_, 10);
  const Duration delay = std::min(
      options_.backoff_max, options_.backoff_base * (int64_t{1} << doublings));
  // Jitter keeps VMs from retrying at the same time after an outage of the
  // store.
  const auto jittered = static_cast<int64_t>(
      static_cast<double>(delay.microseconds()) * (0.5 + 0.5 * random_.Unit()));
  step_ = Step::kBackoff;
  wake_at_ = now_ + Duration::Microseconds(jittered);
}

template <typename Rules>
void BasicOperationMachine<Rules>::StartBackground(Phase phase) {
  phase_ = phase;
  failures_ = 0;
  background_deadline_ = now_ + options_.background_window;
}

template <typename Rules>
void BasicOperationMachine<Rules>::StopAcquiring() {
  if (phase_ != Phase::kAcquire) return;
  if (!write_sent_) return End();
  StartBackground(Phase::kRelease);
  // If a store call is in flight, its reply leads to DecideRelease.
  if (step_ == Step::kCheckingOwner || step_ == Step::kBackoff) Backoff();
}

template <typename Rules>
void BasicOperationMachine<Rules>::AnswerError(ErrorCode code,
                                               std::string message) {
  const bool may_have_run =
      (service_called_ && !service_not_run_) || ClaimedByOther() ||
      (record_known_ && record_.state == RecordState::kDispatched &&
       record_.attempt != self_);
  Answer({may_have_run ? RunState::kMayHaveRun : RunState::kNotRun,
          KnownState(), std::nullopt,
          Error{code, "records", "", std::move(message)}});
}

template <typename Rules>
void BasicOperationMachine<Rules>::Answer(OpAnswer answer) {
  ZR_ASSERT_INVARIANT(kAnswerIntegrity, !answered_,
                      "a caller is answered at most once");
  if (answer.run == RunState::kNotRun) {
    ZR_ASSERT_INVARIANT(kNotRunTrue, !service_called_ || service_not_run_,
                        "\"not run\" after the call was sent");
    answered_not_run_ = true;
  }
  answered_ = true;
  actions_.emplace_back(std::move(answer));
}

template <typename Rules>
void BasicOperationMachine<Rules>::End() {
  if (!answered_) {
    AnswerError(ErrorCode::kOverloaded, "the service did not run the call");
  }
  step_ = Step::kEnded;
}

// ---------------------------------------------------------------------------
// Known state of the record

template <typename Rules>
std::optional<RecordState> BasicOperationMachine<Rules>::KnownState() const {
  if (!record_known_) return std::nullopt;
  return record_.state;
}

template <typename Rules>
bool BasicOperationMachine<Rules>::ClaimedByOther() const {
  return record_known_ && record_.state == RecordState::kClaimed &&
         record_.attempt != self_;
}

template <typename Rules>
int64_t BasicOperationMachine<Rules>::UnixMs() const {
  return call_.start_unix_ms + (now_ - started_).milliseconds();
}

}  // namespace zr
