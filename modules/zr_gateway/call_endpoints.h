#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "zr_gateway/endpoint_board.h"

namespace zr {

/** The endpoints that one call uses, and how they share its memory. */
struct CallEndpoints {
  EndpointId first;                 // runs the request
  std::vector<EndpointId> helpers;  // each prefills a segment of the prompt
  size_t holders = 0;   // helpers (the first ones) that keep their segment
  TokenCount reserved;  // memory at each of them
  friend auto operator<=>(const CallEndpoints&, const CallEndpoints&) = default;
};

/**
 * Adds a call to the load of its endpoints.
 *
 * @param load  prefill time of one segment, but the memory of the whole call
 */
void StartCall(TimePoint now, EndpointBoard& board,
               const CallEndpoints& endpoints, const CallLoad& load);

/** Prefill is complete: removes the call from helpers that keep no memory. */
void NotePromptRead(TimePoint now, EndpointBoard& board,
                    const CallEndpoints& endpoints, const CallKey& key);

/** Removes a call from all its endpoints. */
void EndCall(TimePoint now, EndpointBoard& board,
             const CallEndpoints& endpoints, const CallKey& key);

}  // namespace zr
