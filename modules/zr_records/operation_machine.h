#pragma once

#include <optional>
#include <vector>

#include "zr_records/operation_events.h"

namespace zr {

struct OperationOptions {
  Duration backoff_base =
      Duration::Milliseconds(50);  // first delay after a failed store call
  Duration backoff_max = Duration::Seconds(2);
  int max_store_failures = 3;  // consecutive failures after which a call
                               // without may_wait is rejected
  Duration background_window =
      Duration::Seconds(60);  // time to store an outcome or release a claim
  Duration claim_max_age =
      Duration::Seconds(600);  // older claims may be taken over
};

/** Rules of the protocol. Tests override single rules to show that each is
 * necessary. */
struct OperationRules {
  /** After a write with an unknown outcome, read and compare. */
  static constexpr bool kRereadAfterUnknown = true;
  /** Never take over a record that another attempt has dispatched. */
  static constexpr bool kDispatchedIsFinal = true;
};

/**
 * State machine of one attempt at a non-repeatable call. It moves the
 * operation's record from absent through claimed and dispatched to done, and
 * calls the service at most once.
 *
 * A store write whose reply is lost may take effect at any later time, even
 * after a read that returns the old version. This is safe for three reasons:
 *  - Every write is conditional on the version that it replaces, and the store
 *    never reuses a version. Once any write to the object succeeds, all delayed
 *    writes on the previous version fail permanently. A delayed write can
 *    therefore take effect only while the record is unchanged, which has the
 *    same result as a write without delay.
 *  - A write with an unknown outcome is never assumed to have failed. The state
 *    machine reads the record and, if the record is unchanged, repeats the same
 *    transition on the same version: one of the two writes succeeds, and both
 *    carry the same attempt. The service is called only after a reply or a read
 *    shows that this attempt has dispatched the record. From then on only this
 *    attempt changes the record.
 *  - An attempt that ends without a call writes kReleased over its claim or
 *    dispatch, so that its delayed create or dispatch fails. If this is not
 *    possible within the background window, a delayed write may still leave the
 *    record claimed (another attempt takes it over later) or dispatched (later
 *    calls are answered with "may have run"). This blocks the key, but nothing
 *    runs twice. A delayed claim on another attempt's claimed or released
 *    record is left as it is.
 * A delayed create takes effect only if the object is absent. This can happen
 * after an expired record was deleted. It leaves a claim, which does not permit
 * a call by itself.
 */
template <typename Rules>
class BasicOperationMachine {
 public:
  using Actions = std::vector<OperationAction>;

  /**
   * @param self  unique to this attempt
   * @param seed  for the jitter of the backoff
   */
  BasicOperationMachine(OperationCall call, AttemptId self,
                        OperationOptions options, uint64_t seed);

  BasicOperationMachine(const BasicOperationMachine&) = delete;
  BasicOperationMachine& operator=(const BasicOperationMachine&) = delete;

  /** Handles an event. Replies to superseded actions are ignored. */
  Actions Handle(const OperationEvent& event, TimePoint now);

  /** Time at which the next OpTick is due; TimePoint::Max() after the end. */
  TimePoint NextWakeup() const;

  /** The caller was answered or has disconnected. */
  bool answered() const { return answered_; }
  /** No work remains; the state machine may be destroyed. */
  bool ended() const { return step_ == Step::kEnded; }
  const AttemptId& self() const { return self_; }

 private:
  enum class Phase { kAcquire, kStoreOutcome, kRelease };
  enum class Step {
    kIdle,
    kReading,
    kWriting,
    kCheckingOwner,
    kBackoff,
    kCalling,
    kEnded
  };

  void On(const OpStart& event);
  void On(const OpReadReply& event);
  void On(const OpWriteReply& event);
  void On(const OpServiceReply& event);
  void On(const OpOwnerLiveness& event);
  void On(const OpDeadline& event);
  void On(const OpCallerDisconnected& event);
  void On(const OpTick& event);

  // Choose the next step from the last known state of the record.
  void Decide();
  void DecideAcquire();
  bool AnswerFromRecord();
  void DecideClaimedByOther();
  void DecideStoreOutcome();
  void DecideRelease();

  void Read();
  void Write(RecordState state);
  void CallService();
  void OnStoreFailure();
  void Backoff();
  void StartBackground(Phase phase);
  void StopAcquiring();
  void AnswerError(ErrorCode code, std::string message);
  void Answer(OpAnswer answer);
  void End();

  std::optional<RecordState> KnownState() const;
  bool ClaimedByOther() const;
  int64_t UnixMs() const;

  const OperationCall call_;
  const AttemptId self_;
  const OperationOptions options_;
  Random random_;

  Actions actions_;
  TimePoint now_;
  TimePoint started_;
  Phase phase_ = Phase::kAcquire;
  Step step_ = Step::kIdle;
  uint64_t call_id_ = 0;  // of the store call in flight
  TimePoint wake_at_;     // kBackoff only
  TimePoint timer_at_ = TimePoint::Max();
  TimePoint background_deadline_;
  int failures_ = 0;  // consecutive failed store calls
  int polls_ = 0;     // reads that found the record claimed by a live attempt

  bool record_known_ = false;  // the record has been read or written
  ObjectVersion version_;
  OperationRecord record_;  // kAbsent when version_ is 0
  OperationRecord pending_record_;
  std::optional<ServiceOutcome> outcome_;

  bool write_sent_ = false;
  bool write_unknown_ = false;  // a write had an unknown outcome; a create may
                                // still take effect
  bool service_called_ = false;
  bool service_not_run_ = false;
  bool answered_ = false;
  bool answered_not_run_ = false;
};

using OperationMachine = BasicOperationMachine<OperationRules>;
extern template class BasicOperationMachine<OperationRules>;

}  // namespace zr
