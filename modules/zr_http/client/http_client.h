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
  SharedBody body;
  Duration connect_timeout = Duration::Seconds(2);
  Duration total_timeout;  // 0 for no timeout
  /** Longest time until the first byte of the answer; 0 for no limit. */
  Duration answer_timeout;
  /** Longest pause within the answer, so that a large one may take longer than
   * a silent connection is waited for; 0 for no limit. */
  Duration pause_timeout;
  /** A longer body ends the call with kTooLarge; 0 for no limit. */
  size_t max_body_bytes = 0;
  /**
   * Uses a new connection and closes it after the call. libcurl silently
   * resends a request whose reused connection closes before a response, so
   * non-repeatable calls need this.
   */
  bool fresh_connection = false;
  /** Uses a new connection, which later calls may reuse. */
  bool new_connection = false;
  /**
   * Fails instead of resending a request whose reused connection closed before
   * a response; ClientFailure::request_sent is then true. No further connection
   * is made.
   */
  bool no_resend = false;
  /** Address, "ip:port", of a SOCKS 4 proxy, and the user name for it; empty
   * for none. */
  std::string proxy;
  std::string proxy_user;
  /** Reuses only connections that were idle for less than this, in whole
   * seconds; 0 for libcurl's default. */
  Duration max_idle;
};

/** Why a call failed. */
struct ClientFailure {
  Error error;
  bool request_sent = false;  // false: no byte of the request left this process
  /**
   * The request was sent on a kept connection only, which was lost before any
   * byte of an answer and so soon that the server had probably dropped it while
   * it was idle. Set for calls with ClientRequest::no_resend.
   */
  bool idle_connection_dropped = false;
};

/** A complete response. */
struct ClientResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/** Handle of a call in progress; destroying it does not cancel the call. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /** Cancels the call asynchronously; the listener may still be called until
   * the client's strand has processed the cancellation. */
  virtual void Cancel() = 0;
  /** Continues a call that its listener paused. */
  virtual void Resume() = 0;
};

/**
 * An HTTP client on libcurl's multi interface. A response whose headers exceed
 * 64 KB in total, interim responses and trailers included, ends its call with
 * kTooLarge.
 * All listener calls of one
 * client run on one strand of the io_context.
 */
class HttpClient {
 public:
  /** Receives a response as it arrives. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** The connection is there, and the request is about to be sent.
     * @param is_new  it was made for this call */
    virtual void OnConnected(bool is_new) { static_cast<void>(is_new); }
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

  /** Ends all calls asynchronously, without blocking the caller. No listener
   * is called once the client's strand has processed the shutdown. */
  virtual void Shutdown() = 0;

  /**
   * Starts a call and collects the complete response.
   * @param max_body_bytes  a larger body fails with kTooLarge
   */
  std::shared_ptr<HttpCall> Fetch(
      ClientRequest request, size_t max_body_bytes,
      std::function<void(tl::expected<ClientResponse, ClientFailure>)> done);
};

}  // namespace zr
