#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "zr_records/operation_record.h"

namespace zr {

/** Parameters of a non-repeatable call, from the caller's request. */
struct OperationCall {
  std::string object_name;  // from OperationName
  TeamId team;
  std::string service;
  std::string key;
  Fingerprint fingerprint;  // of the request body
  TimePoint deadline;       // latest time to answer the caller
  bool may_wait = false;    // retry while the store is down, instead of failing
  int64_t start_unix_ms = 0;  // wall clock at OpStart
};

// ---------------------------------------------------------------------------
// Events. Each OpRead, OpWrite and OpCallService gets exactly one reply; a
// timeout or a lost connection is reported as kUnknown.

struct OpStart {};

enum class ReadStatus : uint8_t {
  kFound,
  kAbsent,
  kInvalid,  // the object exists, but RecordCodec cannot decode it
  kError,    // the store rejected the read
  kUnknown,  // no reply
};

struct OpReadReply {
  uint64_t id = 0;  // of the OpRead
  ReadStatus status = ReadStatus::kUnknown;
  ObjectVersion version;   // kFound only
  OperationRecord record;  // kFound only
};

enum class WriteStatus : uint8_t {
  kOk,
  kConflict,    // the expected version did not match
  kNotWritten,  // the store rejected the write, or no byte of it was sent
  kUnknown,     // no reply; the write may have taken effect or still do so
};

struct OpWriteReply {
  uint64_t id = 0;  // of the OpWrite
  WriteStatus status = WriteStatus::kUnknown;
  ObjectVersion version;  // kOk only
};

enum class ServiceCallStatus : uint8_t {
  kCompleted,  // the service answered; its outcome is known
  kNotRun,     // the service reported that it did not run the call, or no byte
               // was sent to it
  kUnknown,    // bytes were sent and no complete answer arrived
};

struct OpServiceReply {
  ServiceCallStatus status = ServiceCallStatus::kUnknown;
  ServiceOutcome outcome;  // kOutcome only
};

/**
 * Reply to OpCheckOwner: whether the attempt may still be in progress, that is,
 * whether its VM is live with the same incarnation and, if that is the local
 * VM, whether its state machine still exists. A wrong value only costs time;
 * safety relies on the object versions of conditional writes.
 */
struct OpOwnerLiveness {
  AttemptId attempt;
  bool alive = false;
};

/** The deadline has passed. Any event handled at or after the deadline has the
 * same effect. */
struct OpDeadline {};
/** The caller has disconnected; no answer is sent any more. */
struct OpCallerDisconnected {};
/** The timer of the last OpSetTimer has fired. */
struct OpTick {};

using OperationEvent =
    std::variant<OpStart, OpReadReply, OpWriteReply, OpServiceReply,
                 OpOwnerLiveness, OpDeadline, OpCallerDisconnected, OpTick>;

// ---------------------------------------------------------------------------
// Actions, executed in order.

struct OpRead {
  uint64_t id = 0;  // returned in the reply
  std::string name;
};

/** A conditional put. */
struct OpWrite {
  uint64_t id = 0;  // returned in the reply
  std::string name;
  ObjectVersion expected;  // 0: the object must be absent
  OperationRecord record;
};

/**
 * Sends the call to the service once. No lower layer may retry it, not even
 * after a broken connection.
 */
struct OpCallService {
  AttemptId attempt;
};

/** Requests an OpOwnerLiveness for this attempt. */
struct OpCheckOwner {
  AttemptId attempt;
};

/**
 * The answer to the caller, sent at most once.
 *
 * `run` refers to this call: kNotRun guarantees that the service has not
 * received this call and never will. If `record_state` is set and the error is
 * not kConflict, kNotRun also guarantees that no earlier call with the same key
 * had run when the record was last read. If `record_state` is unset (the store
 * could not be read), an earlier call with the same key may have run.
 */
struct OpAnswer {
  RunState run = RunState::kMayHaveRun;
  std::optional<RecordState> record_state;
  std::optional<ServiceOutcome> outcome;  // kRan only
  std::optional<Error> error;             // unset when an outcome is set
};

/** Requests an OpTick; replaces the previous timer. */
struct OpSetTimer {
  TimePoint at;
};

using OperationAction = std::variant<OpRead, OpWrite, OpCallService,
                                     OpCheckOwner, OpAnswer, OpSetTimer>;

}  // namespace zr
