#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "zr_http/server/client_guard.h"
#include "zr_http/server/request_reader.h"

namespace zr {

/** What the connections of one server share. */
struct ServerMetering {
  explicit ServerMetering(std::shared_ptr<ClientGuard> client_guard)
      : guard(std::move(client_guard)) {}

  RequestReader::Limits limits() const {
    return {max_header_bytes.load(), max_body_bytes.load(), body_copies};
  }
  /** @returns null if the connection was closed */
  ClientGuard::ConnectionPtr Find(uint64_t connection_id);

  const std::shared_ptr<ClientGuard> guard;
  size_t body_copies = 1;  // constant once connections are accepted
  std::atomic<size_t> max_header_bytes{0};
  std::atomic<size_t> max_body_bytes{0};

  std::mutex mutex;
  std::unordered_map<uint64_t, ClientGuard::ConnectionPtr> connections;
};

/**
 * The stream of one connection. Reads for the server what the guard has memory
 * for, and refuses requests above the limits itself. Runs on the connection's
 * strand, except for the members of Channel.
 */
class MeteredStream final : public ClientGuard::Channel,
                            public std::enable_shared_from_this<MeteredStream> {
 public:
  using Socket = asio::ip::tcp::socket;
  using ReadHandler = std::function<void(const asio::error_code&, size_t)>;

  MeteredStream(asio::io_context& context,
                std::shared_ptr<ServerMetering> metering)
      : socket_(context), metering_(std::move(metering)) {}
  ~MeteredStream() override { Release(); }

  Socket& socket() { return socket_; }
  const Socket& socket() const { return socket_; }

  /** @returns false if there is no room for the connection */
  bool Open(uint64_t connection_id);
  void Read(asio::mutable_buffer buffer, asio::any_io_executor executor,
            ReadHandler handler);
  void Cancel();
  void Close();

  // ClientGuard::Channel
  void PostResume() override;
  void PostRefuse(int status, std::string reason) override;

 private:
  void ReadMore();
  void OnBytes(const asio::error_code& error, size_t size);
  void BeginRefusal();
  void WriteRefusal(int status, const std::string& reason, bool linger);
  void Discard();
  void Complete(const asio::error_code& error, size_t size);
  void Release();

  Socket socket_;
  std::shared_ptr<ServerMetering> metering_;
  asio::any_io_executor executor_;  // the connection's strand
  ClientGuard::ConnectionPtr connection_;
  uint64_t connection_id_ = 0;
  RequestReader reader_;
  asio::mutable_buffer buffer_;  // of the server, valid while handler_ is set
  ReadHandler handler_;
  size_t ready_ = 0;  // bytes in the buffer for the server
  bool paused_ = false;
  bool refusing_ = false;
  RequestReader::Verdict verdict_ = RequestReader::Verdict::kNone;
  size_t discarded_ = 0;
  std::string refusal_;  // while it is written
};

/** Adapter of MeteredStream for RESTinio, in place of a TCP socket. */
class MeteredSocket {
 public:
  using executor_type = MeteredStream::Socket::executor_type;

  MeteredSocket(asio::io_context& context,
                std::shared_ptr<ServerMetering> metering)
      : stream_(std::make_shared<MeteredStream>(context, std::move(metering))) {
  }

  MeteredStream& stream() { return *stream_; }
  auto& lowest_layer() { return stream_->socket(); }
  const auto& lowest_layer() const { return stream_->socket(); }
  auto get_executor() { return lowest_layer().get_executor(); }
  auto remote_endpoint() const { return lowest_layer().remote_endpoint(); }
  bool is_open() const { return lowest_layer().is_open(); }

  template <typename Handler>
  void async_read_some(asio::mutable_buffer buffer, Handler&& handler) {
    const auto executor =
        asio::get_associated_executor(handler, lowest_layer().get_executor());
    stream_->Read(buffer, executor, std::forward<Handler>(handler));
  }
  template <typename... Args>
  auto async_write_some(Args&&... args) {
    return lowest_layer().async_write_some(std::forward<Args>(args)...);
  }
  template <typename... Args>
  void cancel(Args&&... /*ignored_error*/) {
    stream_->Cancel();
  }
  template <typename... Args>
  void shutdown(Args&&... args) {
    lowest_layer().shutdown(std::forward<Args>(args)...);
  }
  template <typename... Args>
  void close(Args&&... /*ignored_error*/) {
    stream_->Close();
  }

 private:
  std::shared_ptr<MeteredStream> stream_;
};

// Customisation points that RESTinio finds by the type of the socket.

template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(MeteredSocket& socket,
                                       Connection& connection, Start start,
                                       Failed /*failed*/) {
  // Without room the connection is destroyed, which closes the socket.
  if (socket.stream().Open(connection.connection_id())) start();
}

inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    MeteredSocket& /*socket*/) noexcept {
  return nullptr;
}

}  // namespace zr

namespace restinio {

/** Adds the metering to the settings of a server with metered sockets. */
template <typename Settings>
class socket_type_dependent_settings_t<Settings, zr::MeteredSocket> {
 public:
  Settings& metering(std::shared_ptr<zr::ServerMetering> metering) {
    metering_ = std::move(metering);
    return static_cast<Settings&>(*this);
  }
  const std::shared_ptr<zr::ServerMetering>& metering() const {
    return metering_;
  }

 private:
  std::shared_ptr<zr::ServerMetering> metering_;
};

namespace impl {

/** Sockets into which connections are accepted. */
template <>
class socket_supplier_t<zr::MeteredSocket> {
 protected:
  template <typename Settings>
  socket_supplier_t(Settings& settings, asio_ns::io_context& context)
      : metering_(settings.metering()), context_(context) {
    for (size_t i = 0; i < settings.concurrent_accepts_count(); ++i) {
      sockets_.emplace_back(context_, metering_);
    }
  }
  virtual ~socket_supplier_t() = default;

  zr::MeteredSocket& socket(size_t index) { return sockets_.at(index); }
  zr::MeteredSocket move_socket(size_t index) {
    zr::MeteredSocket next(context_, metering_);
    std::swap(next, sockets_.at(index));
    return next;
  }
  size_t concurrent_accept_sockets_count() const { return sockets_.size(); }

 private:
  std::shared_ptr<zr::ServerMetering> metering_;
  asio_ns::io_context& context_;
  std::vector<zr::MeteredSocket> sockets_;
};

}  // namespace impl
}  // namespace restinio
