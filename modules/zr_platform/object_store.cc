#include "zr_platform/object_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zr {
namespace {

using Json = nlohmann::json;

// A page of the largest objects stays below this.
constexpr size_t kMaxReplyBytes = size_t{64} << 20;

uint64_t VersionOf(const Json& json) {
  auto it = json.find("version");
  return it != json.end() && it->is_number_unsigned() ? it->get<uint64_t>() : 0;
}

std::string TextOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
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

StoreStatus StatusOf(int http_status) {
  if (http_status >= 200 && http_status < 300) return StoreStatus::kOk;
  switch (http_status) {
    case 404:
      return StoreStatus::kNotFound;
    case 409:
    case 412:
      return StoreStatus::kConflict;
    case 410:
      return StoreStatus::kGone;
    case 400:
    case 401:
    case 403:
    case 413:
    case 422:
    case 429:
    case 503:
      return StoreStatus::kRefused;
    default:
      // Other server errors do not say whether a write took effect.
      return StoreStatus::kUnknown;
  }
}

StoreReply ParseReply(const tl::expected<ClientResponse, ClientFailure>& result) {
  StoreReply reply;
  if (!result) {
    reply.status = result.error().request_sent ? StoreStatus::kUnknown : StoreStatus::kNotSent;
    return reply;
  }
  reply.status = StatusOf(result->status);
  const Json json = Json::parse(result->body, nullptr, false);
  if (!json.is_object()) {
    if (reply.status == StoreStatus::kOk) reply.status = StoreStatus::kUnknown;
    return reply;
  }
  reply.version = ObjectVersion(VersionOf(json));
  reply.value = TextOf(json, "value");
  if (auto it = json.find("items"); it != json.end()) ReadItems(*it, reply.items);
  if (auto it = json.find("events"); it != json.end()) ReadItems(*it, reply.items);
  return reply;
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + EscapePathSegment(kind) + "/" + EscapePathSegment(name);
}

}  // namespace

std::string_view ToString(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kNotFound:
      return "not found";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kGone:
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

ObjectStore::ObjectStore(std::shared_ptr<HttpClient> client, ObjectStoreOptions options,
                         ClockFunction clock)
    : client_(std::move(client)),
      options_(std::move(options)),
      clock_(std::move(clock)),
      budget_(options_.budget) {}

std::string ObjectStore::Url(const std::string& path) const {
  return "http://" + options_.address + path;
}

void ObjectStore::Get(StorePurpose purpose, const std::string& kind, const std::string& name,
                      Callback done) {
  ClientRequest request;
  request.url = Url(ObjectPath(kind, name));
  Call(purpose, Access::kRead, std::move(request), std::move(done));
}

void ObjectStore::Put(StorePurpose purpose, const std::string& kind, const std::string& name,
                      ObjectVersion expected, std::string value, Callback done) {
  ClientRequest request;
  request.method = "PUT";
  request.url = Url(ObjectPath(kind, name));
  if (expected.value() == 0) {
    request.headers["If-None-Match"] = "*";
  } else {
    request.headers["If-Match"] = std::to_string(expected.value());
  }
  request.body = std::move(value);
  Call(purpose, Access::kWrite, std::move(request), std::move(done));
}

void ObjectStore::Delete(StorePurpose purpose, const std::string& kind, const std::string& name,
                         ObjectVersion expected, Callback done) {
  ClientRequest request;
  request.method = "DELETE";
  request.url = Url(ObjectPath(kind, name));
  request.headers["If-Match"] = std::to_string(expected.value());
  Call(purpose, Access::kWrite, std::move(request), std::move(done));
}

void ObjectStore::List(StorePurpose purpose, const std::string& kind, const std::string& after,
                       int limit, Callback done) {
  ClientRequest request;
  request.url = Url("/v1/objects/" + EscapePathSegment(kind) + "?limit=" + std::to_string(limit) +
                    "&after=" + EscapePathSegment(after));
  Call(purpose, Access::kRead, std::move(request), std::move(done));
}

void ObjectStore::Watch(StorePurpose purpose, const std::string& kind, ObjectVersion after,
                        Duration wait, Callback done) {
  ClientRequest request;
  request.url =
      Url("/v1/watch/" + EscapePathSegment(kind) + "?after=" + std::to_string(after.value()) +
          "&timeout_ms=" + std::to_string(wait.milliseconds()));
  request.total_timeout = wait + options_.request_timeout;
  Call(purpose, Access::kWatch, std::move(request), std::move(done));
}

void ObjectStore::ListVms(VmCallback done) {
  if (!TakeBudget(StorePurpose::kStatus, Access::kRead)) {
    done(Fail(ErrorCode::kLimitExceeded, "object API", options_.address, "call budget is used up"));
    return;
  }
  ClientRequest request;
  request.url = Url("/v1/vms");
  request.total_timeout = options_.request_timeout;
  client_->Fetch(std::move(request), kMaxReplyBytes, [done = std::move(done)](auto result) {
    if (!result) return done(tl::unexpected(result.error().error));
    const Json json = Json::parse(result->body, nullptr, false);
    if (result->status != 200 || !json.is_object() || !json.contains("vms")) {
      return done(Fail(ErrorCode::kUnavailable, "object API", "",
                       "VM list answered with status " + std::to_string(result->status)));
    }
    std::vector<ListedVm> vms;
    for (const Json& entry : json["vms"]) {
      if (!entry.is_object()) continue;
      vms.push_back({TextOf(entry, "name"), TextOf(entry, "address"), TextOf(entry, "domain"),
                     TextOf(entry, "state") == "leaving"});
    }
    done(std::move(vms));
  });
}

void ObjectStore::SetVmCount(int vms) {
  std::lock_guard lock(mutex_);
  budget_.SetVmCount(vms);
}

bool ObjectStore::TakeBudget(StorePurpose purpose, Access access) {
  const TimePoint now = clock_();
  std::lock_guard lock(mutex_);
  switch (access) {
    case Access::kRead:
      return budget_.TryRead(purpose, now);
    case Access::kWrite:
      return budget_.TryWrite(purpose, now);
    case Access::kWatch:
      return budget_.TryWatch(purpose, now);
  }
  return false;
}

void ObjectStore::Call(StorePurpose purpose, Access access, ClientRequest request, Callback done) {
  if (!TakeBudget(purpose, access)) {
    StoreReply reply;
    reply.status = StoreStatus::kNotSent;
    done(std::move(reply));
    return;
  }
  if (request.total_timeout == Duration()) request.total_timeout = options_.request_timeout;
  // libcurl may repeat a request on a reused connection; a repeated conditional
  // write would then report a conflict with itself.
  request.fresh_connection = access == Access::kWrite;
  client_->Fetch(std::move(request), kMaxReplyBytes,
                 [done = std::move(done)](auto result) { done(ParseReply(result)); });
}

}  // namespace zr
