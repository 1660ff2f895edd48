#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** Identifies the engine stream of an attempt. */
struct StreamKey {
  RequestId request;
  AttemptNumber attempt;
  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

/** Short form of a stream id, `<request id>#<attempt>`, for tests and tools. */
std::string MakeStreamId(const RequestId& request, AttemptNumber attempt);

/**
 * The engine's stream id of a granted attempt: the short form, '.', and the
 * identity of the grant, since two owners may grant the same attempt. Imports
 * of a gathered run carry the id of the first member's grant.
 */
std::string MakeStreamId(const RequestId& request, AttemptNumber attempt,
                         const VmId& owner, Incarnation owner_incarnation,
                         GrantNumber number);
std::string MakeStreamId(const Grant& grant);
std::string MakeStreamId(const HeldGrant& grant);

/** Parses a stream id; returns nullopt if it was not made by MakeStreamId. */
std::optional<StreamKey> ParseStreamId(std::string_view id);

}  // namespace zr
