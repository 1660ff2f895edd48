#include "zr_config/key_spec.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace zr {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kDigestHexDigits = 64;
constexpr std::string_view kUnitSuffixes[] = {
    "_us", "_ms",    "_s",     "_sec",      "_seconds",  "_minutes", "_min",
    "_h",  "_hours", "_bytes", "_kb",       "_kib",      "_mb",      "_mib",
    "_gb", "_k",     "_m",     "_requests", "_permille", "_percent"};

bool IsHexDigest(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const size_t end = text.find(separator);
    std::string_view part = text.substr(0, end);
    while (!part.empty() && (part.front() == ' ' || part.front() == '\t')) {
      part.remove_prefix(1);
    }
    while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) {
      part.remove_suffix(1);
    }
    parts.push_back(part);
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

std::string_view StripUnitSuffix(std::string_view key) {
  for (std::string_view suffix : kUnitSuffixes) {
    if (key.size() > suffix.size() && key.ends_with(suffix)) {
      return key.substr(0, key.size() - suffix.size());
    }
  }
  return key;
}

bool ParseInteger(const KeySpec& spec, std::string_view text, KeyValue& value) {
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), value.integer, 10);
  if (error != std::errc() || end != text.data() + text.size()) return false;
  value.canonical = std::to_string(value.integer);
  return value.integer >= spec.min && value.integer <= spec.max;
}

bool ParseWord(std::string_view words, std::string_view text, KeyValue& value) {
  const auto choices = Split(words, '|');
  const auto found = std::find(choices.begin(), choices.end(), text);
  if (text.empty() || found == choices.end()) return false;
  value.integer = found - choices.begin();
  value.canonical = text;
  return true;
}

bool ParseText(const KeySpec& spec, std::string_view text, KeyValue& value) {
  const auto length = static_cast<int64_t>(text.size());
  if (length < spec.min || length > spec.max) return false;
  if (spec.type == KeyType::kName && !text.empty() && !IsName(text)) {
    return false;
  }
  value.text = text;
  value.canonical = text;
  return true;
}

bool ParseAddress(const KeySpec& spec, std::string_view text, KeyValue& value) {
  auto address = Address::Parse(text);
  // `min` applies to the port; with port 0 the system chooses one.
  if (!address || address->port < spec.min) return false;
  value.addresses.push_back(*address);
  value.canonical +=
      (value.canonical.empty() ? "" : ", ") + address->ToString();
  return true;
}

bool ParseList(const KeySpec& spec, std::string_view text, KeyValue& value) {
  if (text.empty()) return !spec.required;
  std::set<std::string_view> seen;
  for (std::string_view part : Split(text, ',')) {
    if (!seen.insert(part).second) return false;
    if (spec.type == KeyType::kAddressList) {
      if (!ParseAddress(spec, part, value)) return false;
      continue;
    }
    if (spec.type == KeyType::kNameList ? !IsName(part) : !IsHexDigest(part)) {
      return false;
    }
    value.list.emplace_back(part);
    value.canonical +=
        (value.canonical.empty() ? "" : ", ") + std::string(part);
  }
  return static_cast<int64_t>(seen.size()) <= spec.max;
}

bool ParseByType(const KeySpec& spec, std::string_view text, KeyValue& value) {
  switch (spec.type) {
    case KeyType::kInteger:
      return ParseInteger(spec, text, value);
    case KeyType::kBoolean:
      return ParseWord("false|true", text, value);
    case KeyType::kChoice:
      return ParseWord(spec.choices, text, value);
    case KeyType::kText:
    case KeyType::kSecret:
    case KeyType::kName:
      return ParseText(spec, text, value);
    case KeyType::kAddress:
      return ParseAddress(spec, text, value);
    case KeyType::kNameList:
    case KeyType::kAddressList:
    case KeyType::kDigestList:
      return ParseList(spec, text, value);
  }
  return false;
}

std::string Range(const KeySpec& spec) {
  return std::to_string(spec.min) + " to " + std::to_string(spec.max);
}

}  // namespace

std::string KeySpec::Allowed() const {
  switch (type) {
    case KeyType::kInteger:
      return "integer from " + Range(*this) +
             (unit.empty() ? "" : " " + std::string(unit));
    case KeyType::kBoolean:
      return "true or false";
    case KeyType::kChoice: {
      std::string words;
      for (std::string_view word : Split(choices, '|')) {
        words += (words.empty() ? "" : " or ") + std::string(word);
      }
      return words;
    }
    case KeyType::kText:
    case KeyType::kSecret:
      return "text of " + Range(*this) + " bytes";
    case KeyType::kName:
      return "name of " + Range(*this) + " letters, digits, '_', '-', '.'";
    case KeyType::kAddress:
      return "IPv4 address and port (" + std::to_string(min) +
             " to 65535), as in 10.0.0.7:8080";
    case KeyType::kAddressList:
      return "up to " + std::to_string(max) +
             " different ip:port, separated by commas";
    case KeyType::kNameList:
      return (required ? "1 to " : "up to ") + std::to_string(max) +
             " different names, separated by commas";
    case KeyType::kDigestList:
      return (required ? "1 to " : "up to ") + std::to_string(max) +
             " different SHA-256 digests (64 lower-case hex digits), separated "
             "by commas";
  }
  return "";
}

Result<KeyValue> ParseKeyValue(const KeySpec& spec, std::string_view text) {
  KeyValue value;
  if (ParseByType(spec, text, value)) return value;
  const std::string shown = spec.type == KeyType::kSecret
                                ? "the value"
                                : "'" + std::string(text) + "'";
  return Fail(ErrorCode::kInvalidArgument, "config", "",
              shown + " is not allowed; allowed: " + spec.Allowed());
}

std::string UnknownKeyMessage(std::string_view key,
                              std::span<const KeySpec* const> known) {
  std::string all;
  for (const KeySpec* spec : known) {
    if (StripUnitSuffix(spec->key) == StripUnitSuffix(key)) {
      return "unknown key; did you mean " + std::string(spec->key) +
             (spec->unit.empty() ? "" : " (" + std::string(spec->unit) + ")") +
             "?";
    }
    all += (all.empty() ? "" : ", ") + std::string(spec->key);
  }
  return "unknown key; allowed: " +
         (all.empty() ? "no keys in this section" : all);
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.';
         });
}

std::string ReferenceHeading() {
  return "| key | unit | allowed | default | meaning |\n| --- | --- | --- | "
         "--- | --- |\n";
}

std::string ReferenceRow(const KeySpec& spec) {
  std::string row = "| `" + std::string(spec.key) + "` | " +
                    (spec.unit.empty() ? "-" : std::string(spec.unit)) + " | " +
                    spec.Allowed() + " | ";
  if (spec.required) {
    row += "required";
  } else {
    row += spec.default_value.empty()
               ? "empty"
               : "`" + std::string(spec.default_value) + "`";
  }
  return row + " | " + std::string(spec.help) + " |\n";
}

}  // namespace zr
