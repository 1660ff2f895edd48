#pragma once

#include <string_view>

#include "zr_admission/zr_admission.h"

namespace zr {

/** Parses `GET /engine/load`; kInvalidArgument if the boot number is missing.
 */
Result<EngineLoad> ParseEngineLoad(std::string_view json);
/** Parses `GET /engine/streams`. */
Result<EngineStreams> ParseEngineStreams(std::string_view json);
/** Parses `GET /engine/cache_events`. */
Result<CacheEvents> ParseCacheEvents(std::string_view json);

}  // namespace zr
