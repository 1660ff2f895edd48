#pragma once

#include <string>
#include <string_view>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"

namespace zr {

/** HTTP status for an error code. */
int HttpStatusOf(ErrorCode code);

/**
 * Formats an error as `{"error":{"code","message","run","step","peer"}}`.
 * @param record  state of an operation's record, added as "record" unless it is
 * empty
 */
std::string ErrorBody(const Error& error, RunState run,
                      std::string_view record = {});

/** Sends an error response with its x-zr-run header. */
void SendError(HttpResponse& response, int status, const Error& error,
               RunState run, HttpHeaders headers = {},
               std::string_view record = {});

}  // namespace zr
