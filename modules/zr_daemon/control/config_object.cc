#include "zr_daemon/control/config_object.h"

#include <ctime>
#include <nlohmann/json.hpp>

#include "zr_platform/json_text.h"

namespace zr {

using Json = nlohmann::json;

std::string EncodeConfigObject(const ConfigObject& object) {
  const Json json = {{"document", object.document},
                     {"author", object.note.author},
                     {"time", object.note.time}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigObject> DecodeConfigObject(const std::string& text) {
  const Json json = ReadJson(text);
  if (!json.is_object() || !json.contains("document") ||
      !json["document"].is_string()) {
    return Fail(ErrorCode::kInvalidArgument, "configuration", "object API",
                "config/environment holds no document");
  }
  ConfigObject object;
  object.document = json["document"].get<std::string>();
  if (auto it = json.find("author"); it != json.end() && it->is_string()) {
    object.note.author = *it;
  }
  if (auto it = json.find("time"); it != json.end() && it->is_string()) {
    object.note.time = *it;
  }
  return object;
}

std::string IsoTime(int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm calendar{};
  gmtime_r(&seconds, &calendar);
  char text[32];
  const size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &calendar);
  return std::string(text, size);
}

}  // namespace zr
