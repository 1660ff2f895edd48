#include "zr_gateway/endpoint_limits.h"

#include <algorithm>

namespace zr {

EndpointLimits::News EndpointLimits::Merge(
    TimePoint now, const std::vector<LimitObservation>& observations) {
  News news;
  for (const LimitObservation& observation : observations) {
    std::optional<uint64_t> limit;
    if (observation.limited) limit = observation.requests_per_1000_s;
    const TimePoint observed = now - std::max(observation.age, Duration());
    const auto it = limits_.find(observation.endpoint);
    if (it == limits_.end()) {
      // Endpoints without a limit need no entry.
      if (!limit) continue;
      limits_[observation.endpoint] = {observation.boot, limit, observed, now};
      news.reported.push_back(observation);
      continue;
    }
    Known& known = it->second;
    const bool same =
        known.boot == observation.boot && known.per_1000_s == limit;
    if (same) {
      known.observed = std::max(known.observed, observed);
    } else if (observed > known.observed) {
      known = {observation.boot, limit, observed, now};
      news.reported.push_back(observation);
    } else {
      news.contradicting.push_back(
          ToObservation(now, observation.endpoint, known));
    }
  }
  return news;
}

LimitObservation EndpointLimits::ToObservation(TimePoint now,
                                               const EndpointId& endpoint,
                                               const Known& known) {
  return {endpoint, known.boot, known.per_1000_s.has_value(),
          known.per_1000_s.value_or(0), now - known.observed};
}

std::optional<double> EndpointLimits::LimitOf(const EndpointId& endpoint,
                                              BootNumber boot) const {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end() || it->second.boot != boot ||
      !it->second.per_1000_s) {
    return std::nullopt;
  }
  return static_cast<double>(*it->second.per_1000_s) /
         LimitObservation::kRatePeriodS;
}

void EndpointLimits::ApplyTo(TimePoint now, EndpointTracker& tracker) const {
  for (const auto& [endpoint, known] : limits_) {
    tracker.SetLimit(now, endpoint, known.boot, LimitOf(endpoint, known.boot));
  }
}

std::vector<LimitObservation> EndpointLimits::Snapshot(TimePoint now) const {
  std::vector<LimitObservation> all;
  for (const auto& [endpoint, known] : limits_) {
    all.push_back(ToObservation(now, endpoint, known));
  }
  return all;
}

size_t EndpointLimits::CountLimited() const {
  return static_cast<size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& item) { return item.second.per_1000_s.has_value(); }));
}

}  // namespace zr
