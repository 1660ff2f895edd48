#include "zr_daemon/endpoint/engine_codec.h"

#include <nlohmann/json.hpp>
#include <string>

#include "zr_platform/json_text.h"

namespace zr {
namespace {

using Json = nlohmann::json;

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

}  // namespace

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
