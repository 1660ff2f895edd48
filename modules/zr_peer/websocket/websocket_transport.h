#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace zr {

/**
 * Binary websocket links over TCP. The header compiles as C++17 and C++20 and
 * exposes no websocketpp types. May be called from any thread.
 */
class WebsocketTransport {
 public:
  using LinkId = uint64_t;

  /** Called on the io_context's threads, in order for each link. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnOpen(LinkId link, bool outgoing) = 0;
    virtual void OnMessage(LinkId link, const std::string& payload) = 0;
    /** Also called for an outgoing link that could not be opened. */
    virtual void OnClosed(LinkId link, const std::string& reason) = 0;
  };

  /**
   * Listens on the given address.
   *
   * @param listen_ip          address to listen on
   * @param max_message_bytes  a larger message closes its link
   * @param error              set when the result is null
   */
  static std::shared_ptr<WebsocketTransport> Create(
      asio::io_context& context, const std::string& listen_ip, uint16_t port,
      size_t max_message_bytes, std::weak_ptr<Listener> listener,
      std::string* error);
  virtual ~WebsocketTransport() = default;

  /** Opens a link; OnOpen or OnClosed follows. */
  virtual LinkId Connect(const std::string& ip, uint16_t port) = 0;
  /**
   * Queues a message. A link with more than max_buffered bytes already queued
   * is closed instead.
   */
  virtual void Send(LinkId link, const std::string& payload,
                    size_t max_buffered) = 0;
  virtual void Close(LinkId link, const std::string& reason) = 0;
  /** Stops listening and closes all links. */
  virtual void Stop() = 0;
};

}  // namespace zr
