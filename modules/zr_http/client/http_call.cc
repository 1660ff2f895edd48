#include "zr_http/client/http_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <exception>
#include <string_view>
#include <utility>

namespace zr {
namespace {

// A connection fails after this time without an acknowledgement of sent data or
// of keep-alive probes; a partitioned peer sends no reset.
constexpr unsigned kTcpUserTimeoutMs = 2000;
constexpr long kKeepAliveSeconds = 1;  // NOLINT(google-runtime-int)
// Unanswered probes after which an idle connection fails. Needed where
// TCP_USER_TIMEOUT covers sent data only.
constexpr int kKeepAliveProbes = 2;
// Limit on all header lines of a call. Real responses stay far below it; a
// faulty server may send lines without end.
constexpr size_t kMaxHeaderBytes = size_t{64} << 10;
// The same for their number, as a short line costs many times its bytes.
constexpr size_t kMaxHeaderLines = 512;
// A connection that the server has dropped is reset within a round trip after a
// request was sent on it. A lost packet is sent again after 200 ms, and after
// 400 ms more.
constexpr std::chrono::milliseconds kMaxDropDelay(800);

/** A status line names a status of three digits: an interim one (1xx) or one
 * from 200 to 599. No call asks for a switch of protocols (101). */
bool HasValidStatus(std::string_view line) {
  constexpr size_t kDigits = 3;
  const size_t space = line.find(' ');
  if (space == std::string_view::npos) return false;
  const std::string_view status = line.substr(space + 1);
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  return status.size() >= kDigits && status[0] >= '1' && status[0] <= '5' &&
         is_digit(status[1]) && is_digit(status[2]) &&
         !status.starts_with("101") &&
         (status.size() == kDigits || status[kDigits] == ' ');
}

int OnSocketCreated(void*, curl_socket_t fd, curlsocktype) {
  // Best effort: where the option is not supported, the call's deadline
  // applies.
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  return CURL_SOCKOPT_OK;
}

}  // namespace

EasyCall::EasyCall(ClientRequest request,
                   std::shared_ptr<HttpClient::Listener> listener)
    : request_(std::move(request)),
      listener_(std::move(listener)),
      easy_(curl_easy_init()) {
  if (easy_ != nullptr) ApplyOptions();
}

EasyCall::~EasyCall() {
  if (easy_ != nullptr) curl_easy_cleanup(easy_);
  curl_slist_free_all(header_list_);
}

void EasyCall::ApplyOptions() {
  for (const auto& [name, value] : request_.headers) {
    header_list_ =
        curl_slist_append(header_list_, (name + ": " + value).c_str());
  }
  // Without this, libcurl waits for "100 Continue" before it sends large
  // bodies.
  header_list_ = curl_slist_append(header_list_, "Expect:");
  // An empty value suppresses a header that libcurl adds by default.
  for (const char* added : {"content-type", "accept"}) {
    if (!request_.headers.contains(added)) {
      header_list_ =
          curl_slist_append(header_list_, (std::string(added) + ":").c_str());
    }
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
  curl_easy_setopt(easy_, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  // Without a proxy, libcurl must not take one from the environment.
  const std::string proxy =
      request_.proxy.empty() ? "" : "socks4://" + request_.proxy;
  curl_easy_setopt(easy_, CURLOPT_PROXY, proxy.c_str());
  if (!request_.proxy_user.empty()) {
    curl_easy_setopt(easy_, CURLOPT_PROXYUSERNAME, request_.proxy_user.c_str());
  }
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
      easy_, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(request_.connect_timeout.milliseconds()));  // NOLINT
  curl_easy_setopt(
      easy_, CURLOPT_TIMEOUT_MS,
      static_cast<long>(request_.total_timeout.milliseconds()));  // NOLINT
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &EasyCall::OnOpenSocket);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  if (request_.max_idle > Duration()) {
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(request_.max_idle.seconds()));  // NOLINT
  }
  if (request_.fresh_connection || request_.new_connection) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
  }
  if (request_.fresh_connection) {
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!request_.body.empty() || request_.method == "POST" ||
      request_.method == "PUT") {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.data());
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  if (request_.method == "HEAD") curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  curl_easy_setopt(easy_, CURLOPT_ERRORBUFFER, error_text_);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &EasyCall::OnWrite);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &EasyCall::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &EasyCall::OnRequestStart);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
}

template <std::invocable<HttpClient::Listener&> F>
bool EasyCall::CallListener(F call) {
  // The listener may end the call, and with it its own last reference.
  const auto listener = listener_;
  if (!listener) return true;
  try {
    call(*listener);
    return true;
  } catch (const std::exception& exception) {
    listener_error_ = exception.what();
    return false;
  }
}

curl_socket_t EasyCall::OnOpenSocket(void* self, curlsocktype,
                                     curl_sockaddr* address) {
  // Fails the call before a connection is made that would not be used.
  if (static_cast<EasyCall*>(self)->RefuseResend()) return CURL_SOCKET_BAD;
  return socket(address->family, address->socktype, address->protocol);
}

