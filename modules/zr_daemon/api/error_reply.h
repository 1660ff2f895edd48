#pragma once

#include <string>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"

namespace zr {

/** HTTP status that fits an error. */
int HttpStatusOf(ErrorCode code);

/** `{"error":{"code","message","run","step","peer"}}`. */
std::string ErrorBody(const Error& error, RunState run);

/** Sends an error response with its x-zr-run header. */
void SendError(HttpResponse& response, int status, const Error& error, RunState run,
               HttpHeaders headers = {});

}  // namespace zr
