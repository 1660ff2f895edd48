#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/** An attempt of a request; names the engine's stream. */
struct StreamKey {
  RequestId request;
  AttemptNumber attempt;
  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

/**
 * The engine's stream id of an attempt: `<request id>#<attempt>`. Imports of a
 * gathered attempt carry the same id on every member.
 */
std::string MakeStreamId(const RequestId& request, AttemptNumber attempt);

/** The attempt that a stream id names; nullopt if the id was not made by MakeStreamId. */
std::optional<StreamKey> ParseStreamId(std::string_view id);

}  // namespace zr
