#include "zr_http/server/metered_socket.h"

#include <algorithm>
#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace zr {
namespace {

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

/** A response of the server itself to a request that is not passed on. */
std::string RefusalText(int status, const std::string& reason,
                        const std::string& request_id) {
  const char* phrase = status == 408   ? "Request Timeout"
                       : status == 413 ? "Content Too Large"
                       : status == 431 ? "Request Header Fields Too Large"
                                       : "Service Unavailable";
  const char* code = status == 408   ? "timeout"
                     : status == 503 ? "unavailable"
                                     : "too_large";
  const std::string body =
      std::string("{\"error\":{\"code\":\"") + code +
      "\",\"message\":\"refused: " + reason +
      "\",\"run\":\"not-run\",\"step\":\"request\",\"peer\":\"\"}}";
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + phrase +
                     "\r\nconnection: close\r\n"
                     "content-type: application/json\r\n"
                     "x-zr-run: not-run\r\n";
  if (status == 503) text += "retry-after: 1\r\n";
  if (!request_id.empty() && IsPrintable(request_id)) {
    text += "x-request-id: " + request_id + "\r\n";
  }
  return text + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

ClientGuard::ConnectionPtr ServerMetering::Find(uint64_t connection_id) {
  std::lock_guard lock(mutex);
  auto it = connections.find(connection_id);
  return it == connections.end() ? nullptr : it->second;
}

bool MeteredStream::Open(uint64_t connection_id) {
  asio::error_code error;
  const auto remote = socket_.remote_endpoint(error);
  if (error) return false;
  connection_ =
      metering_->guard->Open(weak_from_this(), remote.address().to_string());
  if (!connection_) return false;
  connection_id_ = connection_id;
  std::lock_guard lock(metering_->mutex);
  metering_->connections[connection_id] = connection_;
  return true;
}

void MeteredStream::Read(asio::mutable_buffer buffer,
                         asio::any_io_executor executor, ReadHandler handler) {
  if (!executor_) executor_ = std::move(executor);
  buffer_ = buffer;
  handler_ = std::move(handler);
  if (verdict_ != RequestReader::Verdict::kNone) return BeginRefusal();
  ReadMore();
}

void MeteredStream::ReadMore() {
  const size_t free =
      buffer_.size() - reader_.held() - RequestReader::kOverhead;
  socket_.async_read_some(
      asio::buffer(buffer_ + reader_.held(), free),
      asio::bind_executor(executor_, [self = shared_from_this()](
                                         const auto& error, size_t size) {
        self->OnBytes(error, size);
      }));
}

void MeteredStream::OnBytes(const asio::error_code& error, size_t size) {
  if (!handler_ || refusing_) return;
  if (error) return Complete(error, 0);
  if (!connection_) return Complete(asio::error::operation_aborted, 0);
  const auto output = reader_.Read(static_cast<char*>(buffer_.data()),
                                   buffer_.size(), size, metering_->limits());
  verdict_ = output.verdict;
  if (verdict_ != RequestReader::Verdict::kNone && output.size == 0) {
    return BeginRefusal();
  }
  ready_ = output.size;
  switch (metering_->guard->OnRead(connection_, size, reader_)) {
    case ClientGuard::Decision::kPass:
      return ready_ > 0 ? Complete({}, ready_) : ReadMore();
    case ClientGuard::Decision::kWait:
      paused_ = true;
      return;
    case ClientGuard::Decision::kRefused:
      return;  // PostRefuse() follows
  }
}

void MeteredStream::PostResume() {
  asio::post(executor_, [self = shared_from_this()] {
    if (!self->paused_ || !self->handler_) return;
    self->paused_ = false;
    self->ready_ > 0 ? self->Complete({}, self->ready_) : self->ReadMore();
  });
}

void MeteredStream::PostRefuse(int status, std::string reason) {
  if (!executor_) return;
  asio::post(executor_, [self = shared_from_this(), status,
                         reason = std::move(reason)] {
    if (status == 0) {
      self->refusing_ = true;
      if (!self->handler_) {
        asio::error_code ignored;
        self->socket_.shutdown(Socket::shutdown_both, ignored);
      }
      return self->Complete(asio::error::eof, 0);
    }
    const bool over_limit = self->verdict_ != RequestReader::Verdict::kNone;
    self->WriteRefusal(status, reason, over_limit);
  });
}

//==============================================================================
// Refusals

void MeteredStream::BeginRefusal() {
  const bool head = verdict_ == RequestReader::Verdict::kHeadTooLarge;
  const int status = head ? 431 : 413;
  const char* reason = head ? "header too large" : "body too large";
  if (metering_->guard->OnOverLimit(connection_, status, reason)) {
    WriteRefusal(status, reason, true);
  }
}

void MeteredStream::WriteRefusal(int status, const std::string& reason,
                                 bool linger) {
  if (refusing_ || !handler_) return;
  refusing_ = true;
  paused_ = false;
  refusal_ = RefusalText(status, reason, reader_.request_id());
  asio::async_write(
      socket_, asio::buffer(refusal_),
      asio::bind_executor(executor_, [self = shared_from_this(), linger](
                                         const auto& error, size_t /*size*/) {
        asio::error_code ignored;
        self->socket_.shutdown(Socket::shutdown_send, ignored);
        if (error || !linger) return self->Complete(asio::error::eof, 0);
        self->Discard();
      }));
}

// A client that has sent somewhat too much reads the response only when it has
// sent everything, and loses it if the connection is closed before.
void MeteredStream::Discard() {
  if (!handler_) return;
  if (discarded_ > metering_->max_body_bytes ||
      metering_->guard->MemoryIsShort()) {
    return Complete(asio::error::eof, 0);
  }
  socket_.async_read_some(
      buffer_,
      asio::bind_executor(executor_, [self = shared_from_this()](
                                         const auto& error, size_t size) {
        if (error || !self->connection_) {
          return self->Complete(asio::error::eof, 0);
        }
        self->discarded_ += size;
        self->metering_->guard->OnDiscarded(self->connection_);
        self->Discard();
      }));
}

//==============================================================================
// End

void MeteredStream::Complete(const asio::error_code& error, size_t size) {
  if (!handler_) return;
  ReadHandler handler = std::exchange(handler_, nullptr);
  handler(error, size);
}

void MeteredStream::Cancel() {
  asio::error_code ignored;
  socket_.cancel(ignored);
  if (!paused_) return;
  asio::post(executor_, [self = shared_from_this()] {
    self->paused_ = false;
    self->Complete(asio::error::operation_aborted, 0);
  });
}

void MeteredStream::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
  if (handler_) {
    // Not at once: the handler keeps the connection alive that is closing.
    asio::post(executor_, [self = shared_from_this()] {
      self->Complete(asio::error::operation_aborted, 0);
    });
  }
  Release();
}

void MeteredStream::Release() {
  if (!connection_) return;
  metering_->guard->Close(connection_);
  connection_ = nullptr;
  std::lock_guard lock(metering_->mutex);
  metering_->connections.erase(connection_id_);
}

}  // namespace zr
