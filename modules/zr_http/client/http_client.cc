#include "zr_http/client/http_client.h"

#include <asio/bind_executor.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <chrono>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "zr_http/client/http_call.h"

namespace zr {
namespace {

// Idle connections kept for reuse.
// NOLINTNEXTLINE(google-runtime-int): libcurl's type
constexpr long kConnectionCacheSize = 4096;
// Bytes may have arrived while this process was busy, so they get this long to
// be read before a call counts as silent.
constexpr std::chrono::milliseconds kSilenceGrace(20);

class CurlClient;

/** Shares a call between the caller's handle and the client's strand. */
class CallHandle final : public HttpCall,
                         public std::enable_shared_from_this<CallHandle> {
 public:
  CallHandle(std::weak_ptr<CurlClient> client, std::unique_ptr<EasyCall> call,
             asio::strand<asio::io_context::executor_type>& strand)
      : client_(std::move(client)),
        call_(std::move(call)),
        silence_timer_(strand) {}

  void Cancel() override;
  void Resume() override;

  /** The call on libcurl's side; null after its end. Used on the client's
   * strand only. */
  std::unique_ptr<EasyCall>& call() { return call_; }
  asio::steady_timer& silence_timer() { return silence_timer_; }

 private:
  std::weak_ptr<CurlClient> client_;
  std::unique_ptr<EasyCall> call_;
  asio::steady_timer silence_timer_;
};

class CurlClient final : public HttpClient,
                         public std::enable_shared_from_this<CurlClient> {
 public:
  explicit CurlClient(asio::io_context& context)
      : strand_(asio::make_strand(context)),
        timer_(strand_),
        multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlClient::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlClient::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kConnectionCacheSize);
  }

  ~CurlClient() override {
    for (auto& [easy, handle] : running_) {
      curl_multi_remove_handle(multi_, easy);
    }
    running_.clear();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, nullptr);
    for (auto& [fd, socket] : sockets_) socket->descriptor.release();
    sockets_.clear();
    curl_multi_cleanup(multi_);
  }

  std::shared_ptr<HttpCall> Start(ClientRequest request,
                                  std::shared_ptr<Listener> listener) override {
    auto handle = std::make_shared<CallHandle>(
        weak_from_this(),
        std::make_unique<EasyCall>(std::move(request), std::move(listener)),
        strand_);
    asio::post(strand_, [self = shared_from_this(), handle] {
      self->StartOnStrand(handle);
    });
    return handle;
  }

  void Shutdown() override {
    asio::post(strand_, [self = shared_from_this()] {
      self->shut_down_ = true;
      for (auto& [easy, handle] : self->running_) {
        curl_multi_remove_handle(self->multi_, easy);
        handle->call()->Detach();
      }
      self->running_.clear();
      self->timer_.cancel();
    });
  }

  void Cancel(std::shared_ptr<CallHandle> handle) {
    asio::post(strand_,
               [self = shared_from_this(), handle = std::move(handle)] {
                 if (!handle->call()) return;
                 handle->call()->Detach();
                 self->Remove(handle->call()->easy());
                 self->DestroyLater(handle);
               });
  }

  void Resume(std::shared_ptr<CallHandle> handle) {
    asio::post(strand_,
               [self = shared_from_this(), handle = std::move(handle)] {
                 if (handle->call()) {
                   curl_easy_pause(handle->call()->easy(), CURLPAUSE_CONT);
                 }
                 self->CheckCompletions();
               });
  }

 private:
  struct Socket {
    Socket(const asio::strand<asio::io_context::executor_type>& strand, int fd)
        : descriptor(strand, fd) {}
    asio::posix::stream_descriptor descriptor;
    int interest = 0;
    bool read_pending = false;
    bool write_pending = false;
    bool closed = false;
  };

  void StartOnStrand(const std::shared_ptr<CallHandle>& handle) {
    if (!handle->call() || shut_down_) return;
    if (handle->call()->easy() == nullptr) {
      handle->call()->Finish(CURLE_OUT_OF_MEMORY);
      return;
    }
    running_[handle->call()->easy()] = handle;
    curl_multi_add_handle(multi_, handle->call()->easy());
    WaitForBytes(handle);
  }

  /** Ends the call unless more bytes arrive in time. */
  void WaitForBytes(const std::shared_ptr<CallHandle>& handle) {
    const Duration timeout = handle->call()->silence_timeout();
    if (timeout <= Duration()) return;
    CheckSilence(handle, handle->call()->bytes_received(),
                 std::chrono::microseconds(timeout.microseconds()), false);
  }

  void CheckSilence(const std::shared_ptr<CallHandle>& handle, size_t received,
                    std::chrono::microseconds wait, bool last) {
    handle->silence_timer().expires_after(wait);
    handle->silence_timer().async_wait(asio::bind_executor(
        strand_, [weak = weak_from_this(), weak_handle = std::weak_ptr(handle),
                  received, last](const asio::error_code& error) {
          auto self = weak.lock();
          auto handle = weak_handle.lock();
          if (error || !self || !handle || !handle->call()) return;
          if (handle->call()->bytes_received() != received) {
            return self->WaitForBytes(handle);
          }
          if (!last) {
            return self->CheckSilence(handle, received, kSilenceGrace, true);
          }
          self->Remove(handle->call()->easy());
          self->Finish(handle, CURLE_OPERATION_TIMEDOUT);
        }));
  }

  void Remove(CURL* easy) {
    if (running_.erase(easy) > 0) curl_multi_remove_handle(multi_, easy);
  }

  // Destroys the easy handle later, outside libcurl's callbacks.
  void DestroyLater(const std::shared_ptr<CallHandle>& handle) {
    auto call = std::shared_ptr<EasyCall>(std::move(handle->call()));
    asio::post(strand_, [call] {});
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    static_cast<CurlClient*>(self)->UpdateSocket(fd, what);
    return 0;
  }

  void UpdateSocket(curl_socket_t fd, int what) {
    auto it = sockets_.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it == sockets_.end()) return;
      it->second->closed = true;
      it->second->descriptor.cancel();
      it->second->descriptor.release();
      sockets_.erase(it);
      return;
    }
    if (it == sockets_.end()) {
      it = sockets_.emplace(fd, std::make_shared<Socket>(strand_, fd)).first;
    }
    it->second->interest = what;
    UpdateWaits(it->second, fd);
  }

  void UpdateWaits(const std::shared_ptr<Socket>& socket, curl_socket_t fd) {
    if ((socket->interest & CURL_POLL_IN) != 0 && !socket->read_pending) {
      socket->read_pending = true;
      StartWait(socket, fd, asio::posix::stream_descriptor::wait_read,
                CURL_CSELECT_IN);
    }
    if ((socket->interest & CURL_POLL_OUT) != 0 && !socket->write_pending) {
      socket->write_pending = true;
      StartWait(socket, fd, asio::posix::stream_descriptor::wait_write,
                CURL_CSELECT_OUT);
    }
  }

  void StartWait(const std::shared_ptr<Socket>& socket, curl_socket_t fd,
                 asio::posix::stream_descriptor::wait_type type, int event) {
    socket->descriptor.async_wait(
        type,
        asio::bind_executor(strand_, [weak = weak_from_this(), socket, fd,
                                      event](const asio::error_code& error) {
          (event == CURL_CSELECT_IN ? socket->read_pending
                                    : socket->write_pending) = false;
          auto self = weak.lock();
          if (!self || socket->closed ||
              error == asio::error::operation_aborted) {
            return;
          }
          const int poll_flag =
              event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
          if ((socket->interest & poll_flag) != 0) {
            int running = 0;
            curl_multi_socket_action(
                self->multi_, fd, error ? CURL_CSELECT_ERR : event, &running);
            self->CheckCompletions();
          }
          if (!socket->closed) self->UpdateWaits(socket, fd);
        }));
  }

  // NOLINTNEXTLINE(google-runtime-int): libcurl's type
  static int OnTimer(CURLM*, long timeout_ms, void* self) {
    static_cast<CurlClient*>(self)->SetTimer(timeout_ms);
    return 0;
  }

  void SetTimer(int64_t timeout_ms) {
    timer_.cancel();
    if (timeout_ms < 0) return;
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait(asio::bind_executor(
        strand_, [weak = weak_from_this()](const asio::error_code& error) {
          auto self = weak.lock();
          if (!self || error || self->shut_down_) return;
          int running = 0;
          curl_multi_socket_action(self->multi_, CURL_SOCKET_TIMEOUT, 0,
                                   &running);
          self->CheckCompletions();
        }));
  }

  void CheckCompletions() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      auto it = running_.find(easy);
      if (it == running_.end()) continue;
      auto handle = it->second;
      Remove(easy);
      Finish(handle, code);
    }
  }

  void Finish(const std::shared_ptr<CallHandle>& handle, CURLcode code) {
    try {
      handle->call()->Finish(code);
    } catch (...) {
      DestroyLater(handle);
      // Other calls may have ended at the same time.
      asio::post(strand_,
                 [self = shared_from_this()] { self->CheckCompletions(); });
      throw;
    }
    DestroyLater(handle);
  }

  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  CURLM* multi_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Socket>> sockets_;
  std::unordered_map<CURL*, std::shared_ptr<CallHandle>> running_;
  bool shut_down_ = false;
};

