#include "zr_gateway_host/suspect_record.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace zr {
namespace {

constexpr int kHexBase = 16;
constexpr size_t kMaxHexDigits = 16;
constexpr const char* kSeveralPrefix = "any-of-";

std::optional<Fingerprint> FromHex(const std::string& text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return Fingerprint(value);
}

}  // namespace

std::string ToHex(Fingerprint fingerprint) {
  std::array<char, kMaxHexDigits> digits{};
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    fingerprint.value(), kHexBase);
  return {digits.data(), result.ptr};
}

SuspectRecord SuspectRecord::Create(const Blame& blame, const VmId& writer) {
  if (blame.size() == 1) {
    return {ToHex(*blame.begin()), nlohmann::json(writer.value()).dump()};
  }
  auto suspects = nlohmann::json::array();
  for (const Fingerprint suspect : blame) suspects.push_back(ToHex(suspect));
  std::string value = suspects.dump();
  return {kSeveralPrefix + ToHex(Fingerprint(Hash64(value))), value};
}

std::optional<Blame> ReadSuspectRecord(const std::string& name,
                                       const std::string& value) {
  if (!name.starts_with(kSeveralPrefix)) {
    const auto suspect = FromHex(name);
    if (!suspect) return std::nullopt;
    return Blame{*suspect};
  }
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_array() || json.empty()) return std::nullopt;
  Blame blame;
  for (const auto& item : json) {
    const auto suspect =
        item.is_string() ? FromHex(item.get<std::string>()) : std::nullopt;
    if (!suspect) return std::nullopt;
    blame.insert(*suspect);
  }
  return blame;
}

}  // namespace zr
