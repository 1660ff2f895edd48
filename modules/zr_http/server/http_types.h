#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Header fields; names are lower case. */
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/** A request with its whole body. */
struct HttpRequest {
  std::string method;  // upper case
  std::string path;    // percent-encoding kept, without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  std::string body;
  std::string remote;  // "ip:port" of the client

  /** Value of a header, empty if absent. */
  std::string_view Header(std::string_view name) const;
  /** Value of a query parameter, percent-decoded. */
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

/** Decodes percent-encoding; malformed sequences are kept as they are. */
std::string PercentDecode(std::string_view text);

/** Percent-encodes everything but letters, digits, '-', '_', '.' and '~'. */
std::string EscapePathSegment(std::string_view text);

/** Path split at '/', each part percent-decoded, empty parts left out. */
std::vector<std::string> PathSegments(std::string_view path);

/** Splits "ip:port"; the port must be 1 to 65535. */
Result<std::pair<std::string, uint16_t>> ParseAddress(std::string_view address);

}  // namespace zr
