#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"

namespace zr {

/** What is known after a call to the object API. */
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,  // the expected version did not match; version holds the current
              // one if known
  kExpired,   // the watch's version is too old; list again
  kRefused,   // over the rate or an error answer; a write did not take effect
  kNotSent,   // no byte left this VM, or the VM's own budget is used up
  kUnknown,   // no answer; a write may take effect, now or later
};

std::string_view ToString(StoreStatus status);

/** The status that an HTTP answer of the object API stands for. */
StoreStatus StoreStatusFromHttp(int http_status);

/** An object of a list or watch. */
struct StoreItem {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;  // watch only
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  ObjectVersion version;         // of the object, list or watch
  std::string value;             // get only
  std::vector<StoreItem> items;  // list and watch only
  bool more = false;             // list only: continue after the last item
};

/**
 * How calls to an object API are written and its answers are read. Requests
 * carry the path only; the store adds the address and the time limits.
 */
template <typename F>
concept ObjectFormat = requires(const std::string& text, std::string value,
                                ObjectVersion version, Duration wait,
                                const ClientResponse& response) {
  { F::Get(text, text) } -> std::same_as<ClientRequest>;
  { F::Put(text, text, version, value) } -> std::same_as<ClientRequest>;
  { F::Delete(text, text, version) } -> std::same_as<ClientRequest>;
  { F::List(text, text, 1) } -> std::same_as<ClientRequest>;
  { F::Watch(text, version, wait) } -> std::same_as<ClientRequest>;
  { F::Decode(response) } -> std::same_as<StoreReply>;
};

/** The format of the project's own object API (docs/design.md, section 6). */
struct NativeObjectFormat {
  static ClientRequest Get(const std::string& kind, const std::string& name);
  static ClientRequest Put(const std::string& kind, const std::string& name,
                           ObjectVersion expected, std::string value);
  static ClientRequest Delete(const std::string& kind, const std::string& name,
                              ObjectVersion expected);
  static ClientRequest List(const std::string& kind, const std::string& after,
                            int limit);
  static ClientRequest Watch(const std::string& kind, ObjectVersion after,
                             Duration wait);
  static StoreReply Decode(const ClientResponse& response);
};

}  // namespace zr
