#include "zr_records/record_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace zr {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 3;  // record, outcome and one level for future fields
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    const size_t digits = std::min<size_t>(bytes.size() - i, 3) + 1;
    for (size_t j = 0; j < 4; ++j) {
      out += j < digits ? kBase64Alphabet[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  static const auto kValues = [] {
    std::array<int8_t, 256> values{};
    values.fill(-1);
    for (size_t i = 0; i < kBase64Alphabet.size(); ++i) {
      values[static_cast<uint8_t>(kBase64Alphabet[i])] = static_cast<int8_t>(i);
    }
    return values;
  }();
  if (text.size() % 4 != 0) return std::nullopt;
  size_t padding = 0;
  while (padding < 2 && !text.empty() && text.back() == '=') {
    text.remove_suffix(1);
    ++padding;
  }
  std::string out;
  out.reserve(text.size() / 4 * 3 + 2);
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const int8_t value = kValues[static_cast<uint8_t>(c)];
    if (value < 0) return std::nullopt;
    bits = (bits << 6 | static_cast<uint32_t>(value)) & 0xFFFFFF;
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 0xFF);
    }
  }
  return out;
}

bool ReadString(const Json& object, const char* name, std::string& out,
                size_t max_size) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) return false;
  out = it->get_ref<const std::string&>();
  return out.size() <= max_size;
}

template <typename T>
bool ReadInteger(const Json& object, const char* name, T& out) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer()) return false;
  if (it->is_number_unsigned()) {
    const auto value = it->get<uint64_t>();
    if (!std::in_range<T>(value)) return false;
    out = static_cast<T>(value);
  } else {
    const auto value = it->get<int64_t>();
    if (!std::in_range<T>(value)) return false;
    out = static_cast<T>(value);
  }
  return true;
}

bool ReadState(const Json& object, RecordState& out) {
  std::string name;
  if (!ReadString(object, "state", name, 32)) return false;
  for (const RecordState state :
       {RecordState::kClaimed, RecordState::kDispatched, RecordState::kDone,
        RecordState::kReleased}) {
    if (name == ToString(state)) {
      out = state;
      return true;
    }
  }
  return false;
}

bool ReadOutcome(const Json& object, ServiceOutcome& out) {
  std::string body;
  if (!object.is_object() || !ReadInteger(object, "status", out.status) ||
      !ReadString(object, "content_type", out.content_type, kMaxIdBytes) ||
      !ReadString(object, "digest", out.digest, 128)) {
    return false;
  }
  out.body_stored = object.contains("body");
  if (!out.body_stored) return true;
  if (!ReadString(object, "body", body, RecordCodec::kMaxBytes)) return false;
  auto bytes = DecodeBase64(body);
  if (!bytes || bytes->size() > kMaxInlineBody) return false;
  out.body = std::move(*bytes);
  return true;
}

bool ReadRecord(const Json& object, OperationRecord& record) {
  std::string team;
  std::string vm;
  uint64_t incarnation = 0;
  uint64_t fingerprint = 0;
  if (!ReadState(object, record.state) ||
      !ReadString(object, "team", team, kMaxIdBytes) ||
      !ReadString(object, "service", record.service, kMaxIdBytes) ||
      !ReadString(object, "key", record.key, kMaxIdBytes) ||
      !ReadString(object, "vm", vm, kMaxIdBytes) ||
      !ReadInteger(object, "incarnation", incarnation) ||
      !ReadInteger(object, "nonce", record.attempt.nonce) ||
      !ReadInteger(object, "fingerprint", fingerprint) ||
      !ReadInteger(object, "updated_unix_ms", record.updated_unix_ms)) {
    return false;
  }
  // Ages are differences of such times; the bound prevents their overflow.
  if (record.updated_unix_ms < 0 || record.updated_unix_ms > int64_t{1} << 56) {
    return false;
  }
  record.team = TeamId(std::move(team));
  record.attempt.vm = VmId(std::move(vm));
  record.attempt.incarnation = Incarnation(incarnation);
  record.fingerprint = Fingerprint(fingerprint);
  const auto outcome = object.find("outcome");
  if ((record.state == RecordState::kDone) != (outcome != object.end())) {
    return false;
  }
  return outcome == object.end() ||
         ReadOutcome(*outcome, record.outcome.emplace());
}

}  // namespace

std::string RecordCodec::Encode(const OperationRecord& record) {
  Json object = {{"format", kFormat},
                 {"state", ToString(record.state)},
                 {"team", record.team.value()},
                 {"service", record.service},
                 {"key", record.key},
                 {"vm", record.attempt.vm.value()},
                 {"incarnation", record.attempt.incarnation.value()},
                 {"nonce", record.attempt.nonce},
                 {"fingerprint", record.fingerprint.value()},
                 {"updated_unix_ms", record.updated_unix_ms}};
  if (record.outcome) {
    const ServiceOutcome& outcome = *record.outcome;
    Json stored = {{"status", outcome.status},
                   {"content_type", outcome.content_type},
                   {"digest", outcome.digest}};
    if (outcome.body_stored && outcome.body.size() <= kMaxInlineBody) {
      stored["body"] = EncodeBase64(outcome.body);
    }
    object["outcome"] = std::move(stored);
  }
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OperationRecord> RecordCodec::Decode(std::string_view text) {
  if (text.size() > kMaxBytes) {
    return Fail(ErrorCode::kTooLarge, "records", "",
                "record is larger than 512 KiB");
  }
  bool too_deep = false;
  const Json object = Json::parse(
      text.begin(), text.end(),
      [&too_deep](int depth, Json::parse_event_t, Json&) {
        too_deep = too_deep || depth > kMaxDepth;
        return !too_deep;
      },
      false);
  if (too_deep || !object.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "records", "",
                "record is not a JSON object");
  }
  int format = 0;
  if (!ReadInteger(object, "format", format) || format != kFormat) {
    return Fail(ErrorCode::kInvalidArgument, "records", "",
                "record has an unknown format number");
  }
  OperationRecord record;
  if (!ReadRecord(object, record)) {
    return Fail(ErrorCode::kInvalidArgument, "records", "",
                "record has a missing or invalid field");
  }
  return record;
}

}  // namespace zr
