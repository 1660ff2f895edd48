#pragma once

#include <string>
#include <string_view>

#include "zr_placement/zr_placement.h"

namespace zr {

/** Encodes the value of the object `leases/placement` as JSON. */
std::string EncodeLease(const LeaseValue& value);

/** @returns kInvalidArgument unless the text is a lease with a positive
 * duration up to an hour */
Result<LeaseValue> DecodeLease(std::string_view text);

}  // namespace zr
