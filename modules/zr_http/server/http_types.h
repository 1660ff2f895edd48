#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_http/server/shared_body.h"

namespace zr {

/** Header fields; names are lower case. */
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/** A request with its complete body. */
struct HttpRequest {
  std::string method;  // upper case
  std::string path;    // still percent-encoded, without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  SharedBody body;
  std::string remote;  // "ip:port" of the client

  /** Value of a header, empty if absent. */
  std::string_view Header(std::string_view name) const;
  /** Value of a query parameter, percent-decoded. */
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

/** Decodes percent-encoding; malformed sequences stay unchanged. */
std::string PercentDecode(std::string_view text);

/** Percent-encodes all bytes except letters, digits, '-', '_', '.' and '~'. */
std::string PercentEncode(std::string_view text);

/** Splits a path at '/' and percent-decodes its segments; empty ones are left
 * out. */
std::vector<std::string> PathSegments(std::string_view path);

/** Splits "ip:port"; the port must be 1 to 65535. */
Result<std::pair<std::string, uint16_t>> ParseAddress(std::string_view address);

}  // namespace zr
