#pragma once

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <cstddef>
#include <limits>
#include <utility>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace zr {

/**
 * The stream of a link, which reads no more than a number of bytes until the
 * peer has proved that it knows the key. The websocket library's own limits on
 * the head and the body of an upgrade and on control frames are too wide for
 * peers that may be anybody.
 */
class LimitedStream {
 public:
  using Connection = websocketpp::transport::asio::basic_socket::connection;
  using executor_type = asio::ip::tcp::socket::executor_type;

  /** @param connection  owns the stream */
  explicit LimitedStream(Connection& connection) : connection_(connection) {}

  executor_type get_executor() {
    return connection_.get_raw_socket().get_executor();
  }
  /** Bytes that may still be read. */
  void SetAllowance(size_t bytes) { allowance_ = bytes; }

  /** Fails with message_size if the allowance is used up. */
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    auto& socket = connection_.get_raw_socket();
    const auto executor =
        asio::get_associated_executor(handler, socket.get_executor());
    if (allowance_ == 0) {
      asio::post(
          socket.get_executor(),
          asio::bind_executor(
              executor, [handler = std::forward<Handler>(handler)]() mutable {
                handler(asio::error_code(asio::error::message_size), size_t{0});
              }));
      return;
    }
    const asio::mutable_buffer first = *asio::buffer_sequence_begin(buffers);
    socket.async_read_some(
        asio::buffer(first, allowance_),
        asio::bind_executor(
            executor, [this, handler = std::forward<Handler>(handler)](
                          const asio::error_code& error, size_t size) mutable {
              if (allowance_ != kUnlimited) allowance_ -= size;
              handler(error, size);
            }));
  }
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    connection_.get_raw_socket().async_write_some(
        buffers, std::forward<Handler>(handler));
  }

  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

 private:
  Connection& connection_;
  size_t allowance_ = kUnlimited;
};

/** Socket policy of websocketpp with limited streams. */
class LimitedSocketConnection : public LimitedStream::Connection {
 public:
  using ptr = std::shared_ptr<LimitedSocketConnection>;

  /** Hides that of the base, which the library reads from and writes to. */
  LimitedStream& get_socket() { return stream_; }

 private:
  LimitedStream stream_{*this};
};

class LimitedSocketEndpoint {
 public:
  using socket_con_type = LimitedSocketConnection;
  using socket_con_ptr = socket_con_type::ptr;

  bool is_secure() const { return false; }

 protected:
  websocketpp::lib::error_code init(const socket_con_ptr& /*connection*/) {
    return {};
  }
};

}  // namespace zr
