#include "zr_daemon/api/error_reply.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zr {

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kForbidden:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kLimitExceeded:
      return 429;
    case ErrorCode::kSuspectRequest:
      return 422;
    case ErrorCode::kOverloaded:
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kUnknownOutcome:
      return 502;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

std::string ErrorBody(const Error& error, RunState run,
                      std::string_view record) {
  nlohmann::json body = {{"error",
                          {{"code", ToString(error.code)},
                           {"message", error.message},
                           {"run", ToString(run)},
                           {"step", error.step},
                           {"peer", error.peer}}}};
  if (!record.empty()) body["error"]["record"] = record;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SendError(HttpResponse& response, int status, const Error& error,
               RunState run, HttpHeaders headers, std::string_view record) {
  headers["content-type"] = "application/json";
  headers["x-zr-run"] = std::string(ToString(run));
  response.Send(status, std::move(headers), ErrorBody(error, run, record));
}

}  // namespace zr
