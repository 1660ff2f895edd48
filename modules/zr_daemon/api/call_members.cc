#include "zr_daemon/api/call_members.h"

#include <set>

namespace zr {
namespace {

using Json = nlohmann::json;

// Nested or numerous values take up to 30 times their bytes once parsed; no
// call that is accepted has as many in the members that are used.
constexpr int kMaxJsonDepth = 1000;
constexpr size_t kMaxJsonValues = 100'000;

struct TooManyValues {};

}  // namespace

Json ParseCallMembers(const std::string& body) {
  static const std::set<std::string, std::less<>> kUsed = {
      "model", "prompt", "messages", "prompt_tokens", "max_tokens", "stream"};
  size_t values = 0;
  bool used = true;  // the current member
  const auto keep = [&](int depth, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::key && depth == 1) {
      used = kUsed.contains(parsed.get_ref<const std::string&>());
    }
    if (used) ++values;
    if (depth > kMaxJsonDepth || values > kMaxJsonValues) {
      throw TooManyValues();
    }
    // The end of the object itself belongs to no member.
    return used || depth == 0;
  };
  try {
    return Json::parse(body, keep, false);
  } catch (const TooManyValues&) {
    return Json(Json::value_t::discarded);
  }
}

}  // namespace zr
