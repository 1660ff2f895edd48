#include "zr_platform/object_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_platform/json_text.h"

namespace zr {
namespace {

using Json = nlohmann::json;

std::string TextOf(const Json& json, const char* key) {
  auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

}  // namespace

void ObjectStore::ListVms(VmCallback done) {
  if (!TryAcquireBudget(StorePurpose::kStatus, Access::kRead)) {
    done(Fail(ErrorCode::kLimitExceeded, "object API", options_.address,
              "call budget is used up"));
    return;
  }
  ClientRequest request;
  request.url = "http://" + options_.address + "/v1/vms";
  request.total_timeout = options_.request_timeout;
  client_->Fetch(
      std::move(request), kMaxReplyBytes,
      [done = std::move(done)](auto result) {
        if (!result) return done(tl::unexpected(result.error().error));
        const Json json = ReadJson(result->body);
        if (result->status != 200 || !json.is_object() ||
            !json.contains("vms")) {
          return done(Fail(ErrorCode::kUnavailable, "object API", "",
                           "unexpected reply to the VM list, status " +
                               std::to_string(result->status)));
        }
        std::vector<ListedVm> vms;
        for (const Json& entry : json["vms"]) {
          if (!entry.is_object()) continue;
          vms.push_back({TextOf(entry, "name"), TextOf(entry, "address"),
                         TextOf(entry, "domain"),
                         TextOf(entry, "state") == "leaving"});
        }
        done(std::move(vms));
      });
}

}  // namespace zr
