#include "zr_gateway/call_endpoints.h"

#include <algorithm>

namespace zr {

void StartCall(TimePoint now, EndpointBoard& board,
               const CallEndpoints& endpoints, const CallLoad& load) {
  const auto shared =
      static_cast<int64_t>(endpoints.holders) * endpoints.reserved.value();
  CallLoad part = load;
  part.held = TokenCount(std::max(int64_t{0}, load.held.value() - shared));
  board.OnStart(now, endpoints.first, part);
  part.writes = false;
  for (size_t i = 0; i < endpoints.helpers.size(); ++i) {
    part.held = i < endpoints.holders ? endpoints.reserved : TokenCount(0);
    board.OnStart(now, endpoints.helpers[i], part);
  }
}

void NotePromptRead(TimePoint now, EndpointBoard& board,
                    const CallEndpoints& endpoints, const CallKey& key) {
  board.OnPromptRead(now, endpoints.first, key);
  for (size_t i = 0; i < endpoints.helpers.size(); ++i) {
    if (i < endpoints.holders) {
      board.OnPromptRead(now, endpoints.helpers[i], key);
    } else {
      board.OnEnd(now, endpoints.helpers[i], key);
    }
  }
}

void EndCall(TimePoint now, EndpointBoard& board,
             const CallEndpoints& endpoints, const CallKey& key) {
  board.OnEnd(now, endpoints.first, key);
  for (const EndpointId& helper : endpoints.helpers) {
    board.OnEnd(now, helper, key);
  }
}

}  // namespace zr
