#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "zr_gateway/endpoint_tracker.h"

namespace zr {

/** The endpoints that one call uses, and how they share its memory. */
struct CallEndpoints {
  EndpointId primary;               // runs the request
  std::vector<EndpointId> helpers;  // each prefills a segment of the prompt
  size_t kv_holders = 0;  // number of leading helpers that keep their segment
  TokenCount kv_per_holder;  // memory at each of them
  friend auto operator<=>(const CallEndpoints&, const CallEndpoints&) = default;
};

/**
 * Adds a call to the load of its endpoints.
 *
 * @param load  prefill time of one segment, but the memory of the whole call
 */
void StartCall(TimePoint now, EndpointTracker& tracker,
               const CallEndpoints& endpoints, const CallLoad& load);

/** Prefill is complete: removes the call from helpers that keep no memory.
 * @param elapsed  from the call to its first event, if known */
void FinishPrefill(TimePoint now, EndpointTracker& tracker,
                   const CallEndpoints& endpoints, const CallKey& key,
                   std::optional<Duration> elapsed = std::nullopt);

/** Removes a call from all its endpoints. */
void EndCall(TimePoint now, EndpointTracker& tracker,
             const CallEndpoints& endpoints, const CallKey& key);

}  // namespace zr
