#include "zr_telemetry/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace zr {
namespace {

double UnixSeconds() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

DecisionLog::DecisionLog(std::string vm, Options options)
    : vm_(std::move(vm)), options_(options) {
  const int flags = fcntl(options_.descriptor, F_GETFL);
  if (flags >= 0) fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void DecisionLog::Write(TimePoint now, std::string_view event,
                        const LogFields& fields) {
  auto it = event_limits_.find(event);
  if (it == event_limits_.end()) {
    it = event_limits_
             .emplace(std::string(event),
                      EventLimit{TokenBucket(options_.lines_per_second,
                                             options_.burst)})
             .first;
  }
  EventLimit& limit = it->second;
  if (!limit.budget.TryTake(now)) {
    ++limit.left_out;
    ++dropped_;
    return;
  }
  LogFields line = {{"time", UnixSeconds()}, {"vm", vm_}, {"event", event}};
  if (fields.is_object()) line.update(fields);
  if (limit.left_out > 0) line["left_out"] = std::exchange(limit.left_out, 0);
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text += '\n';
  // A partial write would corrupt the next line. Pipes write lines shorter than
  // PIPE_BUF atomically.
  if (write(options_.descriptor, text.data(), text.size()) < 0) ++dropped_;
}

}  // namespace zr
