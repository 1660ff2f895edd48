#include "zr_base/error.h"

#include <sstream>
#include <utility>

namespace zr {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kForbidden:
      return "forbidden";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kLimitExceeded:
      return "limit_exceeded";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownOutcome:
      return "unknown_outcome";
    case ErrorCode::kSuspectRequest:
      return "suspect_request";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string_view ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kMayHaveRun:
      return "may-have-run";
    case RunState::kRan:
      return "ran";
  }
  return "may-have-run";
}

std::ostream& operator<<(std::ostream& os, const Error& error) {
  os << error.step << ": " << error.message << " (" << ToString(error.code);
  if (!error.peer.empty()) os << ", peer " << error.peer;
  return os << ")";
}

std::string ToString(const Error& error) {
  std::ostringstream os;
  os << error;
  return os.str();
}

tl::unexpected<Error> Fail(ErrorCode code, std::string step, std::string peer,
                           std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(step), std::move(peer), std::move(message)});
}

}  // namespace zr
