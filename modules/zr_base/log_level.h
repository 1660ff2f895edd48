#pragma once

#include <cstdint>

namespace zr {

/** Least severe messages that are logged. */
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/** Form of a log line. */
enum class LogFormat : uint8_t { kText, kJson };

}  // namespace zr
