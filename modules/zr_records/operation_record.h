#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** Object API kind of the records. */
inline constexpr std::string_view kOperationsKind = "operations";
/** Largest answer body that a record holds, in bytes. */
inline constexpr size_t kMaxInlineBody = size_t{256} << 10;
/** Longest idempotency key, team name or service name, in bytes. */
inline constexpr size_t kMaxIdBytes = 256;

/** Identifies one attempt at an operation, so that a VM recognises its own
 * writes. */
struct AttemptId {
  VmId vm;
  Incarnation incarnation;
  uint64_t nonce = 0;  // random for each attempt
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/** "vm/incarnation/nonce". */
std::ostream& operator<<(std::ostream& os, const AttemptId& attempt);

enum class RecordState : uint8_t {
  kAbsent,      // no record
  kClaimed,     // an attempt owns the record and has not called the service yet
  kDispatched,  // the attempt may call the service, or has called it
  kDone,        // the outcome is stored
  kReleased,    // the attempt ended; the service has not run the call
};

/** "absent", "claimed", "dispatched", "done" or "released". */
std::string_view ToString(RecordState state);

/** Response of the service. */
struct ServiceOutcome {
  int32_t status = 0;  // HTTP status
  std::string content_type;
  std::string digest;  // hex SHA-256 of the body
  std::string body;
  bool body_stored = true;  // false: the body exceeds kMaxInlineBody, and only
                            // its digest is stored
  friend auto operator<=>(const ServiceOutcome&,
                          const ServiceOutcome&) = default;
};

/** The value of one object of kind `operations`. */
struct OperationRecord {
  RecordState state = RecordState::kAbsent;
  AttemptId attempt;        // last attempt that wrote the record
  Fingerprint fingerprint;  // of the request body
  TeamId team;
  std::string service;
  std::string key;
  int64_t updated_unix_ms = 0;            // clock of the writer
  std::optional<ServiceOutcome> outcome;  // kDone only
  friend auto operator<=>(const OperationRecord&,
                          const OperationRecord&) = default;
};

/**
 * Object name of an operation. Distinct triples have distinct names: bytes
 * other than letters, digits and '-' are escaped as "_xx".
 *
 * @returns kInvalidArgument if an argument is empty, is longer than
 * kMaxIdBytes or contains a byte outside printable ASCII
 */
Result<std::string> OperationName(const TeamId& team, std::string_view service,
                                  std::string_view key);

}  // namespace zr
