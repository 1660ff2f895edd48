#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace zr {

/** Category of an error, independent of the step that failed. */
enum class ErrorCode {
  kInvalidArgument,   // the input is malformed or out of range
  kUnauthenticated,   // no key, or an unknown one
  kForbidden,         // the key does not allow this
  kNotFound,          // no such model, service, object or stream
  kConflict,          // a conditional update conflicts with another change
  kTooLarge,          // a body, header, frame or prompt exceeds its limit
  kLimitExceeded,     // a team's limit is exhausted
  kOverloaded,        // no capacity before the deadline
  kDeadlineExceeded,  // the deadline has passed
  kUnavailable,  // a peer could not be reached or closed the connection early
  kUnknownOutcome,  // a request was sent, but its response was lost
  kSuspectRequest,  // the request is refused because it crashed endpoints
  kInternal,        // a bug
};

/** Short stable name, for example "not_found". */
std::string_view ToString(ErrorCode code);

/**
 * Whether a call that was refused or failed was executed, as reported to the
 * caller.
 */
enum class RunState {
  kNotRun,  // no part of the call reached an endpoint, or the endpoint reported
            // that it did not run it
  kMayHaveRun,  // the call was sent and its outcome is unknown
  kRan,         // the outcome is known
};

/** "not-run", "may-have-run" or "ran". */
std::string_view ToString(RunState state);

/** An error with the step and the peer where it occurred. */
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;     // for example "admission"
  std::string peer;     // name or address of the remote side, empty if none
  std::string message;  // one short sentence

  friend auto operator<=>(const Error&, const Error&) = default;
};

/** "step: message (code, peer)". */
std::ostream& operator<<(std::ostream& os, const Error& error);
std::string ToString(const Error& error);

template <typename T>
using Result = tl::expected<T, Error>;

/** Returns a failed Result. */
tl::unexpected<Error> Fail(ErrorCode code, std::string step, std::string peer,
                           std::string message);

}  // namespace zr
