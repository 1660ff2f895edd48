#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zr_admission/zr_admission.h"

namespace zr {

/** A piece of an engine's answer. */
struct EngineEvent {
  std::string stream_id;
  int64_t offset = 0;  // tokens before this piece
  int64_t tokens = 1;
  std::string text;

  bool operator==(const EngineEvent&) const = default;
};

/** Parses the data of an event of `POST /v1/completions`. @returns
 * kInvalidArgument if a field has the wrong type or no answer has such an
 * offset */
Result<EngineEvent> ParseEngineEvent(std::string_view json);
/** @returns whether the body of a refusal says that the call has not run */
bool SaysNotRun(std::string_view json);
/** Parses the response of `GET /engine/load`. @returns kInvalidArgument if the
 * boot number is missing; likewise below */
Result<EngineLoad> ParseEngineLoad(std::string_view json);
/** Parses the response of `GET /engine/streams`. */
Result<EngineStreams> ParseEngineStreams(std::string_view json);
/** Parses the response of `GET /engine/cache_events`. */
Result<CacheEvents> ParseCacheEvents(std::string_view json);

}  // namespace zr
