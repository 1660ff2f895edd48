#include "zr_gateway/lateness.h"

#include <algorithm>

namespace zr {
namespace {

const CallLoad* FindLoad(const EndpointState& state, const CallKey& key) {
  auto it = std::find_if(state.calls.begin(), state.calls.end(),
                         [&key](const auto& load) { return load.key == key; });
  return it == state.calls.end() ? nullptr : &*it;
}

}  // namespace

const char* ToString(Lateness lateness) {
  switch (lateness) {
    case Lateness::kInTime:
      return "";
    case Lateness::kWait:
      return "wait";
    case Lateness::kPrefill:
      return "prefill";
    case Lateness::kPause:
      return "pause";
    case Lateness::kRetry:
      return "retry";
  }
  return "";
}

Lateness ClassifyLateness(const RequestTimes& times, Duration latency_objective,
                          std::optional<Duration> gap_objective) {
  if (times.first_event - times.arrived > latency_objective) {
    if (times.failed_calls > 0) return Lateness::kRetry;
    if (!times.call_started) return Lateness::kWait;
    const Duration wait = *times.call_started - times.arrived;
    const Duration call = times.first_event - *times.call_started;
    return wait > call ? Lateness::kWait : Lateness::kPrefill;
  }
  if (gap_objective && times.longest_pause > *gap_objective) {
    return times.pause_had_failed_call ? Lateness::kRetry : Lateness::kPause;
  }
  return Lateness::kInTime;
}

void PauseMeter::OnEvent(TimePoint now, const EndpointId& endpoint) {
  Measure(now);
  last_event_ = now;
  last_endpoint_ = endpoint;
  call_failed_ = false;
}

void PauseMeter::OnCallerRead(TimePoint now) {
  if (last_event_) last_event_ = now;
}

void PauseMeter::Measure(TimePoint now) {
  if (!last_event_ || now - *last_event_ <= longest_) return;
  longest_ = now - *last_event_;
  ended_ = now;
  endpoint_ = last_endpoint_;
  had_failed_call_ = call_failed_;
}

void PauseHistory::OnPrefillEnded(TimePoint now, const EndpointTracker& tracker,
                                  const CallEndpoints& endpoints,
                                  const CallKey& key) {
  while (!prompts_.empty() && (now - prompts_.front().ended > kHistory ||
                               prompts_.size() >= kMaxPrompts)) {
    prompts_.pop_front();
  }
  const auto add = [&](const EndpointId& endpoint) {
    const EndpointState* state = tracker.Find(endpoint);
    const CallLoad* load = state != nullptr ? FindLoad(*state, key) : nullptr;
    if (load == nullptr || load->prefill_ms <= 0) return;
    prompts_.push_back({endpoint, key, load->placed, now, load->prefill_ms});
  };
  add(endpoints.primary);
  for (const EndpointId& helper : endpoints.helpers) add(helper);
}

std::optional<LongPause> PauseHistory::OnCallEnded(
    TimePoint now, const EndpointTracker& tracker, const EndpointId& endpoint,
    const CallKey& key, const CallProgress& progress) const {
  const EndpointState* state = tracker.Find(endpoint);
  if (state == nullptr) return std::nullopt;
  const CallLoad* load = FindLoad(*state, key);
  if (load == nullptr || progress.longest_pause <= load->max_gap) {
    return std::nullopt;
  }
  LongPause pause{endpoint, progress.longest_pause, 0, state->OccupiedSlots()};
  const TimePoint end = now - progress.pause_ended_ago;
  const TimePoint begin = end - progress.longest_pause;
  for (const CallLoad& other : state->calls) {
    if (other.key != key && other.placed < end) {
      pause.prefill_ms += other.prefill_ms;
    }
  }
  for (auto it = prompts_.rbegin(); it != prompts_.rend(); ++it) {
    if (it->ended <= begin) break;
    if (it->endpoint == endpoint && it->key != key && it->placed < end) {
      pause.prefill_ms += it->prefill_ms;
    }
  }
  return pause;
}

}  // namespace zr
