#include "zr_wire/cbor_codec.h"

#include <array>
#include <concepts>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>

#include "zr_wire/message_fields.h"

namespace zr {
namespace {

using Json = nlohmann::json;

template <typename T>
inline constexpr bool kIsVector = false;
template <typename T>
inline constexpr bool kIsVector<std::vector<T>> = true;
template <typename T>
inline constexpr bool kIsStringId = false;
template <typename Tag>
inline constexpr bool kIsStringId<StringId<Tag>> = true;
template <typename T>
inline constexpr bool kIsNumericId = false;
template <typename Tag>
inline constexpr bool kIsNumericId<NumericId<Tag>> = true;

/** Appends fields to a CBOR array. */
class Writer {
 public:
  template <typename... T>
  void operator()(T&... fields) {
    (array_.push_back(Encode(fields)), ...);
  }
  /** For a field at the end, which VMs of older releases don't send. */
  template <typename T>
  void Optional(T& field) {
    (*this)(field);
  }
  Json Take() { return std::move(array_); }

  template <typename T>
  static Json Encode(T& field) {
    if constexpr (kIsStringId<T> || kIsNumericId<T> ||
                  std::is_same_v<T, TokenCount>) {
      return field.value();
    } else if constexpr (std::is_same_v<T, Duration>) {
      return field.microseconds();
    } else if constexpr (std::is_enum_v<T>) {
      return static_cast<uint8_t>(field);
    } else if constexpr (kIsVector<T>) {
      Json items = Json::array();
      for (auto& item : field) items.push_back(Encode(item));
      return items;
    } else if constexpr (std::is_same_v<T, ByteString>) {
      return Json::binary({field.bytes.begin(), field.bytes.end()});
    } else if constexpr (std::is_arithmetic_v<T> ||
                         std::is_same_v<T, std::string>) {
      return field;
    } else {
      Writer nested;
      Fields(nested, field);
      return nested.Take();
    }
  }

 private:
  Json array_ = Json::array();
};

/** Reads fields from a CBOR array; fails at the first mismatch. */
class Reader {
 public:
  explicit Reader(const Json& array, size_t first = 0)
      : array_(array), next_(first) {}

  template <typename... T>
  void operator()(T&... fields) {
    (ReadNext(fields), ...);
  }
  /** Leaves the field as it is if the array ends before it. */
  template <typename T>
  void Optional(T& field) {
    if (next_ < array_.size()) ReadNext(field);
  }
  bool ok() const { return ok_; }

 private:
  template <typename T>
  void ReadNext(T& field) {
    if (!ok_ || next_ >= array_.size()) {
      ok_ = false;
      return;
    }
    ok_ = Decode(array_[next_++], field);
  }

  template <std::integral T>
  static bool DecodeInteger(const Json& json, T& out) {
    if (!json.is_number_integer()) return false;
    if (json.is_number_unsigned()) {
      const auto value = json.get<uint64_t>();
      if (!std::in_range<T>(value)) return false;
      out = static_cast<T>(value);
    } else {
      const auto value = json.get<int64_t>();
      if (!std::in_range<T>(value)) return false;
      out = static_cast<T>(value);
    }
    return true;
  }

  static bool DecodeString(const Json& json, std::string& out) {
    if (!json.is_string()) return false;
    out = json.get_ref<const std::string&>();
    return true;
  }

