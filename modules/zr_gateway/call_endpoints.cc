#include "zr_gateway/call_endpoints.h"

#include <algorithm>

namespace zr {

void StartCall(TimePoint now, EndpointTracker& tracker,
               const CallEndpoints& endpoints, const CallLoad& load) {
  const auto shared = static_cast<int64_t>(endpoints.kv_holders) *
                      endpoints.kv_per_holder.value();
  CallLoad part = load;
  part.split = !endpoints.helpers.empty();
  part.kv_tokens =
      TokenCount(std::max(int64_t{0}, load.kv_tokens.value() - shared));
  tracker.OnStart(now, endpoints.primary, part);
  part.takes_slot = false;
  for (size_t i = 0; i < endpoints.helpers.size(); ++i) {
    part.kv_tokens =
        i < endpoints.kv_holders ? endpoints.kv_per_holder : TokenCount(0);
    tracker.OnStart(now, endpoints.helpers[i], part);
  }
}

void FinishPrefill(TimePoint now, EndpointTracker& tracker,
                   const CallEndpoints& endpoints, const CallKey& key,
                   std::optional<Duration> elapsed) {
  std::vector<EndpointId> engines = {endpoints.primary};
  engines.insert(engines.end(), endpoints.helpers.begin(),
                 endpoints.helpers.end());
  tracker.OnFirstEvent(now, engines, key, elapsed);
  tracker.OnPrefillDone(now, endpoints.primary, key);
  for (size_t i = 0; i < endpoints.helpers.size(); ++i) {
    if (i < endpoints.kv_holders) {
      tracker.OnPrefillDone(now, endpoints.helpers[i], key);
    } else {
      tracker.OnEnd(now, endpoints.helpers[i], key);
    }
  }
}

void EndCall(TimePoint now, EndpointTracker& tracker,
             const CallEndpoints& endpoints, const CallKey& key) {
  tracker.OnEnd(now, endpoints.primary, key);
  for (const EndpointId& helper : endpoints.helpers) {
    tracker.OnEnd(now, helper, key);
  }
}

}  // namespace zr
