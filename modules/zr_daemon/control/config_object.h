#pragma once

#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/** Who made a configuration change, and when. */
struct ChangeNote {
  std::string author;
  std::string time;  // ISO 8601, UTC
  friend auto operator<=>(const ChangeNote&, const ChangeNote&) = default;
};

/** The value of the object `config/environment`. */
struct ConfigObject {
  std::string document;
  ChangeNote note;
  friend auto operator<=>(const ConfigObject&, const ConfigObject&) = default;
};

/** The object's JSON text. */
std::string EncodeConfigObject(const ConfigObject& object);
/** @returns kInvalidArgument if the text is not a configuration object */
Result<ConfigObject> DecodeConfigObject(const std::string& text);
/** The given wall-clock time as ISO 8601. */
std::string IsoTime(int64_t unix_ms);

}  // namespace zr
