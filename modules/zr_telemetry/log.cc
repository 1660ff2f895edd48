#include "zr_telemetry/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace zr {
namespace {

namespace logging = boost::log;

struct LogState {
  std::atomic<LogLevel> level{LogLevel::kInfo};
  LogFormat format = LogFormat::kText;
  std::string vm;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string FormatLine(LogLevel level, std::string_view component,
                       std::string_view message) {
  const auto now = boost::posix_time::microsec_clock::universal_time();
  const std::string time = boost::posix_time::to_iso_extended_string(now) + "Z";
  if (State().format == LogFormat::kJson) {
    const nlohmann::json line = {{"time", time},
                                 {"level", LevelName(level)},
                                 {"vm", State().vm},
                                 {"part", component},
                                 {"message", message}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string line = time + " " + std::string(LevelName(level)) + " ";
  if (!State().vm.empty()) line += State().vm + " ";
  return line + std::string(component) + ": " + std::string(message);
}

void LogViolation(Invariant invariant, std::string_view message) {
  Log(LogLevel::kError, "invariant",
      std::string(ToString(invariant)) + " violated: " + std::string(message));
}

}  // namespace

Result<LogLevel> ParseLogLevel(std::string_view text) {
  for (LogLevel level : {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning,
                         LogLevel::kError}) {
    if (text == LevelName(level)) return level;
  }
  return Fail(ErrorCode::kInvalidArgument, "log", "",
              "level must be debug, info, warning or error");
}

void InitLog(LogLevel level, LogFormat format, std::string vm) {
  State().level = level;
  State().format = format;
  State().vm = std::move(vm);
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink =
      boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
  Invariants::SetHandler(&LogViolation);
}

void Log(LogLevel level, std::string_view component, std::string_view message) {
  if (level < State().level.load(std::memory_order_relaxed)) return;
  static logging::sources::severity_logger_mt<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << FormatLine(level, component, message);
}

void Log(LogLevel level, std::string_view component, const Error& error) {
  Log(level, component, ToString(error));
}

}  // namespace zr
