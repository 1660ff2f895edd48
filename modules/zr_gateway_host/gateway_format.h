#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "zr_gateway/zr_gateway.h"
#include "zr_http/zr_http.h"
#include "zr_platform/zr_platform.h"

namespace zr {

/** A caller's request, decoded. */
struct CallerRequest {
  RequestId id;  // of this attempt of the caller
  std::string method;
  std::string host;
  std::string path;                     // without the query
  std::string target;                   // path with query, as sent
  std::string key;                      // of the team; empty if none was sent
  std::optional<Duration> timeout;      // how long the caller will wait
  std::optional<int64_t> resume_after;  // last event that the caller has
  PromptShape shape;
  HttpHeaders headers;  // to be forwarded unchanged
  std::string body;
};

/** An engine that reads a part of a prompt for the one that is called. */
struct CallHelper {
  std::string address;
  std::string reservation;  // id of the memory that it keeps; empty for none
  friend auto operator<=>(const CallHelper&, const CallHelper&) = default;
};

/** What a call to an endpoint carries besides the caller's request. */
struct CallTarget {
  EndpointId endpoint;  // any other endpoint at the address refuses the call
  std::string address;
  std::vector<CallHelper> helpers;
  Duration time_left;
  TeamId team;  // empty on anonymous routes
  std::optional<int64_t> resume_after;
};

/** Status and headers of an endpoint's answer, decoded. */
struct AnswerHead {
  int status = 0;
  RequestId request;         // that the answer says it belongs to
  bool not_run = false;      // the endpoint says it has not run the request
  bool misdirected = false;  // another endpoint has the address
  bool encoded = false;      // the body is not as the endpoint made it
  std::optional<ReportedLoad> load;
  std::string faulty_address;  // of a helper at fault; empty if none is named
  HttpHeaders headers;         // to be forwarded
};

/** An answer that this VM makes itself. */
struct OwnAnswer {
  int status = 503;
  Error error;
  std::optional<Duration> retry_after;
};

/**
 * The words of a platform: how requests, answers, store objects and entries
 * are written. Models only translate; they decide nothing.
 */
template <typename F>
concept GatewayFormat = ObjectFormat<typename F::Store> &&
    requires(HttpRequest request, const CallerRequest& caller,
             const CallTarget& target, int status, const HttpHeaders& headers,
             const OwnAnswer& answer, const MemoryOrder& order,
             const std::string& text) {
  { F::ReadRequest(std::move(request)) } -> std::same_as<Result<CallerRequest>>;
  { F::WriteCall(caller, target) } -> std::same_as<ClientRequest>;
  { F::WriteMemoryOrder(order) } -> std::same_as<ClientRequest>;
  { F::ReadHead(status, headers) } -> std::same_as<AnswerHead>;
  { F::WriteOwnAnswerHeaders(caller.id, answer) } -> std::same_as<HttpHeaders>;
  { F::DecodeConfig(text) } -> std::same_as<Result<GatewayConfigParts>>;
  { F::DecodeEndpoint(text, text) } -> std::same_as<Result<ListedEndpoint>>;
  { F::kReadyPath } -> std::convertible_to<const char*>;
  { F::kConfigKind } -> std::convertible_to<const char*>;
  { F::kConfigName } -> std::convertible_to<const char*>;
  { F::kEndpointKind } -> std::convertible_to<const char*>;
  { F::kEvacuationKind } -> std::convertible_to<const char*>;
};

}  // namespace zr
