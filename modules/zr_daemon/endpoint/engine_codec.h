#pragma once

#include <string_view>

#include "zr_admission/zr_admission.h"

namespace zr {

/** Parses the response of `GET /engine/load`. @returns kInvalidArgument if the
 * boot number is missing; likewise below */
Result<EngineLoad> ParseEngineLoad(std::string_view json);
/** Parses the response of `GET /engine/streams`. */
Result<EngineStreams> ParseEngineStreams(std::string_view json);
/** Parses the response of `GET /engine/cache_events`. */
Result<CacheEvents> ParseCacheEvents(std::string_view json);

}  // namespace zr
