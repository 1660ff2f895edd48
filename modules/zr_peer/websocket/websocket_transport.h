#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace zr {

/**
 * Bounds on links whose peer has not proved that it knows the key, and which
 * may be anybody's.
 */
struct UnprovedLinkLimits {
  /** Incoming links at once; a further one displaces the oldest. */
  size_t max_links = 64;
  /** Bytes that are read from one: the upgrade and the proof. */
  size_t max_bytes = 1024;
  /** Time from the connection to the proof. */
  int64_t timeout_ms = 5000;
};

/** Incoming links that ended without a proof. */
struct LinkRefusals {
  uint64_t displaced = 0;  // by newer ones
  uint64_t overdue = 0;
  uint64_t failed = 0;  // closed by either side, or wrong
};

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
   * @param limits             of links until they are admitted
   * @param error              set when the result is null
   */
  static std::shared_ptr<WebsocketTransport> Create(
      asio::io_context& context, const std::string& listen_ip, uint16_t port,
      size_t max_message_bytes, UnprovedLinkLimits limits,
      std::weak_ptr<Listener> listener, std::string* error);
  virtual ~WebsocketTransport() = default;

  /**
   * The peer has proved that it knows the key; lifts the limits on the link.
   * Must be called from OnMessage() of this link.
   */
  virtual void Admit(LinkId link) = 0;
  /** Closes the links that are overdue; to be called now and then. */
  virtual void CloseOverdue() = 0;
  /** Number of incoming links that were not admitted. */
  virtual size_t unproved() const = 0;
  /** @returns what was refused since the last call */
  virtual LinkRefusals TakeRefusals() = 0;
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
