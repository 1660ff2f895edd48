#include "zr_platform/object_format.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_platform/json_text.h"

namespace zr {
namespace {

using Json = nlohmann::json;

uint64_t VersionOf(const Json& json) {
  auto it = json.find("version");
  return it != json.end() && it->is_number_unsigned() ? it->get<uint64_t>() : 0;
}

std::string TextOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

void ReadItems(const Json& list, std::vector<StoreItem>& items) {
  if (!list.is_array()) return;
  for (const Json& entry : list) {
    if (!entry.is_object()) continue;
    StoreItem item;
    item.name = TextOf(entry, "name");
    item.version = ObjectVersion(VersionOf(entry));
    item.value = TextOf(entry, "value");
    item.deleted = TextOf(entry, "op") == "delete";
    items.push_back(std::move(item));
  }
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + PercentEncode(kind) + "/" + PercentEncode(name);
}

}  // namespace

StoreStatus StoreStatusFromHttp(int http_status) {
  if (http_status >= 200 && http_status < 300) return StoreStatus::kOk;
  switch (http_status) {
    case 404:
      return StoreStatus::kNotFound;
    case 409:
    case 412:
      return StoreStatus::kConflict;
    case 410:
      return StoreStatus::kExpired;
    case 400:
    case 401:
    case 403:
    case 413:
    case 422:
    case 429:
    case 503:
      return StoreStatus::kRefused;
    default:
      // After other server errors a write may have taken effect.
      return StoreStatus::kUnknown;
  }
}

std::string_view ToString(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kNotFound:
      return "not found";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kExpired:
      return "gone";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kNotSent:
      return "not sent";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ClientRequest NativeObjectFormat::Get(const std::string& kind,
                                      const std::string& name) {
  ClientRequest request;
  request.url = ObjectPath(kind, name);
  return request;
}

ClientRequest NativeObjectFormat::Put(const std::string& kind,
                                      const std::string& name,
                                      ObjectVersion expected,
                                      std::string value) {
  ClientRequest request;
  request.method = "PUT";
  request.url = ObjectPath(kind, name);
  if (expected.value() == 0) {
    request.headers["If-None-Match"] = "*";
  } else {
    request.headers["If-Match"] = std::to_string(expected.value());
  }
  request.body = std::move(value);
  return request;
}

ClientRequest NativeObjectFormat::Delete(const std::string& kind,
                                         const std::string& name,
                                         ObjectVersion expected) {
  ClientRequest request;
  request.method = "DELETE";
  request.url = ObjectPath(kind, name);
  request.headers["If-Match"] = std::to_string(expected.value());
  return request;
}

ClientRequest NativeObjectFormat::List(const std::string& kind,
                                       const std::string& after, int limit) {
  ClientRequest request;
  request.url = "/v1/objects/" + PercentEncode(kind) +
                "?limit=" + std::to_string(limit) +
                "&after=" + PercentEncode(after);
  return request;
}

ClientRequest NativeObjectFormat::Watch(const std::string& kind,
                                        ObjectVersion after, Duration wait) {
  ClientRequest request;
  request.url = "/v1/watch/" + PercentEncode(kind) +
                "?after=" + std::to_string(after.value()) +
                "&timeout_ms=" + std::to_string(wait.milliseconds());
  return request;
}

StoreReply NativeObjectFormat::Decode(const ClientResponse& response) {
  StoreReply reply;
  reply.status = StoreStatusFromHttp(response.status);
  const Json json = ReadJson(response.body);
  if (!json.is_object()) {
    if (reply.status == StoreStatus::kOk) reply.status = StoreStatus::kUnknown;
    return reply;
  }
  reply.version = ObjectVersion(VersionOf(json));
  reply.value = TextOf(json, "value");
  if (auto it = json.find("items"); it != json.end()) {
    ReadItems(*it, reply.items);
  }
  if (auto it = json.find("events"); it != json.end()) {
    ReadItems(*it, reply.items);
  }
  return reply;
}

}  // namespace zr
