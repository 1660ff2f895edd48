#pragma once

#include <optional>
#include <vector>

#include "zr_records/operation_events.h"

namespace zr {

struct OperationOptions {
  Duration backoff_base =
      Duration::Milliseconds(50);  // first pause after a failed store call
  Duration backoff_max = Duration::Seconds(2);
  int max_store_failures = 3;  // failed store calls in a row until a call that
                               // may not wait is refused
  Duration background_window =
      Duration::Seconds(60);  // to store an outcome or give back a claim
  Duration claim_max_age =
      Duration::Seconds(600);  // older claims may be claimed anew
};

/** The rules of the protocol. Tests replace single rules to show that each is
 * necessary. */
struct OperationRules {
  /** After a write with an unknown outcome, read and compare. */
  static constexpr bool kRereadAfterUnknown = true;
  /** Never claim a record that another attempt has dispatched. */
  static constexpr bool kDispatchedIsFinal = true;
};

/**
 * One non-repeatable call at one VM: takes the operation's record from absent
 * through claimed and dispatched to done, and calls the service at most once.
 *
 * Store writes whose answer is lost may take effect at any later time, even
 * after a read that shows the old version. This is safe for three reasons.
 *  - Every write is conditional on the version that it replaces, and the
 *    store's versions never recur. Once any write to the object succeeds, each
 *    delayed write on the former version fails for good. A delayed write can
 *    therefore take effect only while the record is unchanged, which is the
 *    same as if it had been quick.
 *  - A write with an unknown outcome is never taken as dead. The machine reads,
 *    and if the record is unchanged writes the same transition again on the
 *    same version: one of the two succeeds, and both carry the same attempt.
 *    The service is called only after a reply or a read shows the record
 *    dispatched by this very attempt, and from then on only this attempt
 *    changes the record.
 *  - An attempt that ends without a call writes kReleased over what it left.
 *    This fails its delayed create or dispatch. If that cannot be done within
 *    the background window, a delayed write may still leave the record claimed
 *    (which is claimed anew later) or dispatched (which is answered with "may
 *    have run"): the key is blocked, and nothing runs twice. A delayed claim
 *    of another attempt's claimed or released record is left alone.
 * A delayed create needs an absent object. It can follow the deletion of an
 * expired record, and leaves a claim, which permits no call by itself.
 */
template <typename Rules>
class BasicOperationMachine {
 public:
  using Actions = std::vector<OperationAction>;

  /**
   * @param self  unique to this machine
   * @param seed  for the jitter of pauses
   */
  BasicOperationMachine(OperationCall call, AttemptId self,
                        OperationOptions options, uint64_t seed);

  BasicOperationMachine(const BasicOperationMachine&) = delete;
  BasicOperationMachine& operator=(const BasicOperationMachine&) = delete;

  /** Handles an event; replies to earlier actions that no longer matter are
   * ignored. */
  Actions Handle(const OperationEvent& event, TimePoint now);

  /** When the next OpTick is due; TimePoint::Max() after the end. */
  TimePoint NextWakeup() const;

  /** The caller has its answer or has gone. */
  bool answered() const { return answered_; }
  /** Nothing remains to be done; the machine may be destroyed. */
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
  void On(const OpCallerGone& event);
  void On(const OpTick& event);

  // Decide the next step from the record as last known.
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
  uint64_t call_id_ = 0;  // number of the store call that is waited for
  TimePoint wake_at_;     // kBackoff only
  TimePoint timer_at_ = TimePoint::Max();
  TimePoint background_deadline_;
  int failures_ = 0;  // failed store calls in a row
  int polls_ = 0;     // reads that found the record claimed by a live attempt

  bool record_known_ = false;  // the record has been read or written
  ObjectVersion version_;
  OperationRecord record_;  // kAbsent when version_ is 0
  OperationRecord pending_record_;
  std::optional<ServiceOutcome> outcome_;

  bool write_sent_ = false;
  bool write_unknown_ = false;  // some write had an unknown outcome; a create
                                // may still take effect
  bool service_called_ = false;
  bool service_not_run_ = false;
  bool answered_ = false;
  bool answered_not_run_ = false;
};

using OperationMachine = BasicOperationMachine<OperationRules>;
extern template class BasicOperationMachine<OperationRules>;

}  // namespace zr
