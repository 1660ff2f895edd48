#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "zr_http/server/client_guard.h"
#include "zr_http/server/http_types.h"

namespace zr {

/**
 * The response to one request. All members may be called from any thread, but
 * not concurrently. Destroying a response that was not completed closes the
 * connection.
 */
class HttpResponse {
 public:
  virtual ~HttpResponse() = default;

  /**
   * Sends a complete response. If the headers contain "connection: close", the
   * connection is closed afterwards; the same applies to Begin().
   */
  virtual void Send(int status, HttpHeaders headers, std::string body) = 0;

  /** Starts a chunked response. */
  virtual void Begin(int status, HttpHeaders headers) = 0;
  /**
   * Sends a chunk.
   * @param on_sent  called with true when the chunk was passed to the kernel,
   *                 with false when the connection has failed
   */
  virtual void Write(std::string chunk, std::function<void(bool)> on_sent) = 0;
  /** Ends a chunked response. */
  virtual void End() = 0;
  /** Closes the connection of a chunked response so that the client sees it as
   * truncated. */
  virtual void Abort() = 0;

  /**
   * Sets a function that is called once when the connection is closed, or
   * immediately if it is closed already.
   */
  virtual void OnClosed(std::function<void()> on_closed) = 0;
};

using HttpResponsePtr = std::shared_ptr<HttpResponse>;
/** Called for each request on an io_context thread; must not block. */
using HttpHandler = std::function<void(HttpRequest, HttpResponsePtr)>;

struct HttpServerOptions {
  std::string address;  // "ip:port"
  size_t max_body_bytes = 16 << 20;
  size_t max_header_bytes = 32 << 10;  // total of names and values
  size_t body_copies = 1;  // of a body that the handler makes, with the body
  Duration idle_timeout = Duration::Seconds(120);  // between two requests
  /** Shared by the servers of a process; null for one of this server only. */
  std::shared_ptr<ClientGuard> guard;
};

/**
 * An HTTP server on an io_context. Bodies and headers above their limits are
 * answered with 413 and 431 as soon as the limit is announced or exceeded, and
 * the connection is closed.
 */
class HttpServer {
 public:
  /**
   * Starts listening. Runs the io_context's handlers until the listener is
   * open, so it must be called before the io_context's threads start.
   * @returns kUnavailable if the address cannot be bound
   */
  static Result<std::unique_ptr<HttpServer>> Start(asio::io_context& context,
                                                   HttpServerOptions options,
                                                   HttpHandler handler);
  virtual ~HttpServer() = default;

  /** Stops accepting connections; requests on open connections are still
   * answered. */
  virtual void StopAccepting() = 0;
  /** Number of responses whose last byte has not been passed to the kernel;
   * those whose connection has failed don't count. */
  virtual size_t unsent_responses() const = 0;
  /** Applies to bytes that are read from now on. */
  virtual void SetLimits(size_t max_header_bytes, size_t max_body_bytes) = 0;
  /** Closes the server; call when the io_context no longer runs handlers. */
  virtual void Close() = 0;
};

}  // namespace zr
