#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "zr_http/zr_http.h"

namespace zr {

/** Sends a JSON body. */
void SendJson(const HttpResponsePtr& response, int status,
              const nlohmann::json& body);

/**
 * Sends an error body of the protocol.
 *
 * @param run  whether the request was executed: "not-run", "may-have-run" or
 *             "ran"
 */
void SendError(const HttpResponsePtr& response, int status,
               const std::string& code, const std::string& message,
               const std::string& run = "not-run");

/** Parses JSON; returns null if the text is empty or malformed. */
nlohmann::json ParseJson(std::string_view text);

/** Integer value of a query parameter, or the fallback. */
int64_t QueryInteger(const HttpRequest& request, std::string_view name,
                     int64_t fallback);

/** Real value of a query parameter, or the fallback. */
double QueryReal(const HttpRequest& request, std::string_view name,
                 double fallback);

/** Splits at a separator and omits empty parts. */
std::vector<std::string> SplitList(std::string_view text, char separator = ',');

/** The address with the offset added to its port. */
std::string AddressAt(const std::string& address, int offset);

/** Milliseconds on the monotonic clock. */
int64_t MonotonicMs();

/** Milliseconds since the Unix epoch on the wall clock. */
int64_t WallClockMs();

/** Calls a function after a delay on the io_context. */
void RunAfter(asio::io_context& context, Duration delay,
              std::function<void()> action);

/** Creates or replaces an object at the platform stand-in; retries until the
 * write succeeds. */
void RegisterObject(asio::io_context& context,
                    std::shared_ptr<HttpClient> client, std::string platform,
                    std::string kind, std::string name, std::string value);

/** Runs the io_context on this thread until SIGTERM or SIGINT. */
void RunUntilSignal(asio::io_context& context);

}  // namespace zr
