#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "zr_gateway/endpoint_board.h"

namespace zr {

/** The endpoints that one call occupies, and how its memory is shared. */
struct CallEndpoints {
  EndpointId first;                 // runs the request
  std::vector<EndpointId> helpers;  // read a part of its prompt each
  size_t holders = 0;   // of the helpers, those that keep their part in memory
  TokenCount reserved;  // memory of each holder
  friend auto operator<=>(const CallEndpoints&, const CallEndpoints&) = default;
};

/**
 * Charges a call to its endpoints.
 *
 * @param load  of the whole call: the reading time of one part, all its memory
 */
void StartCall(TimePoint now, EndpointBoard& board,
               const CallEndpoints& endpoints, const CallLoad& load);

/** The prompt has been read: only the first and the holders stay occupied. */
void NotePromptRead(TimePoint now, EndpointBoard& board,
                    const CallEndpoints& endpoints, const CallKey& key);

/** The call has ended at all of its endpoints. */
void EndCall(TimePoint now, EndpointBoard& board,
             const CallEndpoints& endpoints, const CallKey& key);

}  // namespace zr
