#pragma once

#include <string_view>

#include "zr_base/invariants.h"

namespace zr {

/** Reports a failed assertion with its source location. */
void AssertionFailed(Invariant invariant, std::string_view condition,
                     std::string_view message, std::string_view file, int line);

}  // namespace zr

/**
 * Checks a condition in every build type. A failure is counted and logged, but
 * does not terminate the process, because stopping an entry VM would cut
 * unrelated streams.
 */
#define ZR_ASSERT(condition, message) \
  ZR_ASSERT_INVARIANT(kInternal, condition, message)

/** Like ZR_ASSERT, counted under one of the named invariants. */
#define ZR_ASSERT_INVARIANT(invariant, condition, message)                   \
  do {                                                                       \
    if (!(condition)) [[unlikely]]                                           \
      ::zr::AssertionFailed(::zr::Invariant::invariant, #condition, message, \
                            __FILE__, __LINE__);                             \
  } while (false)
