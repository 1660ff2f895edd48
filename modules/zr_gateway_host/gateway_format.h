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
  RequestId id;  // of this attempt of the caller, not of the operation
  std::string method;
  std::string host;
  std::string path;                     // without the query
  std::string target;                   // path with query, as sent
  std::string key;                      // API key; empty if none was sent
  std::optional<Duration> timeout;      // longest wait of the caller
  std::optional<int64_t> resume_after;  // id of the caller's last event
  PromptShape shape;
  /** Ids of the parts of the prompt that other requests may share. */
  std::vector<std::string> shared_parts;
  HttpHeaders headers;  // forwarded unchanged
  SharedBody body;
  std::string client;  // address of the caller, without its port
};

/** An engine that reads a part of the prompt for the called endpoint. */
struct CallHelper {
  std::string address;
  std::string reservation;  // id of its memory reservation; empty for none
  friend auto operator<=>(const CallHelper&, const CallHelper&) = default;
};

/** What a call to an endpoint carries besides the caller's request. */
struct CallTarget {
  EndpointId endpoint;  // another endpoint at the address rejects the call
  std::string address;
  std::vector<CallHelper> helpers;
  Duration time_left;
  TeamId team;  // empty on anonymous routes
  std::optional<int64_t> resume_after;
};

/** Status and headers of an endpoint's answer, decoded. */
struct AnswerHead {
  int status = 0;
  RequestId request;         // as named by the answer
  bool not_run = false;      // the endpoint states that the request has not run
  bool misdirected = false;  // another endpoint has the address
  bool encoded = false;      // the body has a content encoding
  std::optional<ReportedLoad> load;
  /** Requests per second that the endpoint takes from all VMs together. */
  std::optional<double> limit;
  bool leaving = false;  // the endpoint takes no further requests
  /** The endpoint wants no requests for this time. */
  std::optional<Duration> retry_after;
  std::string faulty_address;  // of the endpoint at fault; empty if not named
  HttpHeaders headers;         // forwarded to the caller
};

/** An answer that this VM produces itself, without an endpoint. */
struct OwnAnswer {
  int status = 503;
  Error error;
  std::optional<Duration> retry_after;
};

/**
 * The wire format of a platform: encodes and decodes requests, answers, store
 * objects and endpoint entries. Models only translate; they make no decisions.
 */
template <typename F>
concept GatewayFormat = ObjectFormat<typename F::Store> &&
    requires(HttpRequest request, const CallerRequest& caller,
             const CallTarget& target, int status, const HttpHeaders& headers,
             const OwnAnswer& answer, const MemoryOrder& order,
             const PlacedEndpoint& engine, const ClientResponse& response,
             const std::string& text) {
  { F::ReadRequest(std::move(request)) } -> std::same_as<Result<CallerRequest>>;
  { F::WriteCall(caller, target) } -> std::same_as<ClientRequest>;
  { F::WriteMemoryOrder(order) } -> std::same_as<ClientRequest>;
  { F::WriteUseQuery(engine) } -> std::same_as<ClientRequest>;
  { F::ReadUse(response, text) } -> std::same_as<ReservationUse>;
  { F::ReadHead(status, headers) } -> std::same_as<AnswerHead>;
  { F::WriteOwnAnswerHeaders(caller.id, answer) } -> std::same_as<HttpHeaders>;
  { F::SplitConfig(text) } -> std::same_as<Result<std::vector<std::string>>>;
  { F::DecodeConfigItem(text) } -> std::same_as<ConfigPart>;
  { F::DecodeEndpoint(text, text) } -> std::same_as<Result<ListedEndpoint>>;
  { F::kReadyPath } -> std::convertible_to<const char*>;
  { F::kConfigKind } -> std::convertible_to<const char*>;
  { F::kConfigName } -> std::convertible_to<const char*>;
  { F::kEndpointKind } -> std::convertible_to<const char*>;
  { F::kEvacuationKind } -> std::convertible_to<const char*>;
};

}  // namespace zr
