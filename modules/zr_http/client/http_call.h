#pragma once

#include <curl/curl.h>

#include <chrono>
#include <concepts>
#include <memory>
#include <optional>
#include <string>

#include "zr_http/client/http_client.h"

namespace zr {

/** One libcurl easy handle and its listener; used only on the client's strand.
 */
class EasyCall {
 public:
  EasyCall(ClientRequest request,
           std::shared_ptr<HttpClient::Listener> listener);
  ~EasyCall();
  EasyCall(const EasyCall&) = delete;
  EasyCall& operator=(const EasyCall&) = delete;

  CURL* easy() const { return easy_; }
  /** Longest time from now until the next byte of the answer; 0 for no limit.
   */
  Duration silence_timeout() const {
    return bytes_received_ > 0 ? request_.pause_timeout
                               : request_.answer_timeout;
  }
  /** Bytes of the answer, interim answers included. */
  size_t bytes_received() const { return bytes_received_; }
  /** Reports the end of the call to the listener; later calls do nothing. */
  void Finish(CURLcode code);
  /** Releases the listener; it is not called again. */
  void Detach() { listener_.reset(); }

 private:
  static size_t OnWrite(char* data, size_t size, size_t count, void* self);
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static int OnRequestStart(void* self, char*, char*, int, int);
  static curl_socket_t OnOpenSocket(void* self, curlsocktype purpose,
                                    curl_sockaddr* address);
  void ApplyOptions();
  /** Calls the listener from one of libcurl's callbacks, which no exception may
   * leave. @returns false if it threw; the call then fails */
  template <std::invocable<HttpClient::Listener&> F>
  bool CallListener(F call);
  ClientFailure FailureOf(ErrorCode code, std::string text) const;
  /** Called before a connection is made or used. If the request was sent
   * already, its kept connection was lost before any byte of an answer.
   * @returns whether `no_resend` ends the call */
  bool RefuseResend();
  /** The kept connection was lost before any byte of an answer. */
  void NoteConnectionLoss();

  ClientRequest request_;
  std::shared_ptr<HttpClient::Listener> listener_;
  CURL* easy_;
  curl_slist* header_list_ = nullptr;
  HttpHeaders response_headers_;
  bool headers_delivered_ = false;
  bool request_sent_ = false;
  bool uses_kept_connection_ = false;
  size_t header_bytes_ = 0;  // received, including interim responses
  size_t header_lines_ = 0;  // of all answers, interim ones as well
  size_t body_bytes_ = 0;    // received
  size_t bytes_received_ = 0;
  const char* exceeded_ = nullptr;  // the part that exceeds its limit
  const char* invalid_ = nullptr;   // what makes the answer invalid
  std::string listener_error_;      // what the listener threw
  std::chrono::steady_clock::time_point sent_at_;
  // From sent_at_ to the loss of the kept connection that ended the call.
  std::optional<std::chrono::steady_clock::duration> lost_after_;
  char error_text_[CURL_ERROR_SIZE] = {};
};

}  // namespace zr
