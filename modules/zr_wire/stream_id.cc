#include "zr_wire/stream_id.h"

#include <charconv>

namespace zr {

std::string MakeStreamId(const RequestId& request, AttemptNumber attempt) {
  return request.value() + "#" + std::to_string(attempt.value());
}

std::optional<StreamKey> ParseStreamId(std::string_view id) {
  // A request id may itself contain '#'; the attempt follows the last one.
  const size_t hash = id.rfind('#');
  if (hash == std::string_view::npos || hash == 0) return std::nullopt;
  const std::string_view digits = id.substr(hash + 1);
  uint64_t attempt = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), attempt, 10);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return StreamKey{RequestId(std::string(id.substr(0, hash))), AttemptNumber(attempt)};
}

}  // namespace zr
