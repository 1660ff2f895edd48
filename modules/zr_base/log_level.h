#pragma once

#include <cstdint>

namespace zr {

/** Minimum severity of logged messages. */
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/** Format of a log line. */
enum class LogFormat : uint8_t { kText, kJson };

}  // namespace zr
