#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zr_http/server/http_types.h"

namespace zr {

/** A request to send. */
struct ClientRequest {
  std::string method = "GET";
  std::string url;  // "http://ip:port/path"
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = Duration::Seconds(2);
  Duration total_timeout;  // 0 for none
  /**
   * Uses a new connection. libcurl silently repeats a request whose reused
   * connection closes before an answer, so non-repeatable calls need this.
   */
  bool fresh_connection = false;
  /**
   * Fails instead of repeating a request whose reused connection closed before
   * an answer; the failure then says that the request was sent.
   */
  bool single_send = false;
  /** Reuses only connections idle for less than this, in whole seconds; 0 for
   * the library's default. */
  Duration max_idle;
};

/** Why a call has failed. */
struct ClientFailure {
  Error error;
  bool request_sent = false;  // false: no byte of the request left this process
};

/** A whole response. */
struct ClientResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/** A call in progress; dropping the handle does not cancel it. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /** Ends the call; the listener hears nothing more after a short while. */
  virtual void Cancel() = 0;
  /** Goes on with a call whose listener paused it. */
  virtual void Resume() = 0;
};

/**
 * An HTTP client on libcurl's multi interface. All listener calls of one
 * client run on one strand of the io_context.
 */
class HttpClient {
 public:
  /** Receives the parts of a response. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnHeaders(int status, const HttpHeaders& headers) = 0;
    /** @returns false to pause; the same data is delivered again after Resume()
     */
    virtual bool OnData(std::string_view data) = 0;
    /** The call has ended; failure is empty if the response was complete. */
    virtual void OnEnd(std::optional<ClientFailure> failure) = 0;
  };

  static Result<std::shared_ptr<HttpClient>> Create(asio::io_context& context);
  virtual ~HttpClient() = default;

  /** Starts a call. May be called from any thread. */
  virtual std::shared_ptr<HttpCall> Start(
      ClientRequest request, std::shared_ptr<Listener> listener) = 0;

  /** Ends all calls; no listener is called afterwards. Blocks nothing. */
  virtual void Shutdown() = 0;

  /**
   * Fetches a whole response.
   * @param max_body_bytes  a larger body fails with kTooLarge
   */
  std::shared_ptr<HttpCall> Fetch(
      ClientRequest request, size_t max_body_bytes,
      std::function<void(tl::expected<ClientResponse, ClientFailure>)> done);
};

}  // namespace zr
