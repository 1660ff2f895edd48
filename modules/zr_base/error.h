#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace zr {

/** What went wrong, independent of where. */
enum class ErrorCode {
  kInvalidArgument,   // the input is malformed or out of range
  kUnauthenticated,   // no key, or an unknown one
  kForbidden,         // the key does not allow this
  kNotFound,          // no such model, service, object or stream
  kConflict,          // a conditional update met another change
  kTooLarge,          // a body, header, frame or prompt beyond its bound
  kLimitExceeded,     // a team's limit is used up
  kOverloaded,        // no capacity before the deadline
  kDeadlineExceeded,  // the deadline has passed
  kUnavailable,       // a peer could not be reached or closed early
  kUnknownOutcome,    // a request was sent and its answer was lost
  kSuspectRequest,    // the request is refused because it crashed endpoints
  kInternal,          // a bug
};

/** Short stable name, for example "not_found". */
std::string_view ToString(ErrorCode code);

/** Whether a refused or failed call was run, as told to the caller. */
enum class RunState {
  kNotRun,  // no part of the call reached an endpoint, or the endpoint said so
  kMayHaveRun,  // the call was sent and its outcome is unknown
  kRan,         // the outcome is known
};

/** "not-run", "may-have-run" or "ran". */
std::string_view ToString(RunState state);

/** An error with the step and the peer at which it arose. */
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;     // for example "admission"
  std::string peer;     // name or address of the other side, empty if none
  std::string message;  // one short sentence

  friend auto operator<=>(const Error&, const Error&) = default;
};

/** "step: message (code, peer)". */
std::ostream& operator<<(std::ostream& os, const Error& error);
std::string ToString(const Error& error);

template <typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for a failed Result. */
tl::unexpected<Error> Fail(ErrorCode code, std::string step, std::string peer,
                           std::string message);

}  // namespace zr