  template <typename T>
  static bool Decode(const Json& json, T& out) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!json.is_boolean()) return false;
      out = json.get<bool>();
      return true;
    } else if constexpr (std::is_same_v<T, std::string>) {
      return DecodeString(json, out);
    } else if constexpr (std::is_same_v<T, ByteString>) {
      if (!json.is_binary()) return false;
      const auto& octets = json.get_binary();
      out.bytes.assign(octets.begin(), octets.end());
      return true;
    } else if constexpr (kIsStringId<T>) {
      std::string value;
      if (!DecodeString(json, value)) return false;
      out = T(std::move(value));
      return true;
    } else if constexpr (kIsNumericId<T>) {
      uint64_t value = 0;
      if (!DecodeInteger(json, value)) return false;
      out = T(value);
      return true;
    } else if constexpr (std::is_same_v<T, TokenCount>) {
      int64_t value = 0;
      if (!DecodeInteger(json, value) || !InRange(value)) return false;
      out = TokenCount(value);
      return true;
    } else if constexpr (std::is_same_v<T, Duration>) {
      int64_t value = 0;
      if (!DecodeInteger(json, value) || !InRange(value)) return false;
      out = Duration::Microseconds(value);
      return true;
    } else if constexpr (std::is_enum_v<T>) {
      uint8_t value = 0;
      if (!DecodeInteger(json, value) || value > kEnumMax<T>) return false;
      out = static_cast<T>(value);
      return true;
    } else if constexpr (std::is_integral_v<T>) {
      return DecodeInteger(json, out);
    } else if constexpr (kIsVector<T>) {
      if (!json.is_array()) return false;
      out.clear();
      for (const Json& item : json) {
        typename T::value_type value;
        if (!Decode(item, value)) return false;
        out.push_back(std::move(value));
      }
      return true;
    } else {
      if (!json.is_array()) return false;
      Reader nested(json);
      Fields(nested, out);
      return nested.ok();
    }
  }

  // Bounds decoded durations and token counts so that sums can't overflow.
  static bool InRange(int64_t value) {
    constexpr int64_t kLimit = int64_t{1} << 56;
    return value > -kLimit && value < kLimit;
  }

  const Json& array_;
  size_t next_;
  bool ok_ = true;
};

/** Stops parsing at the first value nested deeper than kMaxFrameDepth. */
class DepthChecker : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter() { return ++depth_ <= kMaxFrameDepth; }
  bool Leave() {
    --depth_;
    return true;
  }
  int depth_ = 0;
};

template <size_t I = 0>
Result<Message> DecodeAlternative(size_t type, const Json& array) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (type != I) return DecodeAlternative<I + 1>(type, array);
    std::variant_alternative_t<I, Message> message;
    Reader reader(array, 1);
    Fields(reader, message);
    if (!reader.ok()) {
      return Fail(ErrorCode::kInvalidArgument, "wire", "",
                  "message type " + std::to_string(type) +
                      " has a missing or invalid field");
    }
    return Message(std::move(message));
  } else {
    return Fail(ErrorCode::kInvalidArgument, "wire", "",
                "unknown message type " + std::to_string(type));
  }
}

}  // namespace

std::vector<uint8_t> EncodeMessage(const Message& message) {
  Json array = Json::array({message.index()});
  std::visit(
      [&array](auto copy) {
        Writer writer;
        Fields(writer, copy);
        for (Json& field : writer.Take()) array.push_back(std::move(field));
      },
      message);
  return Json::to_cbor(array);
}

Result<Message> DecodeMessage(std::span<const uint8_t> frame) {
  if (frame.size() > kMaxConfigFrameBytes) {
    return Fail(ErrorCode::kTooLarge, "wire", "", "frame is larger than 1 MiB");
  }
  DepthChecker checker;
  if (!Json::sax_parse(frame.begin(), frame.end(), &checker,
                       Json::input_format_t::cbor)) {
    return Fail(ErrorCode::kInvalidArgument, "wire", "",
                "frame is truncated, malformed or nested too deeply");
  }
  const Json array = Json::from_cbor(frame.begin(), frame.end(), true, false);
  if (!array.is_array() || array.empty() || !array[0].is_number_unsigned()) {
    return Fail(ErrorCode::kInvalidArgument, "wire", "",
                "frame is not a message array");
  }
  const auto type = array[0].get<size_t>();
  static const size_t kConfigOffer = Message(ConfigOffer{}).index();
  static const size_t kStoreUpdate = Message(StoreUpdate{}).index();
  const bool may_be_large = type == kConfigOffer || type == kStoreUpdate;
  if (frame.size() > kMaxFrameBytes && !may_be_large) {
    return Fail(ErrorCode::kTooLarge, "wire", "",
                "frame is larger than 64 KiB");
  }
  return DecodeAlternative(type, array);
}

}  // namespace zr