bool EasyCall::RefuseResend() {
  if (!request_sent_ || !request_.no_resend) return false;
  NoteConnectionLoss();
  return true;
}

void EasyCall::NoteConnectionLoss() {
  if (!lost_after_) lost_after_ = std::chrono::steady_clock::now() - sent_at_;
}

int EasyCall::OnRequestStart(void* self, char*, char*, int, int) {
  auto* call = static_cast<EasyCall*>(self);
  if (call->RefuseResend()) return CURL_PREREQFUNC_ABORT;
  call->request_sent_ = true;
  call->sent_at_ = std::chrono::steady_clock::now();
  if (call->request_.no_resend) {
    // Keeps libcurl from resending on another kept connection, which the
    // refusal would close.
    curl_easy_setopt(call->easy_, CURLOPT_FRESH_CONNECT, 1L);
  }
  long connects = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(call->easy_, CURLINFO_NUM_CONNECTS, &connects);
  call->uses_kept_connection_ = connects == 0;
  const bool called =
      call->CallListener([connects](HttpClient::Listener& listener) {
        listener.OnConnected(connects > 0);
      });
  return called ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

size_t EasyCall::OnHeader(char* data, size_t size, size_t count, void* self) {
  auto* call = static_cast<EasyCall*>(self);
  std::string_view line(data, size * count);
  call->header_bytes_ += line.size();
  call->bytes_received_ += line.size();
  if (call->header_bytes_ > kMaxHeaderBytes ||
      ++call->header_lines_ > kMaxHeaderLines) {
    call->exceeded_ = "response headers";
    return 0;  // fails the call
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  if (line.starts_with("HTTP/") && !call->headers_delivered_) {
    if (!HasValidStatus(line)) {
      call->invalid_ = "response has no valid status";
      return 0;  // fails the call
    }
    call->response_headers_.clear();
  } else if (const size_t colon = line.find(':');
             colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    call->response_headers_[std::move(name)] = std::string(value);
  } else if (line.empty() && call->listener_ && !call->headers_delivered_) {
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type
    curl_easy_getinfo(call->easy_, CURLINFO_RESPONSE_CODE, &status);
    if (status >= 200) {
      call->headers_delivered_ = true;
      if (!call->CallListener([call, status](HttpClient::Listener& listener) {
            listener.OnHeaders(static_cast<int>(status),
                               call->response_headers_);
          })) {
        return 0;  // fails the call
      }
    }
  }
  return size * count;
}

size_t EasyCall::OnWrite(char* data, size_t size, size_t count, void* self) {
  auto* call = static_cast<EasyCall*>(self);
  call->bytes_received_ += size * count;
  if (!call->listener_) return size * count;
  const size_t limit = call->request_.max_body_bytes;
  if (limit > 0 && call->body_bytes_ + size * count > limit) {
    call->exceeded_ = "response body";
    return 0;  // fails the call
  }
  bool accepted = false;
  if (!call->CallListener([&](HttpClient::Listener& listener) {
        accepted = listener.OnData(std::string_view(data, size * count));
      })) {
    return 0;  // fails the call
  }
  if (!accepted) return CURL_WRITEFUNC_PAUSE;
  call->body_bytes_ += size * count;
  return size * count;
}

void EasyCall::Finish(CURLcode code) {
  auto listener = std::exchange(listener_, nullptr);
  if (!listener) return;
  // libcurl doesn't resend a request whose body was being sent.
  if (code == CURLE_SEND_ERROR && request_.no_resend && uses_kept_connection_ &&
      bytes_received_ == 0) {
    NoteConnectionLoss();
  }
  // libcurl accepts an answer that ends after its interim responses.
  if (code == CURLE_OK && !headers_delivered_) {
    invalid_ = "response ended without a final status";
  } else if (code == CURLE_OK) {
    listener->OnEnd(std::nullopt);
    return;
  }
  if (!listener_error_.empty()) {
    listener->OnEnd(FailureOf(ErrorCode::kInternal, listener_error_));
    return;
  }
  if (invalid_ != nullptr) {
    listener->OnEnd(FailureOf(ErrorCode::kUnavailable, invalid_));
    return;
  }
  if (exceeded_ != nullptr) {
    listener->OnEnd(FailureOf(ErrorCode::kTooLarge,
                              std::string(exceeded_) + " exceed the limit"));
    return;
  }
  const std::string text = lost_after_ ? "connection closed before an answer"
                           : error_text_[0] != 0 ? error_text_
                                                 : curl_easy_strerror(code);
  const ErrorCode error_code = code == CURLE_OPERATION_TIMEDOUT && request_sent_
                                   ? ErrorCode::kUnknownOutcome
                                   : ErrorCode::kUnavailable;
  listener->OnEnd(FailureOf(error_code, text));
}

ClientFailure EasyCall::FailureOf(ErrorCode code, std::string text) const {
  return {Error{code, "call", request_.url, std::move(text)}, request_sent_,
          lost_after_ && *lost_after_ <= kMaxDropDelay};
}

}  // namespace zr
