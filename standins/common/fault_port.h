#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standins/common/host.h"

namespace zr {

/**
 * Serves the fault port of a group of endpoints: GET /fault/state,
 * GET /fault/{name}, and POST /fault/{name|all}/{fault}.
 *
 * @param endpoints  objects with name(), State() and ApplyFault(fault,
 * request); must outlive the server
 * @returns null if the address is empty
 */
template <typename Endpoint>
Result<std::unique_ptr<HttpServer>> StartFaultPort(
    asio::io_context& context, const std::string& address,
    const std::vector<std::unique_ptr<Endpoint>>& endpoints) {
  if (address.empty()) return std::unique_ptr<HttpServer>();
  HttpServerOptions options;
  options.address = address;
  return HttpServer::Start(
      context, options,
      [&endpoints](const HttpRequest& request,
                   const HttpResponsePtr& response) {
        const auto path = PathSegments(request.path);
        if (path.size() < 2 || path[0] != "fault") {
          SendError(response, 404, "not_found", "unknown path " + request.path);
          return;
        }
        const bool select_all = path[1] == "state" || path[1] == "all";
        nlohmann::json states = nlohmann::json::object();
        for (const auto& endpoint : endpoints) {
          if (!select_all && endpoint->name() != path[1]) continue;
          if (path.size() == 3 && request.method == "POST" &&
              !endpoint->ApplyFault(path[2], request)) {
            SendError(response, 404, "not_found", "unknown fault " + path[2]);
            return;
          }
          states[endpoint->name()] = endpoint->State();
        }
        SendJson(response, states.empty() ? 404 : 200, states);
      });
}

/** A group of endpoints on consecutive ports. */
struct EndpointGroup {
  std::string name_prefix;
  std::string listen;
  int count = 1;
  std::string pool;
  std::string domains;  // comma-separated, round robin
  std::string region;
};

/** Registers the group's endpoints as `endpoints` objects at the platform
 * stand-in; does nothing if its address is empty. */
void RegisterEndpoints(asio::io_context& context,
                       const std::shared_ptr<HttpClient>& client,
                       const std::string& platform, const EndpointGroup& group);

}  // namespace zr
