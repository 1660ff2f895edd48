#pragma once

#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/** Author and time of a configuration change. */
struct ChangeNote {
  std::string author;
  std::string time;  // ISO 8601, UTC
  friend auto operator<=>(const ChangeNote&, const ChangeNote&) = default;
};

/** Value of the object `config/environment`. */
struct ConfigObject {
  std::string document;
  ChangeNote note;
  friend auto operator<=>(const ConfigObject&, const ConfigObject&) = default;
};

/** Encodes the object as JSON. */
std::string EncodeConfigObject(const ConfigObject& object);
/** @returns kInvalidArgument if the text is not a configuration object */
Result<ConfigObject> DecodeConfigObject(const std::string& text);
/** Formats a wall-clock time as ISO 8601, in UTC. */
std::string IsoTime(int64_t unix_ms);

}  // namespace zr