void CallHandle::Cancel() {
  if (auto client = client_.lock()) client->Cancel(shared_from_this());
}

void CallHandle::Resume() {
  if (auto client = client_.lock()) client->Resume(shared_from_this());
}

/** Collects a complete response. */
class FetchListener final : public HttpClient::Listener {
 public:
  using Done = std::function<void(tl::expected<ClientResponse, ClientFailure>)>;
  explicit FetchListener(Done done) : done_(std::move(done)) {}

  void OnHeaders(int status, const HttpHeaders& headers) override {
    response_.status = status;
    response_.headers = headers;
  }

  bool OnData(std::string_view data) override {
    response_.body += data;
    return true;
  }

  void OnEnd(std::optional<ClientFailure> failure) override {
    if (failure) {
      done_(tl::unexpected(*failure));
    } else {
      done_(std::move(response_));
    }
  }

 private:
  Done done_;
  ClientResponse response_;
};

}  // namespace

Result<std::shared_ptr<HttpClient>> HttpClient::Create(
    asio::io_context& context) {
  static const CURLcode kInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kInit != CURLE_OK) {
    return Fail(ErrorCode::kInternal, "http", "", curl_easy_strerror(kInit));
  }
  return std::shared_ptr<HttpClient>(std::make_shared<CurlClient>(context));
}

std::shared_ptr<HttpCall> HttpClient::Fetch(
    ClientRequest request, size_t max_body_bytes,
    std::function<void(tl::expected<ClientResponse, ClientFailure>)> done) {
  request.max_body_bytes = max_body_bytes;
  auto listener = std::make_shared<FetchListener>(std::move(done));
  return Start(std::move(request), std::move(listener));
}

}  // namespace zr
