#include "zr_gateway/endpoint_notices.h"

#include <algorithm>

namespace zr {

std::vector<EndpointNotice> EndpointNotices::Merge(
    TimePoint now, const std::vector<EndpointNotice>& seen) {
  std::vector<EndpointNotice> news;
  for (const EndpointNotice& notice : seen) {
    const Duration pause = std::clamp(notice.pause_left, Duration(), kMaxPause);
    if (!notice.leaving && pause <= Duration()) continue;
    auto [it, added] = known_.try_emplace(notice.endpoint);
    Known& known = it->second;
    // An answer of an earlier start may arrive late.
    if (!added && notice.boot < known.boot) continue;
    if (added || notice.boot > known.boot) {
      known = Known{notice.boot, false, TimePoint(), now};
    }
    bool is_new = notice.leaving && !known.leaving;
    known.leaving = known.leaving || notice.leaving;
    if (now + pause > known.paused_until + kPauseStep) {
      known.paused_until = now + pause;
      is_new = is_new || pause > Duration();
    }
    if (is_new) news.push_back(notice);
  }
  return news;
}

void EndpointNotices::ApplyTo(EndpointTracker& tracker) const {
  for (const auto& [endpoint, known] : known_) {
    tracker.SetNotice(endpoint, known.boot, known.leaving, known.paused_until);
  }
}

std::vector<EndpointNotice> EndpointNotices::Snapshot(TimePoint now) const {
  std::vector<EndpointNotice> all;
  for (const auto& [endpoint, known] : known_) {
    all.push_back({endpoint, known.boot, known.leaving,
                   std::max(Duration(), known.paused_until - now)});
  }
  return all;
}

}  // namespace zr
