#pragma once

#include <string>
#include <string_view>

#include "zr_base/zr_base.h"
#include "zr_config/policies.h"

namespace zr {

/** "domain", "vm" or "endpoint". */
std::string_view ToString(DrainKind kind);

/**
 * Adds a drain section at the end of a document and keeps all other bytes. A
 * drain that is present already leaves the document unchanged.
 *
 * @return kInvalidArgument if the document or the name is not valid
 */
Result<std::string> AddDrain(std::string_view text, const Drain& drain);

/**
 * Removes the line of a drain section and keeps all other bytes. A drain that
 * is not present leaves the document unchanged.
 *
 * @return kInvalidArgument if the document is not valid
 */
Result<std::string> RemoveDrain(std::string_view text, const Drain& drain);

}  // namespace zr
