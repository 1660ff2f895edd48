#include "zr_daemon/endpoint/engine_codec.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "zr_platform/json_text.h"

namespace zr {
namespace {

using Json = nlohmann::json;

// No model's answer is longer; sums of such numbers don't overflow.
constexpr int64_t kMaxAnswerTokens = int64_t{1} << 40;

int64_t IntegerOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_number_integer() ? it->get<int64_t>() : 0;
}

uint64_t UnsignedOf(const Json& json, const char* key) {
  auto it = json.find(key);
  if (it == json.end()) return 0;
  if (it->is_number_unsigned()) return it->get<uint64_t>();
  // Hashes may be sent as strings, because many JSON parsers lose precision
  // above 2^53.
  if (it->is_string()) {
    return std::strtoull(it->get_ref<const std::string&>().c_str(), nullptr,
                         10);
  }
  return 0;
}

std::string StringOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

bool BoolOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_boolean() && it->get<bool>();
}

Result<Json> ParseWithBoot(std::string_view text, const char* step) {
  Json json = ReadJson(text);
  if (!json.is_object() || !json.contains("boot")) {
    return Fail(ErrorCode::kInvalidArgument, step, "",
                "report has no boot number");
  }
  return json;
}

/** Text of the first choice. @returns std::nullopt if it is not a text */
std::optional<std::string> FirstText(const Json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end()) return "";
  if (!choices->is_array()) return std::nullopt;
  if (choices->empty()) return "";
  const Json& first = choices->front();
  if (!first.is_object()) return std::nullopt;
  const auto text = first.find("text");
  if (text == first.end()) return "";
  if (!text->is_string()) return std::nullopt;
  return text->get<std::string>();
}

}  // namespace

Result<EngineEvent> ParseEngineEvent(std::string_view text) {
  const auto reject = [](const char* reason) {
    return Fail(ErrorCode::kInvalidArgument, "answer", "", reason);
  };
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return reject("an event is not an object");
  const auto id = json.find("id");
  const auto offset = json.find("offset");
  if (id == json.end() || !id->is_string() || offset == json.end() ||
      !offset->is_number_integer()) {
    return reject("an event has no id or no offset");
  }
  EngineEvent event;
  event.stream_id = id->get<std::string>();
  event.offset = offset->get<int64_t>();
  if (const auto tokens = json.find("tokens");
      tokens != json.end() && tokens->is_number_integer()) {
    event.tokens = tokens->get<int64_t>();
  }
  if (event.offset < 0 || event.offset > kMaxAnswerTokens || event.tokens < 0 ||
      event.tokens > kMaxAnswerTokens) {
    return reject("an event is beyond the end of any answer");
  }
  auto piece = FirstText(json);
  if (!piece) return reject("an event's text is not a string");
  event.text = std::move(*piece);
  return event;
}

bool SaysNotRun(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return false;
  const auto error = json.find("error");
  return error != json.end() && error->is_object() &&
         StringOf(*error, "run") == "not-run";
}

Result<EngineLoad> ParseEngineLoad(std::string_view text) {
  auto json = ParseWithBoot(text, "load report");
  if (!json) return tl::unexpected(json.error());
  EngineLoad load;
  load.boot = BootNumber(UnsignedOf(*json, "boot"));
  load.sequence = UnsignedOf(*json, "seq");
  load.engine_time = Duration::Milliseconds(IntegerOf(*json, "time_ms"));
  load.kv_capacity = TokenCount(IntegerOf(*json, "kv_capacity"));
  load.kv_used = TokenCount(IntegerOf(*json, "kv_used"));
  load.running = IntegerOf(*json, "running");
  load.waiting = IntegerOf(*json, "waiting");
  load.model = StringOf(*json, "model");
  load.version = StringOf(*json, "version");
  if (auto it = json->find("adapters"); it != json->end() && it->is_array()) {
    for (const Json& adapter : *it) {
      if (adapter.is_string()) {
        load.adapters.push_back(adapter.get<std::string>());
      }
    }
  }
  load.role = StringOf(*json, "role");
  load.leaving = BoolOf(*json, "leaving");
  if (auto it = json->find("tokens_per_s");
      it != json->end() && it->is_number()) {
    load.tokens_per_second = it->get<double>();
  }
  return load;
}

Result<EngineStreams> ParseEngineStreams(std::string_view text) {
  auto json = ParseWithBoot(text, "stream list");
  if (!json) return tl::unexpected(json.error());
  EngineStreams list;
  list.boot = BootNumber(UnsignedOf(*json, "boot"));
  auto streams = json->find("streams");
  if (streams == json->end() || !streams->is_array()) return list;
  for (const Json& entry : *streams) {
    if (!entry.is_object()) continue;
    EngineStream stream;
    stream.id = StringOf(entry, "id");
    const std::string kind = StringOf(entry, "kind");
    stream.kind = kind == "import"   ? EngineStreamKind::kImport
                  : kind == "export" ? EngineStreamKind::kExport
                                     : EngineStreamKind::kStream;
    stream.kv_tokens = TokenCount(IntegerOf(entry, "kv_tokens"));
    stream.offset = IntegerOf(entry, "offset");
    stream.done = BoolOf(entry, "done");
    list.streams.push_back(std::move(stream));
  }
  return list;
}

Result<CacheEvents> ParseCacheEvents(std::string_view text) {
  auto json = ParseWithBoot(text, "cache events");
  if (!json) return tl::unexpected(json.error());
  CacheEvents events;
  events.boot = BootNumber(UnsignedOf(*json, "boot"));
  auto list = json->find("events");
  if (list == json->end() || !list->is_array()) return events;
  for (const Json& entry : *list) {
    if (!entry.is_object()) continue;
    CacheEvent event;
    event.sequence = UnsignedOf(entry, "seq");
    const std::string operation = StringOf(entry, "op");
    event.operation = operation == "clear" ? CacheOperation::kCleared
                      : operation == "remove" || operation == "evict"
                          ? CacheOperation::kEvicted
                          : CacheOperation::kStored;
    event.hash = PrefixHash(UnsignedOf(entry, "hash"));
    events.events.push_back(event);
  }
  return events;
}

}  // namespace zr
