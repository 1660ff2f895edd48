#include "zr_records/operation_record.h"

#include <algorithm>

namespace zr {
namespace {

bool IsUnescaped(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-';
}

void AppendEscaped(std::string& out, std::string_view component) {
  static constexpr std::string_view kHex = "0123456789abcdef";
  for (const char c : component) {
    if (IsUnescaped(c)) {
      out += c;
    } else {
      const auto byte = static_cast<uint8_t>(c);
      out += '_';
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    }
  }
}

}  // namespace

std::ostream& operator<<(std::ostream& os, const AttemptId& attempt) {
  return os << attempt.vm << '/' << attempt.incarnation << '/' << attempt.nonce;
}

std::string_view ToString(RecordState state) {
  switch (state) {
    case RecordState::kAbsent:
      return "absent";
    case RecordState::kClaimed:
      return "claimed";
    case RecordState::kDispatched:
      return "dispatched";
    case RecordState::kDone:
      return "done";
    case RecordState::kReleased:
      return "released";
  }
  return "absent";
}

Result<std::string> OperationName(const TeamId& team, std::string_view service,
                                  std::string_view key) {
  std::string name;
  for (const std::string_view component :
       {std::string_view(team.value()), service, key}) {
    const bool printable =
        std::all_of(component.begin(), component.end(),
                    [](char c) { return c >= 0x20 && c <= 0x7e; });
    if (component.empty() || component.size() > kMaxIdBytes || !printable) {
      return Fail(ErrorCode::kInvalidArgument, "records", "",
                  "team, service and idempotency key must be 1 to 256 "
                  "printable ASCII characters");
    }
    if (!name.empty()) name += '.';
    AppendEscaped(name, component);
  }
  return name;
}

}  // namespace zr
