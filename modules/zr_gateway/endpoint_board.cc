#include "zr_gateway/endpoint_board.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Strikes beyond this no longer lengthen the avoidance.
constexpr int kMaxStrikes = 6;

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
  if (listed.cold_left > Duration()) {
    OnCold(now, listed.id, listed.cold_left, cold_rate);
  }
}

void EndpointBoard::Remove(const EndpointId& id) { endpoints_.erase(id); }

void EndpointBoard::RetainOnly(const std::set<EndpointId>& present) {
  std::erase_if(endpoints_, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void EndpointBoard::OnStart(TimePoint now, const EndpointId& id,
                            TokenCount reading, TokenCount held) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  ++state->in_flight;
  state->reading += reading;
  state->held += held;
  if (now < state->cold_until) state->cold_starts.TryTake(now);
}

void EndpointBoard::OnPromptRead(const EndpointId& id, TokenCount reading) {
  if (EndpointState* state = FindMutable(id)) {
    state->reading = std::max(TokenCount(0), state->reading - reading);
  }
}

void EndpointBoard::OnEnd(const EndpointId& id, TokenCount reading,
                          TokenCount held) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  state->in_flight = std::max(0, state->in_flight - 1);
  state->reading = std::max(TokenCount(0), state->reading - reading);
  state->held = std::max(TokenCount(0), state->held - held);
}

void EndpointBoard::OnSign(TimePoint now, const EndpointId& id, CallSign sign) {
  EndpointState* state = FindMutable(id);
  if (state == nullptr) return;
  switch (sign) {
    case CallSign::kAnswered:
      state->strikes = 0;
      state->avoid_until = TimePoint();
      return;
    case CallSign::kRejected:
      state->avoid_until =
          std::max(state->avoid_until, now + options_.full_avoidance);
      return;
    case CallSign::kErrorAnswer:
    case CallSign::kBroken:
    case CallSign::kSilent:
    case CallSign::kMisdirected:
      break;
  }
  // A single error answer is usual for some services; several in a row are not.
  state->strikes = std::min(state->strikes + 1, kMaxStrikes);
  if (sign == CallSign::kErrorAnswer && state->strikes < 2) return;
  const int64_t factor = int64_t{1} << (state->strikes - 1);
  state->avoid_until = now + std::min(options_.first_avoidance * factor,
                                      options_.longest_avoidance);
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
    state->cold_starts = TokenBucket(cold_rate * options_.cold_share, 1);
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

bool EndpointBoard::Takes(const EndpointState& state) const {
  return !state.listed.draining && !evacuated_.contains(state.listed.domain);
}

std::vector<const EndpointState*> EndpointBoard::Available(
    TimePoint now, const ServiceName& service,
    const std::set<EndpointId>& excluded) const {
  std::vector<const EndpointState*> sound;
  std::vector<const EndpointState*> avoided;
  for (const auto& [id, state] : endpoints_) {
    if (state.listed.service != service || !Takes(state)) continue;
    if (excluded.contains(id)) continue;
    if (now < state.cold_until && state.cold_starts.LevelAt(now) < 1) continue;
    (now < state.avoid_until ? avoided : sound).push_back(&state);
  }
  // Sorted by name so that equal loads are resolved the same way in every run.
  auto& chosen = sound.empty() ? avoided : sound;
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->listed.id < b->listed.id;
  });
  return chosen;
}

size_t EndpointBoard::CountActive(const ServiceName& service) const {
  return static_cast<size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return entry.second.listed.service == service && Takes(entry.second);
      }));
}

}  // namespace zr
