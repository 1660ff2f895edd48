#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"

namespace zr {

/** Outcome of a call to the object API. */
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,  // the expected version did not match; version holds the current
              // one if known
  kExpired,   // the watch's version is too old; list again
  kRefused,   // rate limit or other definite error; a write did not take effect
  kNotSent,   // nothing was sent, or this VM's call budget is used up
  kUnknown,   // no conclusive reply; a write may take effect, now or later
};

std::string_view ToString(StoreStatus status);

/** Maps an HTTP status of the object API to a StoreStatus. */
StoreStatus StoreStatusFromHttp(int http_status);

/** An object in the reply to a list or watch. */
struct StoreItem {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;  // watch only
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  StoreEra era;
  ObjectVersion version;         // of the object, list or watch
  std::string value;             // get only
  std::vector<StoreItem> items;  // list and watch only
  bool more = false;             // list only: continue after the last item
};

/**
 * Encodes requests to an object API and decodes its responses. Requests carry
 * the path only; BasicObjectStore adds the address and the timeouts.
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
