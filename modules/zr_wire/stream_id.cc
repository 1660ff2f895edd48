#include "zr_wire/stream_id.h"

#include <charconv>

namespace zr {
namespace {

void AppendHex(std::string& out, uint64_t value) {
  char text[17];
  const auto [end, error] = std::to_chars(text, text + sizeof(text), value, 16);
  out.append(text, end);
}

}  // namespace

std::string MakeStreamId(const RequestId& request, AttemptNumber attempt) {
  return request.value() + "#" + std::to_string(attempt.value());
}

std::string MakeStreamId(const RequestId& request, AttemptNumber attempt,
                         const VmId& owner, Incarnation owner_incarnation,
                         GrantNumber number) {
  std::string id = MakeStreamId(request, attempt);
  id += '.';
  AppendHex(id, Hash64(owner.value()));
  id += '.';
  AppendHex(id, owner_incarnation.value());
  id += '.';
  AppendHex(id, number.value());
  return id;
}

std::string MakeStreamId(const Grant& grant) {
  return MakeStreamId(grant.request, grant.attempt, grant.owner,
                      grant.owner_incarnation, grant.number);
}

std::string MakeStreamId(const HeldGrant& grant) {
  return MakeStreamId(grant.request, grant.attempt, grant.owner,
                      grant.owner_incarnation, grant.number);
}

std::optional<StreamKey> ParseStreamId(std::string_view id) {
  // A request id may itself contain '#'; the attempt follows the last one.
  const size_t hash = id.rfind('#');
  if (hash == std::string_view::npos || hash == 0) return std::nullopt;
  std::string_view digits = id.substr(hash + 1);
  digits = digits.substr(0, digits.find('.'));
  uint64_t attempt = 0;
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), attempt, 10);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return StreamKey{RequestId(std::string(id.substr(0, hash))),
                   AttemptNumber(attempt)};
}

}  // namespace zr
