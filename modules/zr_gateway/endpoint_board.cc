#include "zr_gateway/endpoint_board.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Further consecutive failures do not extend the backoff.
constexpr int kMaxCountedFailures = 6;

}  // namespace

void EndpointBoard::Upsert(TimePoint now, const ListedEndpoint& listed,
                           double cold_rate) {
  auto [it, added] = endpoints_.try_emplace(listed.id);
  EndpointState& state = it->second;
  const bool restarted = !added && state.listed.boot_ms != listed.boot_ms;
  if (restarted) {
    state.strikes = 0;
    state.avoid_until = TimePoint();
    state.report.reset();
  }
  state.listed = listed;
  EndpointId& newest = newest_at_address_[listed.address];
  const EndpointState* other = Find(newest);
  if (other == nullptr || other->listed.address != listed.address ||
      other->listed.boot_ms <= listed.boot_ms) {
    newest = listed.id;
  }
  if (listed.cold_left > Duration()) {
    OnCold(now, listed.id, listed.cold_left, cold_rate);
  }
}

void EndpointBoard::Remove(const EndpointId& id) {
  auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  auto newest = newest_at_address_.find(it->second.listed.address);
  if (newest != newest_at_address_.end() && newest->second == id) {
    newest_at_address_.erase(newest);
  }
  endpoints_.erase(it);
}

bool EndpointBoard::Superseded(const ListedEndpoint& listed) const {
  auto newest = newest_at_address_.find(listed.address);
  return newest != newest_at_address_.end() && newest->second != listed.id;
}

void EndpointBoard::OnStart(TimePoint now, const EndpointId& id,
                            const CallLoad& load) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  state->calls.push_back(load);
  if (load.reading_ms > 0) {
    state->busy_until =
        std::max(state->busy_until, now) +
        Duration::Microseconds(static_cast<int64_t>(1000 * load.reading_ms));
  }
  if (load.writes && now < state->cold_until) state->cold_limiter.TryTake(now);
}

void EndpointBoard::OnPromptRead(TimePoint now, const EndpointId& id,
                                 const CallKey& key) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  for (CallLoad& call : state->calls) {
    if (call.key == key) call.reading_ms = 0;
  }
  CapPrefillEnd(now, *state);
}

void EndpointBoard::OnEnd(TimePoint now, const EndpointId& id,
                          const CallKey& key) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  std::erase_if(state->calls,
                [&key](const CallLoad& call) { return call.key == key; });
  CapPrefillEnd(now, *state);
}

void EndpointBoard::DropVm(TimePoint now, const VmId& vm) {
  for (auto& [id, state] : endpoints_) {
    std::erase_if(state.calls,
                  [&vm](const CallLoad& call) { return call.key.vm == vm; });
    CapPrefillEnd(now, state);
  }
}

void EndpointBoard::Expire(TimePoint now) {
  for (auto& [id, state] : endpoints_) {
    std::erase_if(state.calls,
                  [now](const CallLoad& call) { return now > call.expires; });
    CapPrefillEnd(now, state);
  }
}

void EndpointBoard::CapPrefillEnd(TimePoint now, EndpointState& state) {
  // Prefill can't take longer than the sum of all pending segments.
  double left_ms = 0;
  for (const CallLoad& call : state.calls) left_ms += call.reading_ms;
  state.busy_until = std::min(
      state.busy_until,
      now + Duration::Microseconds(static_cast<int64_t>(1000 * left_ms)));
}

int EndpointState::Writers() const {
  return static_cast<int>(
      std::count_if(calls.begin(), calls.end(),
                    [](const CallLoad& call) { return call.writes; }));
}

double EndpointState::ValueDisturbedBy(double pause_ms) const {
  double value = 0;
  for (const CallLoad& call : calls) {
    const bool stalled =
        call.writes &&
        static_cast<double>(call.gap.microseconds()) < 1000 * pause_ms;
    if (stalled) value += call.value;
  }
  return value;
}

double EndpointState::BacklogMs(TimePoint now) const {
  // Remaining time assumed for prefill that takes longer than forecast.
  constexpr double kOverdueMs = 10;
  const bool prefilling =
      std::any_of(calls.begin(), calls.end(),
                  [](const CallLoad& call) { return call.reading_ms > 0; });
  if (!prefilling) return 0;
  return std::max(kOverdueMs, (busy_until - now).seconds() * 1000);
}

TokenCount EndpointState::Held() const {
  TokenCount held;
  for (const CallLoad& call : calls) held += call.held;
  return held;
}

void EndpointBoard::OnSign(TimePoint now, const EndpointId& id, CallSign sign) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  switch (sign) {
    case CallSign::kAnswered:
      state->strikes = 0;
      state->avoid_until = TimePoint();
      return;
    case CallSign::kAborted:
      return;
    case CallSign::kRejected:
      state->avoid_until =
          std::max(state->avoid_until, now + options_.rejected_backoff);
      return;
    case CallSign::kErrorAnswer:
    case CallSign::kBroken:
    case CallSign::kSilent:
    case CallSign::kMisdirected:
      break;
  }
  // Some services return single error answers in normal operation, but not
  // several in a row.
  state->strikes = std::min(state->strikes + 1, kMaxCountedFailures);
  if (sign == CallSign::kErrorAnswer && state->strikes < 2) return;
  const int64_t factor = int64_t{1} << (state->strikes - 1);
  state->avoid_until =
      now + std::min(options_.initial_backoff * factor, options_.max_backoff);
}

void EndpointBoard::OnLoad(TimePoint now, const EndpointId& id,
                           const ReportedLoad& load) {
  if (EndpointState* state = FindMutable(id)) {
    state->report = load;
    state->reported_at = now;
  }
}

void EndpointBoard::OnCold(TimePoint now, const EndpointId& id, Duration left,
                           double cold_rate) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr || cold_rate <= 0) return;
  if (now >= state->cold_until) {
    state->cold_limiter = TokenBucket(cold_rate * options_.cold_share, 1);
  }
  state->cold_until = std::max(state->cold_until, now + left);
}

const EndpointState* EndpointBoard::Find(const EndpointId& id) const {
  auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

EndpointState* EndpointBoard::FindMutable(const EndpointId& id) {
  auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointBoard::AcceptsCalls(const EndpointState& state) const {
  return !state.listed.draining && !evacuated_.contains(state.listed.domain) &&
         !Superseded(state.listed);
}

std::vector<const EndpointState*> EndpointBoard::Available(
    TimePoint now, const ServiceName& service,
    const std::set<EndpointId>& excluded) const {
  std::vector<const EndpointState*> healthy;
  std::vector<const EndpointState*> backing_off;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service || !AcceptsCalls(state)) continue;
    if (excluded.contains(id)) continue;
    if (now < state.cold_until && state.cold_limiter.LevelAt(now) < 1) continue;
    (now < state.avoid_until ? backing_off : healthy).push_back(&state);
  }
  // Sorted by id so that ties between equal loads are resolved the same way in
  // every run.
  auto& chosen = healthy.empty() ? backing_off : healthy;
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->listed.id < b->listed.id;
  });
  return chosen;
}

double EndpointBoard::MeanBacklogMs(TimePoint now,
                                    const ServiceName& service) const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service || !AcceptsCalls(state)) continue;
    sum += state.BacklogMs(now);
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

size_t EndpointBoard::CountActive(const ServiceName& service) const {
  return static_cast<size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return entry.second.listed.service == service &&
               AcceptsCalls(entry.second);
      }));
}

}  // namespace zr
