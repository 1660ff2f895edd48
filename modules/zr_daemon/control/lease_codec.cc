#include "zr_daemon/control/lease_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_platform/json_text.h"

namespace zr {
namespace {

constexpr int64_t kMaxDurationMs = 3'600'000;

}  // namespace

std::string EncodeLease(const LeaseValue& value) {
  const nlohmann::json json = {{"holder", value.holder.value()},
                               {"incarnation", value.incarnation.value()},
                               {"write", value.write_number},
                               {"fencing", value.fencing.value()},
                               {"duration_ms", value.duration.milliseconds()}};
  return json.dump();
}

Result<LeaseValue> DecodeLease(std::string_view text) {
  const auto json = ReadJson(text);
  const auto number = [&json](const char* key) {
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned()
               ? std::optional(it->get<uint64_t>())
               : std::nullopt;
  };
  const auto invalid = [] {
    return Fail(ErrorCode::kInvalidArgument, "placement", "",
                "the lease object cannot be decoded");
  };
  if (!json.is_object() || !json.contains("holder") ||
      !json["holder"].is_string()) {
    return invalid();
  }
  const auto incarnation = number("incarnation");
  const auto write = number("write");
  const auto fencing = number("fencing");
  const auto duration = number("duration_ms");
  if (!incarnation || !write || !fencing || !duration || *duration == 0 ||
      *duration > kMaxDurationMs) {
    return invalid();
  }
  LeaseValue value;
  value.holder = VmId(json["holder"].get<std::string>());
  value.incarnation = Incarnation(*incarnation);
  value.write_number = *write;
  value.fencing = FencingNumber(*fencing);
  value.duration = Duration::Milliseconds(static_cast<int64_t>(*duration));
  return value;
}

}  // namespace zr
