#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "zr_records/operation_record.h"

namespace zr {

/** A caller's request for a non-repeatable call. */
struct OperationCall {
  std::string object_name;  // from OperationName
  TeamId team;
  std::string service;
  std::string key;
  Fingerprint fingerprint;    // of the request body
  TimePoint deadline;         // the caller is answered no later
  bool may_wait = false;      // the class may be held while the store is down
  int64_t start_unix_ms = 0;  // wall clock at OpStart
};

// ---------------------------------------------------------------------------
// Events. Each OpRead, OpWrite and OpCallService gets exactly one reply; a
// time-out or a lost connection is the reply "unknown".

struct OpStart {};

enum class ReadStatus : uint8_t {
  kFound,
  kAbsent,
  kUnreadable,  // the object exists and RecordCodec refuses its value
  kError,       // the store refused the read
  kUnknown,     // no answer
};

struct OpReadReply {
  uint64_t op = 0;  // number of the OpRead
  ReadStatus status = ReadStatus::kUnknown;
  ObjectVersion version;   // kFound only
  OperationRecord record;  // kFound only
};

enum class WriteStatus : uint8_t {
  kOk,
  kConflict,    // the expected version did not match
  kNotWritten,  // the store refused the write, or no byte of it was sent
  kUnknown,     // no answer; the write may take effect, now or later
};

struct OpWriteReply {
  uint64_t op = 0;  // number of the OpWrite
  WriteStatus status = WriteStatus::kUnknown;
  ObjectVersion version;  // kOk only
};

enum class ServiceStatus : uint8_t {
  kOutcome,  // the service answered; its outcome is known
  kNotRun,   // the service said that it did not run the call, or no byte was
             // sent to it
  kUnknown,  // bytes were sent and no complete answer arrived
};

struct OpServiceReply {
  ServiceStatus status = ServiceStatus::kUnknown;
  ServiceOutcome outcome;  // kOutcome only
};

/**
 * Whether the attempt of an OpCheckOwner may still be at work: its VM is live
 * with the same incarnation and, when that VM is this one, its machine still
 * exists. A wrong answer costs time only: safety rests on versions.
 */
struct OpOwnerLiveness {
  AttemptId attempt;
  bool alive = false;
};

/** The deadline has passed; any event at or after the deadline has this effect.
 */
struct OpDeadline {};
/** The caller has gone; no answer is due any more. */
struct OpCallerGone {};
/** The time of the last OpSetTimer has come. */
struct OpTick {};

using OperationEvent =
    std::variant<OpStart, OpReadReply, OpWriteReply, OpServiceReply,
                 OpOwnerLiveness, OpDeadline, OpCallerGone, OpTick>;

// ---------------------------------------------------------------------------
// Actions, to be carried out in order.

struct OpRead {
  uint64_t op = 0;
  std::string name;
};

/** A conditional put. */
struct OpWrite {
  uint64_t op = 0;
  std::string name;
  ObjectVersion expected;  // 0: the object must be absent
  OperationRecord record;
};

/**
 * Sends the call to the service once; no layer below may repeat it, not even
 * after a broken connection.
 */
struct OpCallService {
  AttemptId attempt;
};

/** Asks for an OpOwnerLiveness. */
struct OpCheckOwner {
  AttemptId attempt;
};

/**
 * The answer to the caller, given at most once.
 *
 * `run` is about this call: kNotRun says that this call has not reached the
 * service and never will. When `record` is set and no conflict is reported,
 * kNotRun also says that no earlier call of the key had run when the record was
 * last read. Without `record` (the store could not be read), an earlier call of
 * the key may have run.
 */
struct OpAnswer {
  RunState run = RunState::kMayHaveRun;
  std::optional<RecordState> record;
  std::optional<ServiceOutcome> outcome;  // kRan only
  std::optional<Error> error;             // unset when an outcome is set
};

/** Asks for an OpTick; replaces the former timer. */
struct OpSetTimer {
  TimePoint at;
};

using OperationAction = std::variant<OpRead, OpWrite, OpCallService,
                                     OpCheckOwner, OpAnswer, OpSetTimer>;

}  // namespace zr
