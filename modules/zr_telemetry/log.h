#pragma once

#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** Parses "debug", "info", "warning" or "error". */
Result<LogLevel> ParseLogLevel(std::string_view text);

/**
 * Sets up logging to standard error and routes invariant violations to it.
 * Call once at start, before other threads run.
 *
 * @param vm  name of the VM, written in every line
 */
void InitLog(LogLevel level, LogFormat format, std::string vm);

/**
 * Writes one line.
 *
 * @param component  name of the component, for example "admission"
 * @param message    one short sentence
 */
void Log(LogLevel level, std::string_view component, std::string_view message);

/** Writes an error, including its step and peer. */
void Log(LogLevel level, std::string_view component, const Error& error);

}  // namespace zr
