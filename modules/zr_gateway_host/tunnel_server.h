#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Connects other VMs to endpoints that they can't reach themselves. Speaks
 * SOCKS 4, of which libcurl is the client; the user name says who asks and for
 * which endpoint, the address in the request is ignored. A tunnel only passes
 * bytes on and ends at an endpoint, so it can't lead through a further VM.
 *
 * The loss of either end resets the other, so that an answer which ends with
 * its connection is not taken for whole.
 */
class TunnelServer {
 public:
  /** Decides on tunnels and learns what became of them. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** @returns the endpoint's address, "ip:port"; std::nullopt to refuse */
    virtual std::optional<std::string> OnTunnelRequest(
        const std::string& user) = 0;
    /** The endpoint was reached, or not. */
    virtual void OnTunnelConnected(const std::string& user, bool connected) = 0;
    /** A tunnel that may be opened was refused, as there are too many. */
    virtual void OnTooManyTunnels(const std::string& user) = 0;
    /** A connection that had not asked for a tunnel was closed for another. */
    virtual void OnTunnelDisplaced() = 0;
  };

  struct Limits {
    /** Connections that have not asked for a tunnel yet, or were refused; a
     * further one displaces the oldest. */
    size_t max_begun = 64;
    size_t max_tunnels = 512;
  };

  /** @param listener  outlives the server
   *  @returns an error if the address can't be bound */
  static Result<std::unique_ptr<TunnelServer>> Start(asio::io_context& io,
                                                     const std::string& address,
                                                     const Limits& limits,
                                                     Listener& listener);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /** Number of tunnels, with those that have begun. */
  size_t active() const { return tunnels_.size(); }
  /** Resets all tunnels and takes no more. */
  void Stop();

 private:
  class Tunnel;
  /** A connection, linked until it has asked for a tunnel. */
  struct BegunTunnel
      : boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    virtual ~BegunTunnel() = default;
    /** Ends it; the peer sees a reset. */
    virtual void Reset() = 0;
  };
  using BegunTunnels =
      boost::intrusive::list<BegunTunnel,
                             boost::intrusive::constant_time_size<false>>;

  TunnelServer(asio::io_context& io, const Limits& limits, Listener& listener);
  void Accept();
  void Add(asio::ip::tcp::socket socket);
  /** Whether another connection may become a tunnel. */
  bool HasRoom() const;

  asio::io_context& io_;
  const Limits limits_;
  Listener& listener_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Tunnel>> tunnels_;
  BegunTunnels begun_;  // of these, in the order of their connections
  bool stopped_ = false;
};

}  // namespace zr
